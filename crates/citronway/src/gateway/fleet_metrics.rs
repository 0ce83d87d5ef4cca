//! Metrics of admission control across all instances.

use citronway_core::gateway::admission::FleetCounts;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RoomLabels {
    room: &'static str,
}

/// Metrics of admission control across all instances; clones share their values.
#[derive(Debug, Clone)]
pub struct FleetMetrics {
    in_use: Gauge,
    returned: Counter,
    refused: Family<RoomLabels, Counter>,
}

impl FleetMetrics {
    /// Creates the metrics and registers them.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let in_use = Gauge::default();
        let help = "Whether requests are admitted by the demand of all instances";
        registry.register("fleet_admission", help, in_use.clone());
        let returned = Counter::default();
        let help = "Requests of callers that came back after a refusal";
        registry.register("returned", help, returned.clone());
        let refused = Family::default();
        let help = "Refusals by the demand of all instances, by whether room is expected in time";
        registry.register("fleet_refused", help, refused.clone());
        Self {
            in_use,
            returned,
            refused,
        }
    }

    /// Records whether the demand of all instances is in use, and decisions by it.
    pub(super) fn record(&self, in_use: bool, counts: FleetCounts) {
        self.in_use.set(i64::from(in_use));
        self.returned.inc_by(counts.returned);
        let refused = [
            ("later", counts.with_room_later),
            ("none", counts.without_room),
        ];
        for (room, count) in refused {
            let labels = RoomLabels { room };
            self.refused.get_or_create(&labels).inc_by(count);
        }
    }
}
