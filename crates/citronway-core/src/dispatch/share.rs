//! Guaranteed share of an endpoint's slots for a class.
//!
//! The share is counted in slot time and not in orders: otherwise batch orders
//! that take a hundred times longer than interactive ones would take nearly all
//! slots with a tenth of the orders.

use crate::time::Mono;

/// Upper bound on the slot time that a class is over its share, as the time in
/// which its share makes up for it, in milliseconds.
const LONGEST_DEBT_MS: i64 = 1_000;

/// Upper bound on the slot time that a class is owed, as the time in which its
/// share amounts to it, in milliseconds.
const LONGEST_CREDIT_MS: i64 = 1_000;

/// Whole share, in hundredths.
const WHOLE: i64 = 100;

/// Balance of one class: slot time due to it minus slot time used by it.
#[derive(Debug, Clone)]
pub struct KeptShare {
    hundredths: u8,
    /// In hundredths of a slot times milliseconds; positive if slot time is owed.
    balance: i64,
    /// End of the time counted so far; `None` before the first count.
    counted_until: Option<Mono>,
}

impl KeptShare {
    /// Creates a balance of zero. A share above 100 hundredths counts as 100.
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

    /// Slot time owed to the class, in hundredths of a slot times milliseconds;
    /// zero if none.
    #[must_use]
    pub const fn deficit(&self) -> i64 {
        if self.balance > 0 { self.balance } else { 0 }
    }

    /// Counts the time since the last call, during which the class used `held`
    /// slots out of `limit`. A class without `waiting` requests is owed nothing.
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
