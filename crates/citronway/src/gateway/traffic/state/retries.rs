//! The budget of second sends of each service.

use citronway_core::gateway::budget::SharedRetryBudget;
use citronway_core::ids::ServiceName;
use citronway_core::time::Mono;

use super::State;

impl State {
    pub(in crate::gateway::traffic) fn count_request(&self, now: Mono, service: &ServiceName) {
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Whether the budget of second sends has one left.
    pub(in crate::gateway::traffic) fn has_retry(&self, now: Mono, service: &ServiceName) -> bool {
        let instances = self.view.borrow().instances;
        self.with_budget(service, |budget| budget.remaining(now, instances)) >= 1.0
    }

    pub(in crate::gateway::traffic) fn take_retry(&self, now: Mono, service: &ServiceName) -> bool {
        let instances = self.view.borrow().instances;
        self.with_budget(service, |budget| budget.try_take(now, instances))
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut SharedRetryBudget) -> T,
    ) -> T {
        let mut all = self.retry_budgets.borrow_mut();
        let limit = self.retry_limit;
        f(all
            .entry(service.clone())
            .or_insert_with(|| SharedRetryBudget::new(limit)))
    }
}
