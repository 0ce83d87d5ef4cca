//! Times requests by the events and actions that pass, for metrics and logs.

use std::sync::Arc;
use std::time::Instant;

use citronway_core::gateway::crashes::Verdict;
use citronway_core::ids::{ClassName, RequestId, ServiceName};
use citronway_core::node::events::Ticket;
use citronway_core::node::{Action, Event, View};
use citronway_core::outcome::Outcome;
use citronway_core::request::{Repeat, Request};
use indexmap::IndexMap;

use crate::metrics::{Finished, Metrics, WorkLabels, reason};

/// Class shown for work that no selector put into one.
const NO_CLASS: &str = "none";

/// Watches requests on their way through the deciding thread.
#[derive(Debug)]
pub struct Observer {
    metrics: Arc<Metrics>,
    callers: IndexMap<Ticket, Asked>,
    arrived: IndexMap<RequestId, Instant>,
    orders: IndexMap<Ticket, Sent>,
}

#[derive(Debug)]
struct Asked {
    at: Instant,
    id: RequestId,
    service: ServiceName,
    tenant: String,
    class: ClassName,
    repeat: Repeat,
}

#[derive(Debug)]
struct Sent {
    at: Instant,
    work: WorkLabels,
}

impl Observer {
    /// Counts into `metrics`.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            metrics,
            callers: IndexMap::new(),
            arrived: IndexMap::new(),
            orders: IndexMap::new(),
        }
    }

    /// Notes an event before the machine takes it.
    pub fn event(&mut self, event: &Event, view: &View, at: Instant) {
        match event {
            Event::Caller { ticket, request } => {
                self.arrived.insert(request.id, at);
                let route = view
                    .config()
                    .map(|known| known.route(&request.service, &request.labels, &request.key));
                let class = match route {
                    Some(Ok(route)) => route.class.clone(),
                    _ => ClassName::new(NO_CLASS),
                };
                let tenant = request.labels.get("tenant").cloned().unwrap_or_default();
                let service = request.service.clone();
                let asked = Asked {
                    at,
                    id: request.id,
                    service,
                    tenant,
                    class,
                    repeat: request.repeat,
                };
                self.callers.insert(*ticket, asked);
            }
            Event::Forwarded { request, .. } => {
                self.arrived.insert(request.id, at);
            }
            Event::OrderDone { ticket, .. } => {
                if let Some(sent) = self.orders.swap_remove(ticket) {
                    let service = self.metrics.requests.service.get_or_create(&sent.work);
                    service.observe(at.duration_since(sent.at).as_secs_f64());
                }
            }
            Event::CallerGone { ticket } => {
                if let Some(asked) = self.callers.swap_remove(ticket) {
                    self.arrived.swap_remove(&asked.id);
                }
            }
            _ => {}
        }
    }

    /// Notes an action of the machine.
    pub fn action(&mut self, action: &Action, at: Instant) {
        match action {
            Action::SendOrder {
                ticket, request, ..
            } => self.sent(*ticket, request, at),
            Action::Reply { ticket, outcome } => self.replied(*ticket, outcome, at),
            Action::Forward { request, .. } => {
                self.arrived.swap_remove(&request.id);
            }
            _ => {}
        }
    }

    fn sent(&mut self, ticket: Ticket, request: &Request, at: Instant) {
        let work = self
            .metrics
            .requests
            .work(&request.service, &request.tenant, &request.class);
        if let Some(arrived) = self.arrived.swap_remove(&request.id) {
            let waiting = self.metrics.requests.waiting.get_or_create(&work);
            waiting.observe(at.duration_since(arrived).as_secs_f64());
        }
        self.orders.insert(ticket, Sent { at, work });
    }

    fn replied(&mut self, ticket: Ticket, outcome: &Outcome, at: Instant) {
        let Some(asked) = self.callers.swap_remove(&ticket) else {
            return;
        };
        self.arrived.swap_remove(&asked.id);
        let total_ms = u64::try_from(at.duration_since(asked.at).as_millis()).unwrap_or(u64::MAX);
        self.metrics.requests.finished(&Finished {
            service: &asked.service,
            tenant: &asked.tenant,
            class: &asked.class,
            outcome,
            waiting_ms: None,
            service_ms: None,
            total_ms,
        });
        asked.warn(outcome);
        log::debug!(
            request_id:% = asked.id, service:% = asked.service, class:% = asked.class,
            outcome = outcome.name(), total_ms;
            "request finished"
        );
    }
}

impl Asked {
    /// Somebody has to look at the state of the key, and needs to know of it.
    fn warn(&self, outcome: &Outcome) {
        let unclear = matches!(outcome, Outcome::MayHaveRun(_));
        if !unclear || self.repeat == Repeat::Idempotent {
            return;
        }
        log::warn!(
            request_id:% = self.id, service:% = self.service, class:% = self.class,
            reason = reason(outcome);
            "may have run"
        );
    }
}

/// Logs what changed for callers about work that crashes endpoints.
pub fn log_verdict(verdict: &Verdict) {
    match verdict {
        Verdict::Harmful {
            work,
            times,
            crashes,
            refused_ms,
        } => {
            log::warn!(work:%, times, crashes, refused_ms; "work is taken as harmful");
        }
        Verdict::Cleared { work, cause } => log::info!(work:%, cause; "work is let go"),
    }
}
