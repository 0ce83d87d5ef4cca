//! Shows the counters of other threads as metrics.

use std::sync::Arc;

use prometheus_client::metrics::counter::Counter as Metric;

use crate::metrics::{Direction, Metrics, RingLabels, TrafficLabels};
use crate::peers::{Counter, PeerCounters};

/// Kind under which control messages are shown.
const KIND: &str = "control";
/// Ring of control messages to an instance that takes them too slowly.
const LINK: &str = "link";
/// Ring of events from other instances.
const PEER_EVENTS: &str = "peer_events";

/// Counters of the peers duty, shown as metrics.
#[derive(Debug)]
pub struct Traffic {
    counters: Arc<PeerCounters>,
}

impl Traffic {
    /// Shows `counters`.
    pub const fn new(counters: Arc<PeerCounters>) -> Self {
        Self { counters }
    }

    /// Brings the metrics up to the counters.
    pub fn show(&self, metrics: &Metrics) {
        let from = &self.counters;
        let control = &metrics.control;
        for (direction, messages, bytes) in [
            (
                Direction::Sent,
                &from.control_messages_sent,
                &from.control_bytes_sent,
            ),
            (
                Direction::Received,
                &from.control_messages_received,
                &from.control_bytes_received,
            ),
        ] {
            let kind = KIND;
            let labels = TrafficLabels { direction, kind };
            raise(&control.messages.get_or_create(&labels), messages);
            raise(&control.bytes.get_or_create(&labels), bytes);
        }
        for (ring, dropped) in [
            (LINK, &from.control_dropped),
            (PEER_EVENTS, &from.events_dropped),
        ] {
            let labels = RingLabels { ring };
            raise(&control.ring_drops.get_or_create(&labels), dropped);
        }
    }
}

/// Raises a metric that nobody else counts to what a counter says.
fn raise(metric: &Metric, counter: &Counter) {
    metric.inc_by(counter.get().saturating_sub(metric.get()));
}
