//! Metrics of second sends.

use std::sync::atomic::AtomicU64;

use citronway_core::gateway::budget::{CountSource, RetryCause, Sharing};
use citronway_core::ids::ServiceName;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Whether a request is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RetryResult {
    /// A second send was taken from the budget.
    Used,
    /// The budget has none left.
    Refused,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RetryLabels {
    service: String,
    cause: &'static str,
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SourceLabels {
    source: &'static str,
}

/// Metrics of second sends; clones share their values.
#[derive(Debug, Clone)]
pub struct RetryMetrics {
    retries: Family<RetryLabels, Counter>,
    left: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    sharing: Family<SourceLabels, Gauge>,
}

impl RetryMetrics {
    /// Creates the metrics and registers them.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let retries = Family::default();
        let help = "Second sends of requests by service, cause and whether the budget had one";
        registry.register("second_sends", help, retries.clone());
        let left = Family::default();
        let help = "Second sends that this instance may still make now, by service";
        registry.register("second_sends_left", help, left.clone());
        let sharing = Family::default();
        let help = "Instances that share the limit on second sends, by where the number comes from";
        registry.register("sharing_instances", help, sharing.clone());
        Self {
            retries,
            left,
            sharing,
        }
    }

    /// Counts a second send that was used or refused.
    pub(super) fn count(&self, service: &ServiceName, cause: RetryCause, result: RetryResult) {
        let result = match result {
            RetryResult::Used => "used",
            RetryResult::Refused => "refused",
        };
        let labels = RetryLabels {
            service: service.as_str().to_owned(),
            cause: cause.as_str(),
            result,
        };
        self.retries.get_or_create(&labels).inc();
    }

    /// Sets how many second sends of a service are left.
    pub(super) fn set_left(&self, service: &ServiceName, left: f64) {
        let service = service.as_str().to_owned();
        let labels = ServiceLabels { service };
        self.left.get_or_create(&labels).set(left.max(0.0));
    }

    /// Sets the number of instances that share the limit; the other sources are set to zero.
    pub(super) fn set_sharing(&self, sharing: Sharing) {
        for source in CountSource::ALL {
            let count = if source == sharing.source {
                i64::from(sharing.instances)
            } else {
                0
            };
            let source = source.as_str();
            let labels = SourceLabels { source };
            self.sharing.get_or_create(&labels).set(count);
        }
    }
}
