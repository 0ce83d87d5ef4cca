//! Times that leaders keep to, and what follows from them for those after them.

use crate::gateway::leader::holds::CallTimes;
use crate::time::Mono;

/// How late timers fire and how exactly times are read, in milliseconds.
const TIMER_MARGIN_MS: u64 = 50;

/// Times of a leader, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct LeaderSettings {
    /// How long a grant holds from its arrival.
    ///
    /// Must outlast one renewal period and a change of the leader; a key whose
    /// holder fell silent waits for its end.
    pub hold_ms: u64,
    /// Time between two renewals of a grant.
    pub renew_ms: u64,
    /// Time after which an unanswered order counts as lost.
    pub order_timeout_ms: u64,
    /// How much later than the end of its call a grant may still arrive.
    ///
    /// Failure: a full endpoint takes a connection late, and what was sent before the
    /// call was given up is read then. Its hold runs from there, and the next owner gets
    /// the keys before it ends.
    pub late_arrival_ms: u64,
    /// Time after which an unanswered release counts as lost: it is answered when the
    /// work on its keys has ended, and the longest takes about three seconds at a slow
    /// endpoint.
    pub release_timeout_ms: u64,
    /// Time between two tries of an order that was lost.
    pub retry_ms: u64,
    /// Time from one write of the row to the next.
    ///
    /// Moves that end at about the same time share a write; each one is passed on to all
    /// instances.
    pub write_gap_ms: u64,
    /// How long grants go on without word from the store that this is the leader.
    ///
    /// Longer than the outages of the store that are to be ridden out.
    pub contact_limit_ms: u64,
    /// How long after word from the store grants may go on connections made since.
    ///
    /// Longer than the time between two such words.
    pub connect_limit_ms: u64,
    /// Silence after which an endpoint counts as lost.
    pub lost_after_ms: u64,
}

impl Default for LeaderSettings {
    fn default() -> Self {
        Self {
            hold_ms: 3_500,
            renew_ms: 1_000,
            order_timeout_ms: 400,
            late_arrival_ms: 250,
            release_timeout_ms: 4_000,
            retry_ms: 250,
            write_gap_ms: 40,
            contact_limit_ms: 13_000,
            connect_limit_ms: 2_000,
            lost_after_ms: 1_000,
        }
    }
}

impl LeaderSettings {
    /// Latest end of a hold whose grant arrived at `arrival` or before.
    ///
    /// The endpoint's clock may run 2% slow.
    #[must_use]
    pub const fn latest_hold_end(&self, arrival: Mono) -> Mono {
        arrival.plus(self.hold_ms + self.hold_ms / 50 + TIMER_MARGIN_MS)
    }

    /// Latest end of a hold that is given by an order of `decided`.
    #[must_use]
    pub const fn end_of_order(&self, decided: Mono) -> Mono {
        self.latest_hold_end(decided.plus(self.order_timeout_ms + self.late_arrival_ms))
    }

    pub(super) const fn call_times(&self, decided: Mono) -> CallTimes {
        CallTimes {
            arrival: decided.plus(self.order_timeout_ms + self.late_arrival_ms),
            end: self.end_of_order(decided),
        }
    }

    /// What an earlier leader, replaced at `replaced`, may still do.
    #[must_use]
    pub const fn predecessor_limits(&self, replaced: Mono) -> PredecessorLimits {
        PredecessorLimits {
            connect_until: replaced.plus(self.connect_limit_ms + TIMER_MARGIN_MS),
            hold_until: replaced.plus(self.predecessor_wait_ms()),
        }
    }

    /// What a leader that stopped at `at` may have left behind.
    #[must_use]
    pub const fn stopped_predecessor_limits(&self, at: Mono) -> PredecessorLimits {
        PredecessorLimits {
            connect_until: at.plus(self.order_timeout_ms + TIMER_MARGIN_MS),
            hold_until: self.end_of_order(at),
        }
    }

    /// How long after it was replaced an earlier leader's last hold can end, in
    /// milliseconds.
    #[must_use]
    pub const fn predecessor_wait_ms(&self) -> u64 {
        self.end_of_order(Mono(self.contact_limit_ms)).0
    }
}

/// What earlier leaders may still do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PredecessorLimits {
    /// Until then they may make connections to endpoints and grant on them.
    pub connect_until: Mono,
    /// Until then holds that they gave may last.
    pub hold_until: Mono,
}

impl PredecessorLimits {
    /// The earlier ends of both.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            connect_until: self.connect_until.min(other.connect_until),
            hold_until: self.hold_until.min(other.hold_until),
        }
    }
}
