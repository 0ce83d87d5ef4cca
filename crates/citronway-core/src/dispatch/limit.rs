//! Adaptive concurrency limit of an endpoint (additive increase, multiplicative
//! decrease).
//!
//! A shed means that the endpoint is overloaded, and halves the limit. Timeouts,
//! lost orders and answers that take much longer than usual have other causes too
//! (a short deadline, a broken connection, another mix of requests) and lower the
//! limit by an eighth; slow answers alone do not lower it below half of the slots.
//! Answers in the usual time raise it again: by one slot for each round of
//! answers, or by one for each answer while a cold endpoint warms up. The
//! endpoint's own load report never raises it.

use crate::time::Mono;

/// Units that make up one slot; the limit is counted in units.
const SLOT: u64 = 1_000;

/// Divisor of the decrease after a signal that may have causes other than
/// overload.
const GENTLE: u64 = 8;

/// Growth of the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Growth {
    /// One slot for each answer.
    SlowStart,
    /// One slot for each round of answers.
    Additive,
}

/// Limit on the number of slots in use.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    /// Current limit in units, from one slot to all slots.
    current: u64,
    growth: Growth,
    lowered: Option<Mono>,
}

impl ConcurrencyLimit {
    /// Creates a limit that allows all slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            current: u64::from(slots.max(1)) * SLOT,
            growth: Growth::Additive,
            lowered: None,
        }
    }

    /// Number of slots that may be used now.
    #[must_use]
    pub fn slots(&self) -> u32 {
        u32::try_from(self.current / SLOT).unwrap_or(u32::MAX)
    }

    /// Number of all slots of the endpoint, at least one.
    #[must_use]
    pub const fn max_slots(&self) -> u32 {
        self.slots
    }

    /// Sets the configured number of slots of the endpoint.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        let grown = slots.saturating_sub(self.slots);
        self.slots = slots;
        let most = u64::from(slots) * SLOT;
        self.current = (self.current + u64::from(grown) * SLOT).min(most);
    }

    /// Restarts with one slot, for an endpoint that has just started or is
    /// reachable again.
    pub fn on_cold_start(&mut self) {
        self.current = SLOT;
        self.growth = Growth::SlowStart;
    }

    /// Raises the limit after an answer in about the usual time.
    pub fn on_answered(&mut self) {
        let step = match self.growth {
            Growth::SlowStart => SLOT,
            Growth::Additive => SLOT * SLOT / self.current,
        };
        let most = u64::from(self.slots) * SLOT;
        self.current = (self.current + step).min(most);
        if self.current == most {
            self.growth = Growth::Additive;
        }
    }

    /// Halves the limit after a shed order. `round_ms` is the mean service time,
    /// in milliseconds.
    pub fn on_shed(&mut self, round_ms: u64, now: Mono) {
        self.lower(self.current / 2, round_ms, now);
    }

    /// Lowers the limit by an eighth after an order that timed out or was lost.
    /// `round_ms` is the mean service time, in milliseconds.
    pub fn on_unanswered(&mut self, round_ms: u64, now: Mono) {
        self.lower(self.current - self.current / GENTLE, round_ms, now);
    }

    /// Lowers the limit by an eighth, but not below half of the slots, after an
    /// answer while orders take much longer than usual. `round_ms` is the mean
    /// service time, in milliseconds.
    pub fn on_slow_answer(&mut self, round_ms: u64, now: Mono) {
        let half = (u64::from(self.slots) * SLOT / 2).max(SLOT);
        if self.current <= half {
            return;
        }
        let lower = self.current - self.current / GENTLE;
        self.lower(lower.max(half), round_ms, now);
    }

    /// Lowers the limit at most once in each round: the failures of one round all
    /// happened under the same limit and are one signal that it was too high.
    fn lower(&mut self, to: u64, round_ms: u64, now: Mono) {
        self.growth = Growth::Additive;
        if let Some(last) = self.lowered
            && now.since(last) < round_ms
        {
            return;
        }
        self.lowered = Some(now);
        self.current = to.max(SLOT);
    }
}
