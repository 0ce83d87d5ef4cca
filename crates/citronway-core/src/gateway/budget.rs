//! Budget for sending a request a second time, kept within what all instances share.

use std::collections::VecDeque;

use crate::time::Mono;

/// Length of one count within the window, in milliseconds.
const SLICE_MS: u64 = 1_000;

/// Part of the allowance that is used; the rest covers counts that instances draw
/// at different moments and requests that end outside the window.
const USED_PART: f64 = 0.7;

/// Time for which a larger number of instances stands against a smaller one, in milliseconds:
/// longer than a window, and than a new leader takes to hear of all.
const LARGER_STANDS_MS: u64 = 15_000;

/// Number of instances that share the limit.
///
/// Failure guarded against: the leader changes, its successor hears of few instances at first
/// and says so, and each instance takes the slack of the whole fleet for its own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetSize {
    count: u32,
    told: Mono,
}

impl FleetSize {
    /// Takes what a leader tells.
    pub const fn update(&mut self, now: Mono, count: u32) {
        let is_old = now.since(self.told) >= LARGER_STANDS_MS;
        if count >= self.count || is_old {
            self.count = count;
            self.told = now;
        }
    }

    /// Instances; zero before any leader told.
    #[must_use]
    pub const fn count(self) -> u32 {
        self.count
    }
}

/// Limit on second sends that all instances together keep.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Second sends for each request.
    pub ratio: f64,
    /// Second sends that are free in a window, over all instances.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

/// Second sends of one service from one instance.
///
/// Each instance takes its own requests' share of the ratio and an equal part of
/// the slack, so that the sum stays within the limit without asking anyone.
#[derive(Debug)]
pub struct SharedRetryBudget {
    limit: RetryLimit,
    slices: VecDeque<Slice>,
}

#[derive(Debug, Clone, Copy)]
struct Slice {
    start: Mono,
    requests: u32,
    repeats: u32,
}

impl SharedRetryBudget {
    /// Nothing counted yet.
    #[must_use]
    pub const fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            slices: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Mono) {
        self.slice(now).requests += 1;
    }

    /// Takes one second send, if `instances` share the limit; false if none is left.
    pub fn try_take(&mut self, now: Mono, instances: u32) -> bool {
        if self.remaining(now, instances) < 1.0 {
            return false;
        }
        self.slice(now).repeats += 1;
        true
    }

    /// Second sends that are left in the window.
    pub fn remaining(&mut self, now: Mono, instances: u32) -> f64 {
        let _ = self.slice(now);
        let requests = self
            .slices
            .iter()
            .map(|s| f64::from(s.requests))
            .sum::<f64>();
        let repeats = self
            .slices
            .iter()
            .map(|s| f64::from(s.repeats))
            .sum::<f64>();
        let slack = self.limit.slack / f64::from(instances.max(1));
        USED_PART * self.limit.ratio.mul_add(requests, slack) - repeats
    }

    fn slice(&mut self, now: Mono) -> &mut Slice {
        while let Some(first) = self.slices.front() {
            if now.since(first.start) <= self.limit.window_ms {
                break;
            }
            self.slices.pop_front();
        }
        let fresh = self
            .slices
            .back()
            .is_none_or(|s| now.since(s.start) >= SLICE_MS);
        if fresh {
            self.slices.push_back(Slice {
                start: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
