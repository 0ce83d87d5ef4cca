//! Guaranteed share of an endpoint's slots for a class.
//!
//! The share is counted in slot time and not in orders: otherwise batch orders
//! that take a hundred times longer than interactive ones would take nearly all
//! slots with a tenth of the orders.

use crate::time::Mono;

/// Maximum excess slot time of a class, in milliseconds of its share: after this
/// time without service it is no longer over its share.
const MAX_OVERUSE_MS: i64 = 1_000;

/// Maximum slot time owed to a class, in milliseconds of its share.
const MAX_CREDIT_MS: i64 = 1_000;

/// Whole share, in hundredths.
const WHOLE_HUNDREDTHS: i64 = 100;

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

    /// Counts the time since the last call, during which the class used `used`
    /// slots out of `limit`. A class without `waiting` requests is owed nothing.
    pub fn pass_time(&mut self, now: Mono, limit: u32, used: u32, waiting: bool) {
        let since = self.counted_until.unwrap_or(now);
        let passed = i64::try_from(now.since(since)).unwrap_or(i64::MAX);
        self.counted_until = Some(since.max(now));
        if self.hundredths == 0 {
            return;
        }
        let due = i64::from(limit) * i64::from(self.hundredths);
        let change = (due - WHOLE_HUNDREDTHS * i64::from(used)).saturating_mul(passed);
        let max_balance = if waiting { due * MAX_CREDIT_MS } else { 0 };
        let min_balance = -due * MAX_OVERUSE_MS;
        self.balance = self
            .balance
            .saturating_add(change)
            .clamp(min_balance, max_balance);
    }
}
