//! Retry budget of an instance within a limit that all instances share.

mod sharing;

use std::collections::VecDeque;

use crate::time::Mono;

pub use sharing::{CountSource, FleetSize, Sharing};

/// Length of one slice of the window, in milliseconds.
const SLICE_MS: u64 = 1_000;

/// Part of the limit that is used. The rest is a margin for windows of instances that are not
/// aligned with each other, and for requests that end outside the window.
const USED_PART: f64 = 0.7;

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

/// Why a request is sent a second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryCause {
    /// An endpoint rejected it: full, or not willing to run it.
    Rejected,
    /// An endpoint does not hold its key, or is another one than was meant.
    Misdirected,
    /// An endpoint ran it and failed with a server error.
    Failed,
    /// An endpoint may have run it, and gave no complete answer.
    Unanswered,
    /// It went through another instance and may have reached an endpoint there.
    PassedOn,
}

impl RetryCause {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Rejected => "rejected",
            Self::Misdirected => "misdirected",
            Self::Failed => "failed",
            Self::Unanswered => "unanswered",
            Self::PassedOn => "passed_on",
        }
    }
}

/// Use of a retry budget in the present window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RetryUse {
    /// Requests of callers.
    pub requests: f64,
    /// Retries that were used.
    pub retries: f64,
    /// Retries that are left.
    pub left: f64,
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

    /// Use of the budget in the present window.
    pub fn used(&mut self, now: Mono, instances: u32) -> RetryUse {
        let left = self.remaining(now, instances);
        let sum = |count: fn(&Slice) -> u32| self.slices.iter().map(|s| f64::from(count(s))).sum();
        RetryUse {
            requests: sum(|s| s.requests),
            retries: sum(|s| s.retries),
            left,
        }
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
