//! Metrics of endpoints and of the assignment of their services.

use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

use citronway_core::ids::{EndpointName, ServiceName};

use super::labels::{EndpointLabels, ServiceLabels};

type EndpointGauge = Family<EndpointLabels, Gauge>;
type ServiceGauge = Family<ServiceLabels, Gauge>;
type Ratio = Family<ServiceLabels, Gauge<f64, AtomicU64>>;

/// State of an endpoint at its dispatcher.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndpointReading {
    /// Requests waiting.
    pub queued: u32,
    /// Orders it runs at once, as configured.
    pub slots: u32,
    /// Orders that are allowed at once now.
    pub limit: u32,
    /// Orders sent and not answered.
    pub running: u32,
    /// Whether it answers probes.
    pub healthy: bool,
    /// Whether this instance may act as its dispatcher.
    pub may_act: bool,
    /// Milliseconds since this instance last held all promises.
    pub hold_age_ms: u64,
}

/// State of a service's assignment.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceReading {
    /// Shards that nobody serves.
    pub unowned: u32,
    /// Shards on their way to another owner.
    pub moving: u32,
    /// Most shards of an endpoint over the mean of its group; 1 is even.
    pub imbalance: f64,
}

/// Metrics of endpoints that this instance dispatches, and of services.
#[derive(Debug)]
pub struct EndpointMetrics {
    /// Requests waiting.
    pub queued: EndpointGauge,
    /// Orders an endpoint runs at once, as configured.
    pub slots: EndpointGauge,
    /// Orders that are allowed at once now.
    pub limit: EndpointGauge,
    /// Orders sent and not answered.
    pub running: EndpointGauge,
    /// 1 while an endpoint answers probes.
    pub healthy: EndpointGauge,
    /// 1 while this instance may act as its dispatcher.
    pub may_act: EndpointGauge,
    /// Time since this instance last held all promises.
    pub hold_age: Family<EndpointLabels, Gauge<f64, AtomicU64>>,
    /// Shards that nobody serves.
    pub unowned: ServiceGauge,
    /// Shards on their way to another owner.
    pub moving: ServiceGauge,
    /// Most shards of an endpoint over the mean of its group.
    pub imbalance: Ratio,
    /// Changes of owner.
    pub moves: Family<ServiceLabels, Counter>,
}

impl EndpointMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        Self {
            queued: add(registry, "endpoint_queued", "Requests waiting"),
            slots: add(
                registry,
                "endpoint_slots",
                "Orders run at once, as configured",
            ),
            limit: add(registry, "endpoint_limit", "Orders allowed at once now"),
            running: add(registry, "endpoint_running", "Orders sent and not answered"),
            healthy: add(registry, "endpoint_healthy", "1 while it answers probes"),
            may_act: add(
                registry,
                "endpoint_hold_may_act",
                "1 while this instance may act as dispatcher",
            ),
            hold_age: add_seconds(
                registry,
                "endpoint_hold_age",
                "Time since this instance last held all promises",
            ),
            unowned: add(registry, "shards_unowned", "Shards that nobody serves"),
            moving: add(
                registry,
                "shards_moving",
                "Shards on their way to another owner",
            ),
            imbalance: add(
                registry,
                "imbalance_ratio",
                "Most shards of an endpoint over the mean of its group's members, of the least even group",
            ),
            moves: add(
                registry,
                "shard_moves",
                "Changes of owner, as seen by this instance",
            ),
        }
    }

    /// Shows the state of an endpoint.
    pub fn show(&self, endpoint: &EndpointName, reading: &EndpointReading) {
        let labels = labels(endpoint);
        set(&self.queued, &labels, reading.queued.into());
        set(&self.slots, &labels, reading.slots.into());
        set(&self.limit, &labels, reading.limit.into());
        set(&self.running, &labels, reading.running.into());
        set(&self.healthy, &labels, reading.healthy.into());
        set(&self.may_act, &labels, reading.may_act.into());
        self.hold_age
            .get_or_create(&labels)
            .set(reading.hold_age_ms as f64 / 1000.0);
    }

    /// Drops an endpoint that this instance no longer dispatches.
    ///
    /// Failure: two instances show the same endpoint after its dispatcher has
    /// changed, and the old one's queue stands still at its last figure.
    pub fn forget(&self, endpoint: &EndpointName) {
        let labels = labels(endpoint);
        for family in [
            &self.queued,
            &self.slots,
            &self.limit,
            &self.running,
            &self.healthy,
            &self.may_act,
        ] {
            family.remove(&labels);
        }
        self.hold_age.remove(&labels);
    }

    /// Shows the state of a service's assignment.
    pub fn show_service(&self, service: &ServiceName, reading: &ServiceReading) {
        let labels = ServiceLabels {
            service: service.to_string(),
        };
        self.unowned
            .get_or_create(&labels)
            .set(reading.unowned.into());
        self.moving
            .get_or_create(&labels)
            .set(reading.moving.into());
        self.imbalance.get_or_create(&labels).set(reading.imbalance);
    }

    /// Counts shards of a service that have changed their owner.
    pub fn moved(&self, service: &ServiceName, shards: u64) {
        let service = service.to_string();
        let labels = ServiceLabels { service };
        self.moves.get_or_create(&labels).inc_by(shards);
    }
}

fn labels(endpoint: &EndpointName) -> EndpointLabels {
    EndpointLabels {
        endpoint: endpoint.to_string(),
    }
}

fn set(family: &EndpointGauge, labels: &EndpointLabels, value: i64) {
    family.get_or_create(labels).set(value);
}

/// Registers a metric and gives it back.
pub(super) fn add<M>(registry: &mut Registry, name: &str, help: &str) -> M
where
    M: prometheus_client::registry::Metric + Default + Clone,
{
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}

/// Registers a metric in seconds and gives it back.
pub(super) fn add_seconds<M>(registry: &mut Registry, name: &str, help: &str) -> M
where
    M: prometheus_client::registry::Metric + Default + Clone,
{
    let metric = M::default();
    registry.register_with_unit(name, help, Unit::Seconds, metric.clone());
    metric
}
