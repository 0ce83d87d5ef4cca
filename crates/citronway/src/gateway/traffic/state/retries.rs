//! The budget of second sends of each service.

use citronway_core::gateway::budget::{RetryCause, RetryLimit, SharedRetryBudget, Sharing};
use citronway_core::ids::ServiceName;
use citronway_core::time::Mono;
use indexmap::IndexMap;

use super::State;
use crate::gateway::retry_metrics::RetryResult;

/// Budgets of second sends by service.
#[derive(Debug)]
pub(super) struct RetryBudgets {
    /// When the process began to count.
    started: Mono,
    /// Budget of a service that has had no request since the start of the process.
    idle: SharedRetryBudget,
    services: IndexMap<ServiceName, ServiceBudget>,
}

#[derive(Debug)]
struct ServiceBudget {
    budget: SharedRetryBudget,
    /// When it was last logged that none is left.
    logged_at: Option<Mono>,
}

impl RetryBudgets {
    pub(super) fn new(now: Mono, limit: RetryLimit) -> Self {
        Self {
            started: now,
            idle: SharedRetryBudget::new(now, limit, Sharing::ALONE),
            services: IndexMap::new(),
        }
    }

    /// Takes over the number of instances that share the limit from now on.
    fn advance(&mut self, now: Mono, sharing: Sharing) {
        self.idle.advance(now, sharing);
        for service in self.services.values_mut() {
            service.budget.advance(now, sharing);
        }
    }

    fn service(&mut self, service: &ServiceName) -> &mut ServiceBudget {
        let new_budget = || ServiceBudget {
            budget: self.idle.clone(),
            logged_at: None,
        };
        self.services
            .entry(service.clone())
            .or_insert_with(new_budget)
    }
}

/// A request that is to be sent again.
#[derive(Debug, Clone, Copy)]
pub(in crate::gateway::traffic) struct Retry<'a> {
    /// Id of the request, as in logs.
    pub request: &'a str,
    pub service: &'a ServiceName,
    pub cause: RetryCause,
}

impl State {
    pub(in crate::gateway::traffic) fn count_request(&self, now: Mono, service: &ServiceName) {
        let sharing = self.view.borrow().sharing;
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = &mut budgets.service(service).budget;
        budget.record_request(now, sharing);
    }

    /// Whether the budget of second sends of a service has one left.
    pub(in crate::gateway::traffic) fn is_retry_left(
        &self,
        now: Mono,
        service: &ServiceName,
    ) -> bool {
        let sharing = self.view.borrow().sharing;
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets.service(service).budget.used(now, sharing).left >= 1.0
    }

    /// Whether the budget of second sends has one left. Logs and counts the request if not.
    pub(in crate::gateway::traffic) fn has_retry(&self, now: Mono, retry: Retry<'_>) -> bool {
        let sharing = self.view.borrow().sharing;
        let mut budgets = self.retry_budgets.borrow_mut();
        let service_budget = budgets.service(retry.service);
        let used = service_budget.budget.used(now, sharing);
        if used.left >= 1.0 {
            return true;
        }
        let Retry { request, cause, .. } = retry;
        let (service, cause) = (retry.service.as_str(), cause.as_str());
        let (instances, source) = (sharing.instances, sharing.source.as_str());
        let (requests, sent_again) = (used.requests, used.retries);
        log::info!(request, service, cause, requests, sent_again, instances, source; "no second send left");
        let metrics = &self.metrics.retries;
        metrics.count(retry.service, retry.cause, RetryResult::Refused);
        let logged_at = service_budget.logged_at;
        if logged_at.is_none_or(|at| now.since(at) >= self.retry_limit.window_ms) {
            service_budget.logged_at = Some(now);
            let age_ms = now.since(budgets.started);
            log::warn!(service, requests, sent_again, instances, source, age_ms; "second sends of a service are used up");
        }
        false
    }

    /// Takes one second send. Returns false if none is left.
    pub(in crate::gateway::traffic) fn take_retry(&self, now: Mono, retry: Retry<'_>) -> bool {
        if !self.has_retry(now, retry) {
            return false;
        }
        let sharing = self.view.borrow().sharing;
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = &mut budgets.service(retry.service).budget;
        if !budget.try_take(now, sharing) {
            return false;
        }
        let left = budget.used(now, sharing).left;
        let age_ms = now.since(budgets.started);
        let Retry { request, cause, .. } = retry;
        let (service, cause) = (retry.service.as_str(), cause.as_str());
        let (instances, source) = (sharing.instances, sharing.source.as_str());
        log::info!(request, service, cause, left, instances, source, age_ms; "request is sent again");
        let metrics = &self.metrics.retries;
        metrics.count(retry.service, retry.cause, RetryResult::Used);
        true
    }

    /// Takes over the number of instances of a new view.
    pub(super) fn advance_retries(&self, now: Mono) {
        let sharing = self.view.borrow().sharing;
        self.retry_budgets.borrow_mut().advance(now, sharing);
    }

    /// Sets the metrics of what is left and of the instances that share it.
    pub(super) fn update_retry_metrics(&self, now: Mono) {
        let sharing = self.view.borrow().sharing;
        let metrics = &self.metrics.retries;
        metrics.set_sharing(sharing);
        for (service, service_budget) in &mut self.retry_budgets.borrow_mut().services {
            let left = service_budget.budget.used(now, sharing).left;
            metrics.set_left(service, left);
        }
    }
}
