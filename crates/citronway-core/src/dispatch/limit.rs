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
const UNITS_PER_SLOT: u64 = 1_000;

/// Divisor of the decrease after a signal that may have causes other than
/// overload.
const DECREASE_DIVISOR: u64 = 8;

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
    current_units: u64,
    growth: Growth,
    last_lowered: Option<Mono>,
}

impl ConcurrencyLimit {
    /// Creates a limit that allows all slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            current_units: u64::from(slots.max(1)) * UNITS_PER_SLOT,
            growth: Growth::Additive,
            last_lowered: None,
        }
    }

    /// Number of slots that may be used now.
    #[must_use]
    pub fn slots(&self) -> u32 {
        u32::try_from(self.current_units / UNITS_PER_SLOT).unwrap_or(u32::MAX)
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
        let max_units = u64::from(slots) * UNITS_PER_SLOT;
        self.current_units =
            (self.current_units + u64::from(grown) * UNITS_PER_SLOT).min(max_units);
    }

    /// Restarts with one slot, for an endpoint that has just started or is
    /// reachable again.
    pub fn on_cold_start(&mut self) {
        self.current_units = UNITS_PER_SLOT;
        self.growth = Growth::SlowStart;
    }

    /// Raises the limit after an answer in about the usual time.
    pub fn on_answered(&mut self) {
        let step = match self.growth {
            Growth::SlowStart => UNITS_PER_SLOT,
            Growth::Additive => UNITS_PER_SLOT * UNITS_PER_SLOT / self.current_units,
        };
        let max_units = u64::from(self.slots) * UNITS_PER_SLOT;
        self.current_units = (self.current_units + step).min(max_units);
        if self.current_units == max_units {
            self.growth = Growth::Additive;
        }
    }

    /// Halves the limit after a shed order. `round_ms` is the mean service time,
    /// in milliseconds.
    pub fn on_shed(&mut self, round_ms: u64, now: Mono) {
        self.lower(self.current_units / 2, round_ms, now);
    }

    /// Lowers the limit by an eighth after an order that timed out or was lost.
    /// `round_ms` is the mean service time, in milliseconds.
    pub fn on_unanswered(&mut self, round_ms: u64, now: Mono) {
        self.lower(
            self.current_units - self.current_units / DECREASE_DIVISOR,
            round_ms,
            now,
        );
    }

    /// Lowers the limit by an eighth, but not below half of the slots, after an
    /// answer while orders take much longer than usual. `round_ms` is the mean
    /// service time, in milliseconds.
    pub fn on_slow_answer(&mut self, round_ms: u64, now: Mono) {
        let half = (u64::from(self.slots) * UNITS_PER_SLOT / 2).max(UNITS_PER_SLOT);
        if self.current_units <= half {
            return;
        }
        let lower = self.current_units - self.current_units / DECREASE_DIVISOR;
        self.lower(lower.max(half), round_ms, now);
    }

    /// Lowers the limit to `to` units, at most once in each round: the failures of
    /// one round all happened under the same limit and are one signal that it was
    /// too high.
    fn lower(&mut self, to: u64, round_ms: u64, now: Mono) {
        self.growth = Growth::Additive;
        if let Some(last) = self.last_lowered
            && now.since(last) < round_ms
        {
            return;
        }
        self.last_lowered = Some(now);
        self.current_units = to.max(UNITS_PER_SLOT);
    }
}
