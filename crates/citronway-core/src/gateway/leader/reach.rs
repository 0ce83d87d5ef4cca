//! Failure detection of endpoints, by their answers to the leader's orders.

use indexmap::IndexMap;

use crate::gateway::leader::LeaderSettings;
use crate::ids::EndpointStart;
use crate::time::Mono;

/// Fewest consecutive failures of a lost endpoint.
const MIN_FAILURES: u32 = 2;

/// Time after its last failure at which a lost endpoint is tried again, in milliseconds.
///
/// A lost endpoint receives no orders that could reveal its recovery. This is longer than
/// the hold that must end before its keys can be reassigned.
const LOST_RETRY_MS: u64 = 5_000;

/// Share of lost endpoints from which on the leader itself counts as cut off, as a fraction.
const CUT_OFF_SHARE: (usize, usize) = (3, 5);

/// Reachability of each endpoint.
#[derive(Debug, Default)]
pub(super) struct Reach {
    endpoints: IndexMap<EndpointStart, Link>,
}

#[derive(Debug, Default)]
struct Link {
    failing_since: Option<Mono>,
    failures: u32,
    last_failure_at: Mono,
}

impl Reach {
    pub(super) fn answered(&mut self, endpoint: &EndpointStart) {
        if let Some(link) = self.endpoints.get_mut(endpoint) {
            link.failing_since = None;
            link.failures = 0;
            return;
        }
        self.endpoints.insert(endpoint.clone(), Link::default());
    }

    pub(super) fn failed(&mut self, now: Mono, endpoint: &EndpointStart) {
        let link = self.endpoints.entry(endpoint.clone()).or_default();
        link.failing_since.get_or_insert(now);
        link.failures += 1;
        link.last_failure_at = now;
    }

    /// Whether the last failure is so recent that the next order must wait.
    pub(super) fn backs_off(&self, cfg: &LeaderSettings, now: Mono, e: &EndpointStart) -> bool {
        self.endpoints
            .get(e)
            .is_some_and(|link| link.failures > 0 && now.since(link.last_failure_at) < cfg.retry_ms)
    }

    pub(super) fn is_lost(&self, cfg: &LeaderSettings, now: Mono, e: &EndpointStart) -> bool {
        self.endpoints
            .get(e)
            .is_some_and(|link| link.is_lost(cfg, now))
    }

    pub(super) fn is_cut_off(&self, cfg: &LeaderSettings, now: Mono) -> bool {
        let lost = self
            .endpoints
            .values()
            .filter(|link| link.is_lost(cfg, now))
            .count();
        lost >= 2 && lost * CUT_OFF_SHARE.1 >= self.endpoints.len() * CUT_OFF_SHARE.0
    }

    pub(super) fn forget_absent(&mut self, listed: impl Fn(&EndpointStart) -> bool) {
        self.endpoints.retain(|id, _| listed(id));
    }
}

impl Link {
    fn is_lost(&self, cfg: &LeaderSettings, now: Mono) -> bool {
        self.failures >= MIN_FAILURES
            && now.since(self.last_failure_at) < LOST_RETRY_MS
            && self
                .failing_since
                .is_some_and(|since| now.since(since) >= cfg.lost_after_ms)
    }
}
