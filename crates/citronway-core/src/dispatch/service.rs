//! How long orders take, by class.
//!
//! Classes are kept apart: batch orders that take ten times as long would
//! otherwise make every interactive deadline look out of reach, and a change in
//! the mix of classes look like an endpoint that has become slow.

use indexmap::IndexMap;

use crate::ids::ClassName;

/// Microseconds in a millisecond.
const US: u64 = 1_000;

/// Weight of the latest order: one part in this many.
const SHORT: u64 = 8;

/// Weight of the latest order in the long run: one part in this many.
const LONG: u64 = 128;

/// A short mean this many times the long one is slow.
const SLOW_RATIO: u64 = 2;

/// Means below this are never slow, in microseconds.
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
    /// Nothing is known; `first_ms` is gone by until an order was answered.
    #[must_use]
    pub fn new(first_ms: u64) -> Self {
        Self {
            first_us: first_ms.max(1) * US,
            by_class: IndexMap::new(),
            all: None,
        }
    }

    /// Takes in an answered order.
    pub fn record(&mut self, class: &ClassName, took_ms: u64) {
        let took_us = took_ms * US;
        let all = self.all.get_or_insert(Means::first(took_us));
        all.learn(took_us);
        let first = Means::first(took_us);
        let means = self.by_class.entry(class.clone()).or_insert(first);
        means.learn(took_us);
    }

    /// Mean time of the latest orders of a class, in milliseconds, at least 1.
    #[must_use]
    pub fn ms(&self, class: &ClassName) -> u64 {
        let means = self.by_class.get(class).or(self.all.as_ref());
        let us = means.map_or(self.first_us, |means| means.short_us);
        us.div_ceil(US).max(1)
    }

    /// Mean time of the latest orders of all classes, in milliseconds, at least 1.
    #[must_use]
    pub fn mean_ms(&self) -> u64 {
        let us = self.all.map_or(self.first_us, |means| means.short_us);
        us.div_ceil(US).max(1)
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

    const fn learn(&mut self, took_us: u64) {
        self.short_us = mean(self.short_us, took_us, SHORT);
        self.long_us = mean(self.long_us, took_us, LONG);
    }
}

const fn mean(old: u64, new: u64, weight: u64) -> u64 {
    (old * (weight - 1) + new) / weight
}
