//! How fast a class that has work waiting is served.
//!
//! What goes before a request now does not tell how much will overtake it: a
//! batch request behind two interactive ones may see thousands pass. The pace
//! at which its class has been served tells.

use crate::time::Mono;

/// Weight of the latest time between two requests: one part in this many.
const WEIGHT: u64 = 8;

/// Microseconds in a millisecond.
const US: u64 = 1_000;

/// Pace of one class.
#[derive(Debug, Default)]
pub struct ServiceInterval {
    /// When the class was last served, if it has had work waiting since.
    last: Option<Mono>,
    mean_us: Option<u64>,
}

impl ServiceInterval {
    /// A request was taken out of the queue; `waiting` tells whether more wait.
    pub fn served(&mut self, now: Mono, waiting: bool) {
        if let Some(last) = self.last {
            let us = now.since(last) * US;
            let old = self.mean_us.unwrap_or(us);
            self.mean_us = Some((old * (WEIGHT - 1) + us) / WEIGHT);
        }
        self.last = waiting.then_some(now);
    }

    /// Time until `requests` of the class have been served, in milliseconds,
    /// or 0 if nothing is known.
    #[must_use]
    pub fn wait_ms(&self, requests: u64) -> u64 {
        if self.last.is_none() {
            return 0;
        }
        self.mean_us.unwrap_or(0) * requests / US
    }
}
