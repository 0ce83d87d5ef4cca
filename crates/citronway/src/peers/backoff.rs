//! Pauses between attempts to connect.

use std::time::Duration;

/// Doubles from the first pause to the longest, with jitter.
#[derive(Debug)]
pub(super) struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    pub(super) const fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            next: first,
        }
    }

    /// The next attempt is a first one again.
    pub(super) const fn reset(&mut self) {
        self.next = self.first;
    }

    /// The pause before the next attempt: between half and all of the step, as
    /// `random` says. Instances that lost the same peer in the same moment would
    /// otherwise come back to it in the same moment, again and again.
    pub(super) fn pause(&mut self, random: u64) -> Duration {
        let step = self.next;
        self.next = step.saturating_mul(2).min(self.longest);
        let share = (random % 1024) as f64 / 1024.0;
        step.mul_f64(0.5 + share / 2.0)
    }
}
