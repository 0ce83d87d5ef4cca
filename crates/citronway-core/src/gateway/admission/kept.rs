//! Which endpoints this instance has an open connection to that no request uses.

use indexmap::IndexMap;

use crate::gateway::pace::EndpointTag;
use crate::gateway::routes::Repeat;
use crate::time::Mono;

/// Idle time up to which a connection is likely still open, in milliseconds: endpoints
/// state ten seconds, and one is to spare.
const IDLE_MS: u64 = 9_000;

/// Idle time of a connection up to which work that may not be repeated is sent on it, in
/// milliseconds; endpoints state ten seconds and at times keep to a third of it.
pub const AT_MOST_ONCE_IDLE_MS: u64 = 2_000;

/// Connections without a request, by endpoint: how many, and when the last one got idle.
#[derive(Debug, Default)]
pub(super) struct Kept(IndexMap<EndpointTag, (u32, Mono)>);

impl Kept {
    /// A request has ended and left its connection open.
    pub(super) fn idle(&mut self, now: Mono, tag: EndpointTag) {
        let (count, last) = self.0.entry(tag).or_default();
        *count += 1;
        *last = now;
    }

    /// A request takes a connection, or opens one.
    pub(super) fn used(&mut self, tag: EndpointTag) {
        let Some((count, _)) = self.0.get_mut(&tag) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.0.swap_remove(&tag);
        }
    }

    /// Its connections are gone.
    pub(super) fn lost(&mut self, tag: EndpointTag) {
        self.0.swap_remove(&tag);
    }

    /// Whether there is one on which such work would be sent.
    pub(super) fn has(&self, now: Mono, tag: EndpointTag, repeat: Repeat) -> bool {
        let limit_ms = match repeat {
            Repeat::Idempotent => IDLE_MS,
            Repeat::AtMostOnce => AT_MOST_ONCE_IDLE_MS,
        };
        let kept = self.0.get(&tag);
        kept.is_some_and(|(_, last)| now.since(*last) < limit_ms)
    }
}
