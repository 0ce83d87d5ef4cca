//! Mean service times of orders by class.
//!
//! Each class has its own mean. With a common mean, batch orders that take ten
//! times as long would make every interactive deadline look out of reach, and a
//! change in the mix of classes would look like a slow endpoint.

use indexmap::IndexMap;

use crate::ids::ClassName;

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// Divisor of the latest order's weight in the short moving average.
const SHORT_DIVISOR: u64 = 8;

/// Divisor of the latest order's weight in the long moving average.
const LONG_DIVISOR: u64 = 128;

/// Ratio of the short mean to the long one above which a class is slow.
const SLOW_RATIO: u64 = 2;

/// Short mean up to which a class is never slow, in microseconds.
const SLOW_FLOOR_US: u64 = 10_000;

#[derive(Debug, Clone, Copy)]
struct Means {
    short_us: u64,
    long_us: u64,
}

/// Mean service times of one endpoint.
#[derive(Debug)]
pub struct ServiceTimes {
    first_us: u64,
    by_class: IndexMap<ClassName, Means>,
    all: Option<Means>,
}

impl ServiceTimes {
    /// Creates an empty state; `first_ms` is the estimate until the first answer,
    /// in milliseconds.
    #[must_use]
    pub fn new(first_ms: u64) -> Self {
        Self {
            first_us: first_ms.max(1) * US_PER_MS,
            by_class: IndexMap::new(),
            all: None,
        }
    }

    /// Records the service time of an answered order, in milliseconds.
    pub fn record(&mut self, class: &ClassName, took_ms: u64) {
        let took_us = took_ms * US_PER_MS;
        let all = self.all.get_or_insert(Means::first(took_us));
        all.record(took_us);
        let first = Means::first(took_us);
        let means = self.by_class.entry(class.clone()).or_insert(first);
        means.record(took_us);
    }

    /// Short-term mean service time of a class, in milliseconds, at least 1.
    /// Without an answer of the class it is the mean of all classes.
    #[must_use]
    pub fn ms(&self, class: &ClassName) -> u64 {
        let means = self.by_class.get(class).or(self.all.as_ref());
        let us = means.map_or(self.first_us, |means| means.short_us);
        us.div_ceil(US_PER_MS).max(1)
    }

    /// Short-term mean service time of all classes, in milliseconds, at least 1.
    #[must_use]
    pub fn mean_ms(&self) -> u64 {
        let us = self.all.map_or(self.first_us, |means| means.short_us);
        us.div_ceil(US_PER_MS).max(1)
    }

    /// Whether orders of a class take much longer than they used to.
    #[must_use]
    pub fn is_slow(&self, class: &ClassName) -> bool {
        let Some(means) = self.by_class.get(class) else {
            return false;
        };
        let usual = means.long_us * SLOW_RATIO;
        means.short_us > usual.max(SLOW_FLOOR_US)
    }
}

impl Means {
    const fn first(took_us: u64) -> Self {
        Self {
            short_us: took_us,
            long_us: took_us,
        }
    }

    const fn record(&mut self, took_us: u64) {
        self.short_us = mean(self.short_us, took_us, SHORT_DIVISOR);
        self.long_us = mean(self.long_us, took_us, LONG_DIVISOR);
    }
}

const fn mean(old: u64, new: u64, divisor: u64) -> u64 {
    (old * (divisor - 1) + new) / divisor
}
