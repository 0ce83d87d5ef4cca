//! What the duty has sent, received and dropped.

use std::sync::atomic::{AtomicU64, Ordering};

/// A number that only grows.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Present value.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    pub(super) fn add(&self, n: usize) {
        self.0.fetch_add(n as u64, Ordering::Relaxed);
    }
}

/// Counters of one process since its start.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Control messages handed to the codec, once for each receiver.
    pub control_messages_sent: Counter,
    /// Bytes of these messages, without envelopes.
    pub control_bytes_sent: Counter,
    /// Calls that carried them.
    pub control_calls_sent: Counter,
    /// Control messages received.
    pub control_messages_received: Counter,
    /// Bytes of these messages, without envelopes.
    pub control_bytes_received: Counter,
    /// Control messages dropped for want of room on a link.
    pub control_dropped: Counter,
    /// Control messages dropped because their receiver was not connected.
    pub control_unreachable: Counter,
    /// Control messages dropped because they were larger than a message may be.
    pub control_oversize: Counter,
    /// Received control messages dropped for want of room in the events' ring.
    pub events_dropped: Counter,
    /// Requests handed to dispatchers.
    pub forwards_sent: Counter,
    /// Requests that could not be handed on.
    pub forwards_not_sent: Counter,
    /// Requests handed on whose outcome is unknown.
    pub forwards_lost: Counter,
    /// Requests received as dispatcher.
    pub forwards_received: Counter,
    /// Requests received but refused for want of room.
    pub forwards_refused: Counter,
    /// All bytes written to connections, in both roles.
    pub connection_bytes_sent: Counter,
    /// All bytes read from connections, in both roles.
    pub connection_bytes_received: Counter,
    /// Outgoing links that were greeted.
    pub links_opened: Counter,
    /// Greetings refused by this instance.
    pub greetings_refused: Counter,
    /// Incoming calls refused because a message was malformed.
    pub malformed: Counter,
}
