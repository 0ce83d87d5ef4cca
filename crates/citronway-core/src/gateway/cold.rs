//! Rate limit of all instances together for requests to cold endpoints.
//!
//! An endpoint that has just started crashes under more requests a second than its service
//! states. The leader spaces the requests: an instance asks it for a grant before it sends a
//! request to a cold endpoint.

use indexmap::IndexMap;

use crate::gateway::leader::{FormerLeaderLimits, LeaderSettings};
use crate::gateway::pace::EndpointTag;
use crate::time::Mono;

/// Time in milliseconds in which a new leader grants nothing. After it, the requests that its
/// predecessor granted have been sent and counted.
const FORMER_GRANTS_MS: u64 = 1_200;

/// Number of requests that may be sent at once after a pause.
const BURST: f64 = 2.0;

/// Shortest time after which an instance is asked to retry, in milliseconds.
const MIN_BUSY_MS: u64 = 20;

/// Number of tracked endpoints from which on those whose next send time has passed are removed.
const REMEMBERED_ENDPOINTS: usize = 4_096;

/// An instance's query for permission to send a request to a cold endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRequest {
    /// The endpoint.
    pub endpoint: EndpointTag,
    /// Requests a second that all instances together may send to it.
    pub per_s: f64,
    /// Longest time that the request can wait, in milliseconds.
    pub max_wait_ms: u64,
}

/// Answer to a [`ColdRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdGrant {
    /// The request may be sent after a delay.
    Granted {
        /// Delay in milliseconds.
        after_ms: u64,
    },
    /// The request must not be sent.
    Busy {
        /// Time in milliseconds after which the instance may ask again.
        for_ms: u64,
    },
}

/// What a leader knows of itself and of others that may grant sends at the same time.
#[derive(Debug, Clone, Copy)]
pub struct LeaderStanding {
    /// Start of the latest call to the store that confirmed it as leader.
    pub confirmed_at: Mono,
    /// Times until which former leaders may still act.
    pub former_leader_limits: FormerLeaderLimits,
    /// Number of former leaders that are not known to have stopped.
    pub former_leaders: u32,
}

/// Share of all sends that a leader may grant now; `None` if it must grant nothing.
///
/// Failure guarded against: a leader that does not know of its replacement goes on granting
/// beside its successor, and a cold endpoint gets twice the rate that it can handle. Therefore a
/// leader that the store has not confirmed for a while leaves half of its share to a possible
/// successor, and a successor halves its share once for each former leader for as long as
/// former leaders may act.
#[must_use]
pub fn granted_share(now: Mono, cfg: &LeaderSettings, standing: &LeaderStanding) -> Option<f64> {
    share_halved_after(now, cfg, standing, cfg.connect_limit_ms)
}

/// Like [`granted_share`], for a leader that leaves half of its share to a possible successor
/// from this long after its last confirmation on, in milliseconds.
pub(crate) fn share_halved_after(
    now: Mono,
    cfg: &LeaderSettings,
    standing: &LeaderStanding,
    halved_after_ms: u64,
) -> Option<f64> {
    let unconfirmed_ms = now.since(standing.confirmed_at);
    if unconfirmed_ms >= cfg.contact_limit_ms || now < standing.former_leader_limits.connect_until {
        return None;
    }
    let former_leaders = if now < standing.former_leader_limits.hold_until {
        standing.former_leaders
    } else {
        0
    };
    let halvings = former_leaders + u32::from(unconfirmed_ms >= halved_after_ms);
    Some(0.5_f64.powi(i32::try_from(halvings).ok()?))
}

/// Rate limiter by which the leader grants the sends of all instances to cold endpoints.
#[derive(Debug, Default)]
pub struct ColdSendLimiter {
    /// Time before which nothing is granted.
    not_before: Mono,
    /// Time of the next send by endpoint if all sends were evenly spaced, in milliseconds.
    due: IndexMap<EndpointTag, f64>,
}

impl ColdSendLimiter {
    /// Creates a limiter that grants nothing at first.
    ///
    /// Failure guarded against: the leader changes, its successor does not know what was granted
    /// just before, and the endpoint gets twice the rate.
    #[must_use]
    pub fn for_new_leader(now: Mono) -> Self {
        Self {
            not_before: now.plus(FORMER_GRANTS_MS),
            ..Self::default()
        }
    }

    /// Decides on a send for a leader that may grant this share of all sends, see
    /// [`granted_share`].
    pub fn request_with_share(
        &mut self,
        now: Mono,
        req: &ColdRequest,
        share: Option<f64>,
    ) -> ColdGrant {
        let Some(share) = share else {
            let for_ms = FORMER_GRANTS_MS;
            return ColdGrant::Busy { for_ms };
        };
        let per_s = req.per_s * share;
        self.request(now, &ColdRequest { per_s, ..*req })
    }

    /// Decides on a send. A granted send counts even if it is not made.
    pub fn request(&mut self, now: Mono, req: &ColdRequest) -> ColdGrant {
        if !req.per_s.is_finite() || req.per_s <= 0.0 {
            let for_ms = FORMER_GRANTS_MS;
            return ColdGrant::Busy { for_ms };
        }
        self.remove_past(now);
        let gap_ms = 1_000.0 / req.per_s;
        let start = self.not_before.max(now).0 as f64;
        let due = self.due.get(&req.endpoint).copied().unwrap_or_default();
        let earliest = (due - gap_ms * (BURST - 1.0)).max(start);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a wait is positive and far below the range"
        )]
        let wait_ms = (earliest - now.0 as f64).ceil() as u64;
        if wait_ms > req.max_wait_ms {
            let for_ms = wait_ms.max(MIN_BUSY_MS);
            return ColdGrant::Busy { for_ms };
        }
        self.due.insert(req.endpoint, due.max(start) + gap_ms);
        ColdGrant::Granted { after_ms: wait_ms }
    }

    /// Removes endpoints whose next send time has passed if there are too many.
    fn remove_past(&mut self, now: Mono) {
        if self.due.len() >= REMEMBERED_ENDPOINTS {
            self.due.retain(|_, due| *due > now.0 as f64);
        }
    }
}
