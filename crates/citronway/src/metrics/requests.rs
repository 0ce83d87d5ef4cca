//! Metrics of requests.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use serde::Serialize;

use citronway_core::ids::{ClassName, ServiceName};
use citronway_core::outcome::Outcome;

use super::labels::{OutcomeLabels, WorkLabels};
use super::tenants::TenantNames;

/// Upper ends of the histograms' buckets, in seconds.
const BUCKETS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0,
];

/// Labels of requests that were malformed.
const UNREAD: &str = "none";
const NOT_RUN: &str = "not_run";
const BAD_REQUEST: &str = "bad_request";

const MS_PER_SECOND: f64 = 1000.0;

type Histograms = Family<WorkLabels, Histogram>;

/// A request that has its outcome.
#[derive(Debug, Clone, Copy)]
pub struct Finished<'a> {
    /// Service it was for.
    pub service: &'a ServiceName,
    /// Tenant as its caller names it; empty if none.
    pub tenant: &'a str,
    /// Class that the selectors put it in.
    pub class: &'a ClassName,
    /// What became of it.
    pub outcome: &'a Outcome,
    /// Time in the dispatcher's queue, in milliseconds; absent where it is not known.
    pub waiting_ms: Option<u64>,
    /// Time at the endpoint, in milliseconds; absent if it was not sent.
    pub service_ms: Option<u64>,
    /// Time from its arrival to its outcome, in milliseconds.
    pub total_ms: u64,
}

/// Metrics of requests, for each service, tenant and class.
#[derive(Debug)]
pub struct RequestMetrics {
    /// Time in the dispatcher's queue.
    pub waiting: Histograms,
    /// Time at the endpoint.
    pub service: Histograms,
    /// Time from arrival to outcome at the entry.
    pub total: Histograms,
    /// Requests for each outcome and reason.
    pub outcomes: Family<OutcomeLabels, Counter>,
    /// Tenants that have metrics of their own.
    pub tenants: TenantNames,
}

impl RequestMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            waiting: Family::new_with_constructor(histogram),
            service: Family::new_with_constructor(histogram),
            total: Family::new_with_constructor(histogram),
            outcomes: Family::default(),
            tenants: TenantNames::default(),
        };
        registry.register_with_unit(
            "request_waiting",
            "Time a request waited in its dispatcher's queue",
            Unit::Seconds,
            metrics.waiting.clone(),
        );
        registry.register_with_unit(
            "request_service",
            "Time a request took at its endpoint",
            Unit::Seconds,
            metrics.service.clone(),
        );
        registry.register_with_unit(
            "request_total",
            "Time from a request's arrival to its outcome",
            Unit::Seconds,
            metrics.total.clone(),
        );
        registry.register(
            "requests",
            "Requests by outcome and reason",
            metrics.outcomes.clone(),
        );
        metrics
    }

    /// Counts a request that has its outcome and observes its times.
    pub fn finished(&self, finished: &Finished<'_>) {
        let work = self.work(finished.service, finished.tenant, finished.class);
        if let Some(ms) = finished.waiting_ms {
            self.waiting.get_or_create(&work).observe(seconds(ms));
        }
        if let Some(ms) = finished.service_ms {
            self.service.get_or_create(&work).observe(seconds(ms));
        }
        self.total
            .get_or_create(&work)
            .observe(seconds(finished.total_ms));
        let outcome = OutcomeLabels {
            service: work.service,
            tenant: work.tenant,
            class: work.class,
            outcome: finished.outcome.name(),
            reason: reason(finished.outcome),
        };
        self.outcomes.get_or_create(&outcome).inc();
    }

    /// Shows how many requests were malformed. What they are for may not be
    /// readable, and is not taken as a label from whoever sent them.
    pub fn show_malformed(&self, malformed: u64) {
        let labels = OutcomeLabels {
            service: UNREAD.to_owned(),
            tenant: UNREAD.to_owned(),
            class: UNREAD.to_owned(),
            outcome: NOT_RUN,
            reason: BAD_REQUEST.to_owned(),
        };
        let shown = self.outcomes.get_or_create(&labels);
        shown.inc_by(malformed.saturating_sub(shown.get()));
    }

    /// Labels of work, with the tenant bounded.
    #[must_use]
    pub fn work(&self, service: &ServiceName, tenant: &str, class: &ClassName) -> WorkLabels {
        WorkLabels {
            service: service.to_string(),
            tenant: self.tenants.label(tenant),
            class: class.to_string(),
        }
    }
}

fn histogram() -> Histogram {
    Histogram::new(BUCKETS)
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / MS_PER_SECOND
}

/// Why there is no answer, as metrics and logs name it; empty if there is one.
#[must_use]
pub fn reason(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered(_) => String::new(),
        Outcome::NotRun(not_run) => word(&not_run.reason),
        Outcome::MayHaveRun(may) => word(&may.reason),
    }
}

/// The word that a unit variant has in JSON.
fn word(reason: &impl Serialize) -> String {
    match serde_json::to_value(reason) {
        Ok(serde_json::Value::String(word)) => word,
        _ => String::new(),
    }
}
