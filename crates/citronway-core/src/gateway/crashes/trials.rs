//! Trials of suspect work: one copy of it at a time is sent in the whole fleet.
//!
//! The leader grants trials. An instance without an answer of a leader decides by
//! [`may_try_without_leader`].

use indexmap::IndexMap;

use super::Fingerprint;
use crate::gateway::pace::EndpointTag;
use crate::ids::SessionId;
use crate::time::Mono;

/// Most open trials; further ones are not granted.
const MAX_OPEN: usize = 4_096;

/// Time after an answered trial in which copies need no trial, in milliseconds: after it all
/// instances know that the work is cleared.
const CLEARED_MS: u64 = 2_000;

/// Time for which a new leader grants no trial, in milliseconds: most trials that the former
/// leader granted have ended by then.
const FORMER_TRIAL_MS: u64 = 500;

/// Longest duration of a trial whose end is not reported, in milliseconds.
const MAX_TRIAL_MS: u64 = 15_000;

/// Shortest retry-after time of a refused copy, in milliseconds: by then all instances know of
/// the trial's end.
const MIN_RETRY_MS: u64 = 100;

/// Number of steps over which the retries of refused copies are spread.
const SPREAD_STEPS: u64 = 16;

/// Most time slices in a cycle in which instances without a leader try work.
const MAX_TIME_SLICES: u64 = 16;

/// Length of a time slice in which instances without a leader may try work, in milliseconds.
pub const TIME_SLICE_MS: u64 = 500;

/// Identity of a request for a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialId {
    /// Session of the process that sent the request.
    pub session: SessionId,
    /// Number that grows with each request of the process.
    pub number: u64,
}

/// A request for a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialRequest {
    /// Identity of the request.
    pub id: TrialId,
    /// Work to be tried.
    pub work: Fingerprint,
    /// Time after which the trial has most likely ended, in milliseconds.
    pub expected_ms: u64,
    /// Time after which the caller no longer waits, in milliseconds.
    pub limit_ms: u64,
}

/// Decision about a request for a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialGrant {
    /// The copy may be sent, and its end must be reported.
    Granted,
    /// This and all other copies may be sent, since an endpoint has answered the work.
    Cleared,
    /// Another copy is under trial.
    Busy {
        /// Time after which that trial has most likely ended, in milliseconds.
        for_ms: u64,
    },
}

/// How a trial ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialEnd {
    /// An endpoint ran the work to its end.
    Answered,
    /// The endpoint crashed.
    Crashed {
        /// Start of the endpoint.
        endpoint: EndpointTag,
    },
    /// The work did not run, or it is unknown whether it ran.
    Inconclusive,
}

/// An open trial.
#[derive(Debug, Clone, Copy)]
struct Trial {
    id: TrialId,
    expected: Mono,
    until: Mono,
}

/// Trials of the whole fleet.
#[derive(Debug, Default)]
pub struct Trials {
    /// Earliest time of a grant.
    not_before: Mono,
    open: IndexMap<Fingerprint, Trial>,
    cleared: IndexMap<Fingerprint, Mono>,
}

impl Trials {
    /// Creates the trials of a new leader, which grants none for [`FORMER_TRIAL_MS`].
    ///
    /// Failure guarded against: the leader changes while a copy is under trial, and the new
    /// leader, which does not know of it, grants another trial.
    #[must_use]
    pub fn for_new_leader(now: Mono) -> Self {
        Self {
            not_before: now.plus(FORMER_TRIAL_MS),
            ..Self::default()
        }
    }

    /// Decides about a request for a trial. A repeated request gets the same answer.
    pub fn request(&mut self, now: Mono, req: &TrialRequest) -> TrialGrant {
        if self.is_cleared(now, req.work) {
            return TrialGrant::Cleared;
        }
        if now < self.not_before {
            let for_ms = self.not_before.since(now);
            return TrialGrant::Busy { for_ms };
        }
        let open = self.open.get(&req.work).filter(|open| now < open.until);
        if let Some(open) = open.filter(|open| open.id != req.id) {
            let for_ms = open.expected.since(now);
            return TrialGrant::Busy { for_ms };
        }
        if open.is_none() && !self.has_room(now) {
            let for_ms = req.expected_ms;
            return TrialGrant::Busy { for_ms };
        }
        let trial = Trial {
            id: req.id,
            expected: now.plus(req.expected_ms),
            until: now.plus(req.limit_ms.min(MAX_TRIAL_MS)),
        };
        self.open.insert(req.work, trial);
        TrialGrant::Granted
    }

    /// Records the end of a trial.
    pub fn record_end(&mut self, now: Mono, id: TrialId, work: Fingerprint, end: TrialEnd) {
        if self.open.get(&work).is_some_and(|open| open.id == id) {
            self.open.swap_remove(&work);
        }
        if end == TrialEnd::Answered {
            self.cleared.retain(|_, at| now.since(*at) < CLEARED_MS);
            self.cleared.insert(work, now);
        }
    }

    /// Records that an endpoint crashed with the work, so that an earlier answer no longer clears
    /// it.
    pub fn record_crash(&mut self, work: Fingerprint) {
        self.cleared.swap_remove(&work);
    }

    fn is_cleared(&self, now: Mono, work: Fingerprint) -> bool {
        let at = self.cleared.get(&work);
        at.is_some_and(|at| now.since(*at) < CLEARED_MS)
    }

    fn has_room(&mut self, now: Mono) -> bool {
        if self.open.len() < MAX_OPEN {
            return true;
        }
        self.open.retain(|_, open| now < open.until);
        self.open.len() < MAX_OPEN
    }
}

/// Time after which a copy that was not sent may be retried, in milliseconds.
///
/// `busy_ms` is the expected remaining time of the other copy's trial, `left_ms` is the remaining
/// time of the caller, and `number` distinguishes copies.
///
/// Failure guarded against: refused copies are retried at the same time. So the retries are
/// spread over another half of the time.
#[must_use]
pub fn copy_retry_after_ms(busy_ms: u64, left_ms: u64, number: u64) -> u64 {
    let soonest = busy_ms.max(MIN_RETRY_MS);
    let spread = soonest / 2 * (number % SPREAD_STEPS) / SPREAD_STEPS;
    (soonest + spread).min(left_ms / 3).max(MIN_RETRY_MS)
}

/// Position of an instance among those that it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstancePosition {
    /// Number of instances that come before it.
    pub before: u64,
    /// Number of instances, itself included.
    pub total: u64,
}

/// Whether an instance may try work without the leader; `crash_seen_at` is when it learned of
/// the last crash of the work.
///
/// Failure guarded against: no leader answers, as in an outage of the store, and innocent work
/// that ran beside harmful work is refused until one does. All instances learn of a crash within
/// a fraction of a time slice, so no two instances with different slices try the work at once.
#[must_use]
pub fn may_try_without_leader(now: Mono, crash_seen_at: Mono, position: InstancePosition) -> bool {
    let slices = position.total.clamp(1, MAX_TIME_SLICES);
    now.since(crash_seen_at) / TIME_SLICE_MS % slices == position.before % slices
}
