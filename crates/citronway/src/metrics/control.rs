//! Metrics of the instance itself and its control messages.

use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::endpoints::{add, add_seconds};
use super::labels::{Direction, RingLabels, TrafficLabels};

/// Metrics of the instance itself.
#[derive(Debug)]
pub struct ControlMetrics {
    /// 1 while the instance takes work.
    pub serving: Gauge,
    /// Version of the configuration in force at this instance.
    pub config_version: Gauge<u64, AtomicU64>,
    /// Highest version of the configuration that this instance has heard of.
    pub config_known: Gauge<u64, AtomicU64>,
    /// Time since the instance last heard from the store, or since its start.
    pub store_age: Gauge<f64, AtomicU64>,
    /// Other instances that it hears.
    pub peers: Gauge,
    /// Dispatch holds that lapsed.
    pub holds_lapsed: Counter,
    /// Writes to the store whose answer was lost.
    pub writes_unknown: Counter,
    /// Bytes of control messages.
    pub bytes: Family<TrafficLabels, Counter>,
    /// Control messages.
    pub messages: Family<TrafficLabels, Counter>,
    /// Items dropped because a ring between threads was full.
    pub ring_drops: Family<RingLabels, Counter>,
}

impl ControlMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        Self {
            serving: add(registry, "serving", "1 while the instance takes work"),
            config_version: add(
                registry,
                "config_version",
                "Version of the configuration in force",
            ),
            config_known: add(
                registry,
                "config_known_version",
                "Highest version of the configuration heard of",
            ),
            store_age: add_seconds(
                registry,
                "store_age",
                "Time since the store was last heard, or since the start",
            ),
            peers: add(registry, "peers", "Other instances heard"),
            holds_lapsed: add(registry, "holds_lapsed", "Dispatch holds that lapsed"),
            writes_unknown: add(
                registry,
                "writes_unknown",
                "Writes to the store whose answer was lost",
            ),
            bytes: add(registry, "control_bytes", "Bytes of control messages"),
            messages: add(registry, "control_messages", "Control messages"),
            ring_drops: add(
                registry,
                "ring_drops",
                "Items dropped because a ring between threads was full",
            ),
        }
    }

    /// Counts a control message of `bytes` bytes.
    pub fn message(&self, direction: Direction, kind: &'static str, bytes: u64) {
        let labels = TrafficLabels { direction, kind };
        self.messages.get_or_create(&labels).inc();
        self.bytes.get_or_create(&labels).inc_by(bytes);
    }

    /// Counts an item dropped because the ring was full.
    pub fn dropped(&self, ring: &'static str) {
        self.ring_drops.get_or_create(&RingLabels { ring }).inc();
    }
}
