//! Timing settings of a leader, and the limits that its successors derive from them.

use crate::gateway::leader::holds::CallTimes;
use crate::time::Mono;

/// Allowance for late timers and for the resolution of clock readings, in milliseconds.
const TIMER_MARGIN_MS: u64 = 50;

/// Timing settings of a leader, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct LeaderSettings {
    /// Duration of a hold, counted from the arrival of its grant.
    ///
    /// Must outlast one renewal period and a change of leader. When a holder does not
    /// respond, its keys cannot be reassigned until the hold ends.
    pub hold_ms: u64,
    /// Interval between two renewals of a grant.
    pub renew_ms: u64,
    /// Time after which an unanswered order counts as lost.
    pub order_timeout_ms: u64,
    /// Longest time after the end of its call at which a grant may still arrive.
    ///
    /// Failure: a saturated endpoint accepts a connection late and then reads a grant that was
    /// sent before the call was abandoned. The hold runs from that moment, and without this
    /// allowance the next owner gets the keys before the hold ends.
    pub late_arrival_ms: u64,
    /// Time after which an unanswered release counts as lost.
    ///
    /// A release is answered when the work on its keys has ended, which takes up to about
    /// 3 s at a slow endpoint.
    pub release_timeout_ms: u64,
    /// Delay before a lost order is retried.
    pub retry_ms: u64,
    /// Minimum interval between two writes of the row.
    ///
    /// Moves that end at about the same time share a write, since each write is propagated to
    /// all instances.
    pub write_gap_ms: u64,
    /// Longest time for which grants continue after the store last confirmed this leader.
    ///
    /// Longer than the store outages that the service must survive.
    pub contact_limit_ms: u64,
    /// Longest time after the store's last confirmation of this leader at which a connection
    /// that carries grants may be opened.
    ///
    /// Longer than the interval between two confirmations.
    pub connect_limit_ms: u64,
    /// Time without an answer after which an endpoint counts as lost.
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
    /// Latest end of a hold whose grant arrived no later than `arrival`.
    ///
    /// Allows for an endpoint clock that runs 2% slow.
    #[must_use]
    pub const fn latest_hold_end(&self, arrival: Mono) -> Mono {
        arrival.plus(self.hold_ms + self.hold_ms / 50 + TIMER_MARGIN_MS)
    }

    /// Latest end of a hold that is granted by an order issued at `issued_at`.
    #[must_use]
    pub const fn latest_hold_end_of_order(&self, issued_at: Mono) -> Mono {
        self.latest_hold_end(issued_at.plus(self.order_timeout_ms + self.late_arrival_ms))
    }

    pub(super) const fn call_times(&self, issued_at: Mono) -> CallTimes {
        CallTimes {
            arrival: issued_at.plus(self.order_timeout_ms + self.late_arrival_ms),
            end: self.latest_hold_end_of_order(issued_at),
        }
    }

    /// Limits on the effects of a former leader that was replaced at `replaced`.
    #[must_use]
    pub const fn former_leader_limits(&self, replaced: Mono) -> FormerLeaderLimits {
        FormerLeaderLimits {
            connect_until: replaced.plus(self.connect_limit_ms + TIMER_MARGIN_MS),
            hold_until: replaced.plus(self.former_leader_wait_ms()),
        }
    }

    /// Limits on the effects of a former leader that is known to have stopped at `at`.
    #[must_use]
    pub const fn stopped_former_leader_limits(&self, at: Mono) -> FormerLeaderLimits {
        FormerLeaderLimits {
            connect_until: at.plus(self.order_timeout_ms + TIMER_MARGIN_MS),
            hold_until: self.latest_hold_end_of_order(at),
        }
    }

    /// Longest time from the replacement of a leader to the end of its last hold, in
    /// milliseconds.
    #[must_use]
    pub const fn former_leader_wait_ms(&self) -> u64 {
        self.latest_hold_end_of_order(Mono(self.contact_limit_ms)).0
    }
}

/// Times until which former leaders may still have an effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FormerLeaderLimits {
    /// Time until which they may open connections to endpoints and send grants.
    pub connect_until: Mono,
    /// Time until which holds that they granted may last.
    pub hold_until: Mono,
}

impl FormerLeaderLimits {
    /// The earlier of both times, for each limit.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            connect_until: self.connect_until.min(other.connect_until),
            hold_until: self.hold_until.min(other.hold_until),
        }
    }
}
