//! How many slots are used, by what the endpoint does.
//!
//! Sheds, timeouts and lost orders halve the limit; answers let it grow again,
//! one slot for each round of answers, or doubling while a cold endpoint warms
//! up. Answers that take much longer than usual lower it too, but not below
//! half of the slots, because a change in the mix of requests looks the same.
//! What the endpoint reports about itself never raises it.

use crate::time::Mono;

/// Parts of a slot that the limit is counted in.
const SLOT: u64 = 1_000;

/// A mean of the latest answers this many times the long-run mean is slow.
const SLOW_RATIO: u64 = 2;

/// Differences below this are noise, in microseconds.
const SLOW_FLOOR_US: u64 = 5_000;

/// Weight of the latest answer: one part in this many.
const SHORT_MEAN: u64 = 4;

/// Weight of the latest answer in the long run: one part in this many.
const LONG_MEAN: u64 = 64;

/// Microseconds in a millisecond.
const US: u64 = 1_000;

/// How the limit grows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Growth {
    /// A slot for each answer.
    SlowStart,
    /// A slot for each round of answers.
    Additive,
}

/// Limit on the slots in use, and the service time it was learnt from.
#[derive(Debug)]
pub struct Limit {
    slots: u32,
    /// In parts of a slot; from one slot to all.
    current: u64,
    growth: Growth,
    short_us: u64,
    long_us: u64,
    learnt: bool,
    lowered: Option<Mono>,
}

impl Limit {
    /// All slots; `first_service_ms` is gone by until answers have been seen.
    #[must_use]
    pub fn new(slots: u32, first_service_ms: u64) -> Self {
        let us = first_service_ms.max(1) * US;
        Self {
            slots: slots.max(1),
            current: u64::from(slots.max(1)) * SLOT,
            growth: Growth::Additive,
            short_us: us,
            long_us: us,
            learnt: false,
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
    pub const fn most(&self) -> u32 {
        self.slots
    }

    /// Mean time of the latest orders, in milliseconds, at least 1.
    #[must_use]
    pub const fn service_ms(&self) -> u64 {
        let ms = self.short_us.div_ceil(US);
        if ms == 0 { 1 } else { ms }
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
    pub fn cold(&mut self) {
        self.current = SLOT;
        self.growth = Growth::SlowStart;
    }

    /// An order was answered after `took_ms`.
    pub fn answered(&mut self, took_ms: u64, now: Mono) {
        self.learn(took_ms * US);
        let usual = self.long_us.max(SLOW_FLOOR_US);
        if self.short_us > usual * SLOW_RATIO {
            self.slowed(now);
            return;
        }
        self.grow();
    }

    /// An order was shed, timed out or was lost.
    pub fn failed(&mut self, now: Mono) {
        self.lower(self.current / 2, now);
        self.growth = Growth::Additive;
    }

    /// Orders are taking longer than usual.
    fn slowed(&mut self, now: Mono) {
        let half = (u64::from(self.slots) * SLOT / 2).max(SLOT);
        if self.current <= half {
            return;
        }
        self.lower((self.current - self.current / 8).max(half), now);
        self.growth = Growth::Additive;
    }

    /// Lowers at most once for each round: the failures of one round were all
    /// caused under the same limit and tell only once that it was too high.
    fn lower(&mut self, to: u64, now: Mono) {
        if let Some(last) = self.lowered
            && now.since(last) < self.service_ms()
        {
            return;
        }
        self.lowered = Some(now);
        self.current = to.max(SLOT);
    }

    fn grow(&mut self) {
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

    const fn learn(&mut self, took_us: u64) {
        if !self.learnt {
            self.learnt = true;
            self.short_us = took_us;
            self.long_us = took_us;
            return;
        }
        self.short_us = mean(self.short_us, took_us, SHORT_MEAN);
        self.long_us = mean(self.long_us, took_us, LONG_MEAN);
    }
}

const fn mean(old: u64, new: u64, weight: u64) -> u64 {
    (old * (weight - 1) + new) / weight
}
