//! Retry budget of an instance within a limit that all instances share.

use std::collections::VecDeque;

use crate::time::Mono;

/// Length of one slice of the window, in milliseconds.
const SLICE_MS: u64 = 1_000;

/// Part of the limit that is used. The rest covers that instances count over differently aligned
/// windows, and requests that end outside the window.
const USED_PART: f64 = 0.7;

/// Time in milliseconds before a larger number of instances is replaced by a smaller one. It is
/// longer than a window, and longer than a new leader needs to receive reports of all instances.
const SHRINK_DELAY_MS: u64 = 15_000;

/// Number of instances that share the limit.
///
/// Failure guarded against: the leader changes, its successor has reports of only a few instances
/// at first and announces their number, and each instance uses the slack of the whole fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetSize {
    count: u32,
    updated_at: Mono,
}

impl FleetSize {
    /// Applies a number announced by a leader.
    pub const fn update(&mut self, now: Mono, count: u32) {
        let is_old = now.since(self.updated_at) >= SHRINK_DELAY_MS;
        if count >= self.count || is_old {
            self.count = count;
            self.updated_at = now;
        }
    }

    /// Number of instances; zero before any announcement.
    #[must_use]
    pub const fn count(self) -> u32 {
        self.count
    }
}

/// Limit on the retries of all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Further retries allowed in a window, over all instances.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

/// Retry budget of one instance for one service.
///
/// Each instance uses the ratio for its own requests and an equal part of the slack, so the sum
/// stays within the limit without communication.
#[derive(Debug)]
pub struct SharedRetryBudget {
    limit: RetryLimit,
    slices: VecDeque<Slice>,
}

#[derive(Debug, Clone, Copy)]
struct Slice {
    start: Mono,
    requests: u32,
    retries: u32,
}

impl SharedRetryBudget {
    /// Creates a budget without counted requests.
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

    /// Uses one retry. Returns false if none remains. `instances` is the number of instances that
    /// share the limit.
    pub fn try_take(&mut self, now: Mono, instances: u32) -> bool {
        if self.remaining(now, instances) < 1.0 {
            return false;
        }
        self.slice(now).retries += 1;
        true
    }

    /// Number of retries that remain in the window.
    pub fn remaining(&mut self, now: Mono, instances: u32) -> f64 {
        let _ = self.slice(now);
        let requests = self
            .slices
            .iter()
            .map(|s| f64::from(s.requests))
            .sum::<f64>();
        let retries = self
            .slices
            .iter()
            .map(|s| f64::from(s.retries))
            .sum::<f64>();
        let slack = self.limit.slack / f64::from(instances.max(1));
        USED_PART * self.limit.ratio.mul_add(requests, slack) - retries
    }

    /// Removes slices that have left the window and returns the current slice.
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
                retries: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
