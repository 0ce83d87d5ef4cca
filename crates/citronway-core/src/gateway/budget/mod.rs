//! Retry budget of a process within a limit that all instances share.
//!
//! What a process may send again rests on nothing but what it has counted itself since its start, and
//! sums over processes. So the sum stays within the limit without communication, and however many
//! processes end and start:
//!
//! - Each request of a caller earns the ratio of the limit, and time earns an equal part of the slack.
//! - In each window, a process sends again at most [`EARLIER_PART`] of what it earned in the window
//!   before it and [`PRESENT_PART`] of what it has earned in the window itself.
//! - A process that is the first one of its instance counts as one that had earned its part of the
//!   slack in the window before its start, as nobody has used that.
//!
//! Summed over all processes, the second sends in a window are at most these parts of what all have
//! earned in the window before it and in the window itself. The limit counts the requests of
//! whichever of the two windows has more, so the sum of both parts of the limit is kept.

mod sharing;

use std::collections::VecDeque;

use crate::time::Mono;

pub use sharing::{CountSource, FleetSize, Listed, Sharing};

/// Slices into which a window is divided.
const SLICES: usize = 40;

/// Part of what a process earned in the window before a window that it may use in that window.
const EARLIER_PART: f64 = 0.72;

/// Part of what a process earns in a window that it may use in the same window: a successor earns
/// the ratio for the rest of the window once more. What both parts leave of the limit is a margin for
/// sends that arrive late.
const PRESENT_PART: f64 = 0.2;

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

/// Retry budget of one process for one service.
#[derive(Debug, Clone)]
pub struct SharedRetryBudget {
    limit: RetryLimit,
    /// Instances that share the limit, as known since the last call.
    sharing: Sharing,
    /// Time of the last call.
    at: Mono,
    /// Sums since the start.
    total: Sums,
    /// Sums at the start of each slice of the last two windows, the newest last.
    marks: VecDeque<Sums>,
    /// Number of the present slice.
    slice: u64,
}

/// Sums of what a process has counted.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    requests: f64,
    retries: f64,
    /// Parts of the slack that time has earned, as a number of retries.
    slack: f64,
}

impl SharedRetryBudget {
    /// Creates the budget of a process that starts now. `sharing` is the number of instances that
    /// share the limit.
    #[must_use]
    pub fn new(now: Mono, limit: RetryLimit, sharing: Sharing) -> Self {
        let mut new = Self {
            limit,
            sharing,
            at: now,
            total: Sums::default(),
            marks: VecDeque::from([Sums::default()]),
            slice: 0,
        };
        new.slice = new.slice_at(now);
        new
    }

    /// Lets time pass until now, and takes over the number of instances from now on.
    pub fn advance(&mut self, now: Mono, sharing: Sharing) {
        self.begin_slices(now);
        self.total.slack = self.slack_at(now);
        self.at = self.at.max(now);
        self.sharing = sharing;
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Mono, sharing: Sharing) {
        self.advance(now, sharing);
        self.total.requests += 1.0;
    }

    /// Uses one retry. Returns false if none remains.
    pub fn try_take(&mut self, now: Mono, sharing: Sharing) -> bool {
        self.advance(now, sharing);
        if self.left() < 1.0 {
            return false;
        }
        self.total.retries += 1.0;
        true
    }

    /// Use of the budget in the present window.
    pub fn used(&mut self, now: Mono, sharing: Sharing) -> RetryUse {
        self.advance(now, sharing);
        let start = self.mark(SLICES);
        RetryUse {
            requests: self.total.requests - start.requests,
            retries: self.total.retries - start.retries,
            left: self.left(),
        }
    }

    /// Retries that are left in each window that contains the present time.
    fn left(&self) -> f64 {
        // Nothing was used before the start of a new instance, so later windows bound it more.
        let oldest = if self.sharing.is_new {
            self.slices_since_start().min(SLICES)
        } else {
            SLICES
        };
        let mut left = f64::INFINITY;
        for back in 0..=oldest {
            left = left.min(self.left_since(back));
        }
        left
    }

    /// Retries that are left in the windows that begin in the slice `back` slices before the present
    /// one. As they begin anywhere in it, what is used counts from its start, and what is earned
    /// from its end.
    fn left_since(&self, back: usize) -> f64 {
        let start = self.mark(back);
        let end = match back.checked_sub(1) {
            Some(next) => self.mark(next),
            None => self.total,
        };
        let earned_in_it = self.earned(self.total) - self.earned(end);
        let before = back + SLICES - 1;
        let earned_before = self.earned(start) - self.earned(self.mark(before));
        let earned_before = earned_before + self.credit(before);
        let allowed = EARLIER_PART.mul_add(earned_before, PRESENT_PART * earned_in_it);
        allowed - (self.total.retries - start.retries)
    }

    /// Slack that the process of a new instance counts as earned between the start of the slice
    /// `back` slices before the present one and its own start.
    fn credit(&self, back: usize) -> f64 {
        if !self.sharing.is_new {
            return 0.0;
        }
        let slices = back.saturating_sub(self.slices_since_start());
        self.limit.slack * self.sharing.part() * slices as f64 / SLICES as f64
    }

    /// Slices since the start of the process, or since the oldest that is kept.
    fn slices_since_start(&self) -> usize {
        self.marks.len() - 1
    }

    fn earned(&self, sums: Sums) -> f64 {
        self.limit.ratio.mul_add(sums.requests, sums.slack)
    }

    /// Sums at the start of the slice that began `back` slices before the present one.
    fn mark(&self, back: usize) -> Sums {
        self.marks[self.slices_since_start().saturating_sub(back)]
    }

    /// Begins the slices up to now, and forgets those that are older than two windows.
    fn begin_slices(&mut self, now: Mono) {
        let present = self.slice_at(now);
        let oldest = present.saturating_sub(2 * SLICES as u64);
        for slice in (self.slice + 1).max(oldest)..=present {
            let start = Mono(slice.saturating_mul(self.slice_ms()));
            let slack = self.slack_at(start);
            self.marks.push_back(Sums {
                slack,
                ..self.total
            });
            if self.marks.len() > 2 * SLICES {
                self.marks.pop_front();
            }
        }
        self.slice = self.slice.max(present);
    }

    /// Slack that time has earned until `now`.
    fn slack_at(&self, now: Mono) -> f64 {
        let windows = now.since(self.at) as f64 / self.limit.window_ms.max(1) as f64;
        (self.limit.slack * self.sharing.part()).mul_add(windows, self.total.slack)
    }

    fn slice_at(&self, now: Mono) -> u64 {
        now.0 / self.slice_ms()
    }

    /// Length of a slice, in milliseconds.
    const fn slice_ms(&self) -> u64 {
        let ms = self.limit.window_ms.div_ceil(SLICES as u64);
        if ms == 0 { 1 } else { ms }
    }
}
