//! Idle open connections of this instance, by endpoint.

use indexmap::IndexMap;

use crate::gateway::pace::EndpointTag;
use crate::gateway::routes::Repeat;
use crate::time::Mono;

/// Idle time up to which a connection is probably still open, in milliseconds: endpoints state
/// a keep-alive of 10 s, less a margin of 1 s.
const IDLE_MS: u64 = 9_000;

/// Idle time of a connection up to which non-idempotent requests are sent on it, in
/// milliseconds. Endpoints state a keep-alive of 10 s and at times close after a third of it.
pub const AT_MOST_ONCE_IDLE_MS: u64 = 2_000;

/// Idle connections by endpoint: their number, and when the last one became idle.
#[derive(Debug, Default)]
pub(super) struct IdleConnections(IndexMap<EndpointTag, (u32, Mono)>);

impl IdleConnections {
    /// Records that a request has ended and left its connection open.
    pub(super) fn record_idle(&mut self, now: Mono, tag: EndpointTag) {
        let (count, last) = self.0.entry(tag).or_default();
        *count += 1;
        *last = now;
    }

    /// Records that a request takes a connection or opens one.
    pub(super) fn record_use(&mut self, tag: EndpointTag) {
        let Some((count, _)) = self.0.get_mut(&tag) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.0.swap_remove(&tag);
        }
    }

    /// Removes the connections to an endpoint.
    pub(super) fn remove(&mut self, tag: EndpointTag) {
        self.0.swap_remove(&tag);
    }

    /// Whether an idle connection is recent enough for a request of this kind.
    pub(super) fn has_reusable(&self, now: Mono, tag: EndpointTag, repeat: Repeat) -> bool {
        let limit_ms = match repeat {
            Repeat::Idempotent => IDLE_MS,
            Repeat::AtMostOnce => AT_MOST_ONCE_IDLE_MS,
        };
        let idle = self.0.get(&tag);
        idle.is_some_and(|(_, last)| now.since(*last) < limit_ms)
    }
}
