//! How many slots are used, by what the endpoint does.
//!
//! A shed is the endpoint's own word that it has too much, and halves the limit.
//! Timeouts, lost orders and answers that take much longer than usual have other
//! causes too (a short deadline, a broken connection, another mix of requests)
//! and lower it by an eighth; slow answers alone not below half of the slots.
//! Usual answers let it grow again, one slot for each round of answers, or one
//! for each answer while a cold endpoint warms up. What the endpoint reports
//! about itself never raises it.

use crate::time::Mono;

/// Parts of a slot that the limit is counted in.
const SLOT: u64 = 1_000;

/// A sign that may have other causes lowers the limit by one part in this many.
const GENTLE: u64 = 8;

/// How the limit grows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Growth {
    /// A slot for each answer.
    SlowStart,
    /// A slot for each round of answers.
    Additive,
}

/// Limit on the slots in use.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    /// In parts of a slot; from one slot to all.
    current: u64,
    growth: Growth,
    lowered: Option<Mono>,
}

impl ConcurrencyLimit {
    /// All slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            current: u64::from(slots.max(1)) * SLOT,
            growth: Growth::Additive,
            lowered: None,
        }
    }

    /// Slots that may be used now.
    #[must_use]
    pub fn slots(&self) -> u32 {
        u32::try_from(self.current / SLOT).unwrap_or(u32::MAX)
    }

    /// All slots of the endpoint, at least one.
    #[must_use]
    pub const fn max_slots(&self) -> u32 {
        self.slots
    }

    /// The endpoint's slots as configured have changed.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        let grown = slots.saturating_sub(self.slots);
        self.slots = slots;
        let most = u64::from(slots) * SLOT;
        self.current = (self.current + u64::from(grown) * SLOT).min(most);
    }

    /// The endpoint has just started, or has come back: begin with one slot.
    pub fn on_cold_start(&mut self) {
        self.current = SLOT;
        self.growth = Growth::SlowStart;
    }

    /// An order was answered in about the usual time.
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

    /// An order was shed. `round_ms` is the mean service time, in milliseconds.
    pub fn on_shed(&mut self, round_ms: u64, now: Mono) {
        self.lower(self.current / 2, round_ms, now);
    }

    /// An order timed out or was lost.
    pub fn on_unanswered(&mut self, round_ms: u64, now: Mono) {
        self.lower(self.current - self.current / GENTLE, round_ms, now);
    }

    /// An order was answered, but orders take much longer than usual.
    pub fn on_slow_answer(&mut self, round_ms: u64, now: Mono) {
        let half = (u64::from(self.slots) * SLOT / 2).max(SLOT);
        if self.current <= half {
            return;
        }
        let lower = self.current - self.current / GENTLE;
        self.lower(lower.max(half), round_ms, now);
    }

    /// Lowers at most once for each round: the failures of one round were all
    /// caused under the same limit and tell only once that it was too high.
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
