//! Service interval of a class that has queued requests.
//!
//! The work that is queued before a request does not say how much will overtake
//! it: a batch request behind two interactive ones may be overtaken by thousands.
//! The interval at which its class has been served accounts for them.

use crate::time::Mono;

/// Divisor of the latest interval's weight in the moving average.
const WEIGHT_DIVISOR: u64 = 8;

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// Mean interval between two requests of one class that leave the queue.
#[derive(Debug, Default)]
pub struct ServiceInterval {
    /// Time when the class was last served; `None` if its queue was empty then.
    last: Option<Mono>,
    mean_us: Option<u64>,
}

impl ServiceInterval {
    /// Records that a request left the queue; `waiting` says whether more are
    /// queued.
    pub fn served(&mut self, now: Mono, waiting: bool) {
        if let Some(last) = self.last {
            let us = now.since(last) * US_PER_MS;
            let old = self.mean_us.unwrap_or(us);
            self.mean_us = Some((old * (WEIGHT_DIVISOR - 1) + us) / WEIGHT_DIVISOR);
        }
        self.last = waiting.then_some(now);
    }

    /// Estimated time until `requests` of the class have been served, in
    /// milliseconds; 0 if the interval is not known.
    #[must_use]
    pub fn wait_ms(&self, requests: u64) -> u64 {
        if self.last.is_none() {
            return 0;
        }
        self.mean_us.unwrap_or(0) * requests / US_PER_MS
    }
}
