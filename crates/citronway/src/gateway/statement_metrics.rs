//! Metrics of what endpoints state of themselves.

use citronway_core::gateway::stated_limits::SendGrant;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::metrics::AnswerLabels;

/// Metrics of what endpoints state of themselves; clones share their values.
#[derive(Debug, Clone)]
pub struct StatementMetrics {
    limited_endpoints: Gauge,
    limited_sends: Family<AnswerLabels, Counter>,
    leaving_endpoints: Gauge,
    resting_endpoints: Gauge,
    held_for_rest: Counter,
}

impl StatementMetrics {
    /// Creates the metrics and registers them.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let limited_endpoints = Gauge::default();
        let help = "Endpoints that state a limit on the requests of all instances";
        registry.register("limited_endpoints", help, limited_endpoints.clone());
        let limited_sends = Family::default();
        let help = "Requests for sends to endpoints that state a limit, by answer";
        registry.register("limited_sends", help, limited_sends.clone());
        let leaving_endpoints = Gauge::default();
        let help = "Listed endpoints that state that they leave";
        registry.register("leaving_endpoints", help, leaving_endpoints.clone());
        let resting_endpoints = Gauge::default();
        let help = "Endpoints that asked this instance for rest";
        registry.register("resting_endpoints", help, resting_endpoints.clone());
        let held_for_rest = Counter::default();
        let help = "Requests that waited for an endpoint that rests";
        registry.register("held_for_rest", help, held_for_rest.clone());
        Self {
            limited_endpoints,
            limited_sends,
            leaving_endpoints,
            resting_endpoints,
            held_for_rest,
        }
    }

    /// Counts a query about sends to an endpoint that states a limit.
    pub(super) fn count_limited_send(&self, grant: SendGrant) {
        let answer = match grant {
            SendGrant::Granted { .. } => "granted",
            SendGrant::Busy { .. } => "busy",
            SendGrant::Unavailable => "unavailable",
        };
        let labels = AnswerLabels { answer };
        self.limited_sends.get_or_create(&labels).inc();
    }

    /// Sets the number of endpoints that state a limit.
    pub(super) fn set_limited_endpoints(&self, count: usize) {
        self.limited_endpoints.set(gauge_value(count));
    }

    /// Sets the number of listed endpoints that state that they leave.
    pub(super) fn set_leaving_endpoints(&self, count: usize) {
        self.leaving_endpoints.set(gauge_value(count));
    }

    /// Sets the number of endpoints that asked this instance for rest.
    pub(super) fn set_resting_endpoints(&self, count: usize) {
        self.resting_endpoints.set(gauge_value(count));
    }

    /// Counts requests that waited for an endpoint that rests.
    pub(super) fn count_held_for_rest(&self, count: u64) {
        self.held_for_rest.inc_by(count);
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
