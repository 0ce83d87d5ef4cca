//! How many requests a cold endpoint gets from all instances together.
//!
//! An endpoint that has just started crashes under more requests a second than its service
//! states. The leader spaces them out: an instance asks it before each send to a cold endpoint.

use indexmap::IndexMap;

use crate::gateway::leader::{FormerLeaderLimits, LeaderSettings};
use crate::gateway::pace::EndpointTag;
use crate::time::Mono;

/// Time in which a new leader grants nothing, in milliseconds: what its predecessor granted is
/// sent and counted by then.
const FORMER_GRANTS_MS: u64 = 1_200;

/// Requests that may follow each other at once after a pause.
const BURST: f64 = 2.0;

/// Shortest time to come back that is told, in milliseconds.
const MIN_BUSY_MS: u64 = 20;

/// Endpoints that are remembered before those that are free again are forgotten.
const REMEMBERED: usize = 4_096;

/// A request for a send to a cold endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRequest {
    /// Which endpoint.
    pub endpoint: EndpointTag,
    /// Requests a second that all instances together may send there.
    pub per_s: f64,
    /// How long the request would wait for its turn, in milliseconds.
    pub max_wait_ms: u64,
}

/// What is decided about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdGrant {
    /// It may be sent so much later.
    Granted {
        /// In milliseconds.
        after_ms: u64,
    },
    /// It is not to be sent; the next one may be after this time.
    Busy {
        /// In milliseconds.
        for_ms: u64,
    },
}

/// What a leader knows of others that may grant sends beside it.
#[derive(Debug, Clone, Copy)]
pub struct LeaderStanding {
    /// Start of the newest call by which the store confirmed it.
    pub confirmed_at: Mono,
    /// What earlier leaders may still do.
    pub rivals: FormerLeaderLimits,
    /// Earlier leaders that are not known to have stopped.
    pub earlier_leaders: u32,
}

/// Which part of all sends a leader grants now; none if it grants nothing.
///
/// Failure guarded against: a leader that was replaced unawares grants on beside its
/// successor, and a cold endpoint gets twice what it bears. A leader that the store has not
/// confirmed for a while leaves half to a successor, and each successor half of its part to
/// those before it for as long as they may be at work.
#[must_use]
pub fn granted_share(now: Mono, cfg: &LeaderSettings, office: &LeaderStanding) -> Option<f64> {
    let unconfirmed_ms = now.since(office.confirmed_at);
    if unconfirmed_ms >= cfg.contact_limit_ms || now < office.rivals.connect_until {
        return None;
    }
    let earlier = if now < office.rivals.hold_until {
        office.earlier_leaders
    } else {
        0
    };
    let halvings = earlier + u32::from(unconfirmed_ms >= cfg.connect_limit_ms);
    Some(0.5_f64.powi(i32::try_from(halvings).ok()?))
}

/// Sends of the whole fleet to cold endpoints, as the leader grants them.
#[derive(Debug, Default)]
pub struct ColdSendLimiter {
    /// Until then none is granted.
    not_before: Mono,
    /// When the next send would be due at an even pace, by endpoint, in milliseconds.
    due: IndexMap<EndpointTag, f64>,
}

impl ColdSendLimiter {
    /// None so far, and none is granted for a while.
    ///
    /// Failure guarded against: the leader changes, its successor knows nothing of what was
    /// granted a moment ago, and the endpoint gets twice as much.
    #[must_use]
    pub fn for_new_leader(now: Mono) -> Self {
        Self {
            not_before: now.plus(FORMER_GRANTS_MS),
            ..Self::default()
        }
    }

    /// Decides about a send by a leader that grants this part of all.
    pub fn request_with_share(
        &mut self,
        now: Mono,
        req: &ColdRequest,
        part: Option<f64>,
    ) -> ColdGrant {
        let Some(part) = part else {
            let for_ms = FORMER_GRANTS_MS;
            return ColdGrant::Busy { for_ms };
        };
        let per_s = req.per_s * part;
        self.request(now, &ColdRequest { per_s, ..*req })
    }

    /// Decides about a send; one that is granted counts whether it is made or not.
    pub fn request(&mut self, now: Mono, req: &ColdRequest) -> ColdGrant {
        if !req.per_s.is_finite() || req.per_s <= 0.0 {
            let for_ms = FORMER_GRANTS_MS;
            return ColdGrant::Busy { for_ms };
        }
        self.forget_free(now);
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

    fn forget_free(&mut self, now: Mono) {
        if self.due.len() >= REMEMBERED {
            self.due.retain(|_, due| *due > now.0 as f64);
        }
    }
}
