//! Metrics of requests that arrive before earlier ones of their connection are answered.

use citronway_core::gateway::pipeline::Hold;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HoldLabels {
    reason: &'static str,
}

/// Metrics of requests that arrive before earlier ones are answered; clones share their values.
#[derive(Debug, Clone)]
pub struct PipelineMetrics {
    ahead: Gauge,
    begun: Counter,
    held: Family<HoldLabels, Counter>,
}

impl PipelineMetrics {
    /// Creates the metrics and registers them.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let ahead = Gauge::default();
        let help = "Requests begun before an earlier one of their connection is answered";
        registry.register("pipelined", help, ahead.clone());
        let begun = Counter::default();
        let help = "Requests that were begun before an earlier one was answered";
        registry.register("pipelined_begun", help, begun.clone());
        let held = Family::<HoldLabels, Counter>::default();
        for reason in Hold::ALL {
            let reason = reason.as_str();
            drop(held.get_or_create(&HoldLabels { reason }));
        }
        let help = "Requests that waited for the earlier ones of their connection, by reason";
        registry.register("pipelined_held", help, held.clone());
        Self { ahead, begun, held }
    }

    /// Sets the number of requests that are begun before an earlier one is answered.
    pub(super) fn set_ahead(&self, count: u32) {
        self.ahead.set(i64::from(count));
    }

    /// Counts a request that is begun before an earlier one is answered.
    pub(super) fn count_begun(&self) {
        self.begun.inc();
    }

    /// Counts a request that waits for the earlier ones.
    pub(super) fn count_held(&self, reason: Hold) {
        let reason = reason.as_str();
        self.held.get_or_create(&HoldLabels { reason }).inc();
    }
}
