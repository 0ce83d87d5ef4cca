//! Share of an endpoint's slots that a class is kept alive with.
//!
//! Counted in slot time and not in orders: batch orders that take a hundred
//! times longer than interactive ones would otherwise take nearly all slots
//! with a tenth of the orders.

use crate::time::Mono;

/// A class that has had more than its share for long is back in line after this.
const LONGEST_DEBT_MS: i64 = 1_000;

/// A class that was passed over is owed no more than this.
const LONGEST_CREDIT_MS: i64 = 1_000;

/// Hundredths in a whole.
const WHOLE: i64 = 100;

/// Account of one class: slot time due minus slot time had.
#[derive(Debug, Clone)]
pub struct KeptShare {
    hundredths: u8,
    /// In hundredths of a slot, times milliseconds.
    balance: i64,
    /// `None` before the first count.
    counted_until: Option<Mono>,
}

impl KeptShare {
    /// An even account. More than the whole is taken for the whole.
    #[must_use]
    pub const fn new(hundredths: u8) -> Self {
        Self {
            hundredths: if hundredths > 100 { 100 } else { hundredths },
            balance: 0,
            counted_until: None,
        }
    }

    /// The share, in hundredths.
    #[must_use]
    pub const fn hundredths(&self) -> u8 {
        self.hundredths
    }

    /// Slot time that the class has had too little, zero if none.
    #[must_use]
    pub const fn deficit(&self) -> i64 {
        if self.balance > 0 { self.balance } else { 0 }
    }

    /// Counts the time since the last call. `held` slots are used by the class
    /// out of `limit`. Nothing is owed to a class that has no work `waiting`.
    pub fn pass_time(&mut self, now: Mono, limit: u32, held: u32, waiting: bool) {
        let since = self.counted_until.unwrap_or(now);
        let passed = i64::try_from(now.since(since)).unwrap_or(i64::MAX);
        self.counted_until = Some(since.max(now));
        if self.hundredths == 0 {
            return;
        }
        let due = i64::from(limit) * i64::from(self.hundredths);
        let change = (due - WHOLE * i64::from(held)).saturating_mul(passed);
        let most = if waiting { due * LONGEST_CREDIT_MS } else { 0 };
        let least = -due * LONGEST_DEBT_MS;
        self.balance = self.balance.saturating_add(change).clamp(least, most);
    }
}
