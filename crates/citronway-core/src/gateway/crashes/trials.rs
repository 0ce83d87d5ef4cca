//! Which copy of work under suspicion is sent: one at a time in the whole fleet.
//!
//! The leader grants trials. An instance that no leader answers goes by [`may_try_without_leader`].

use indexmap::IndexMap;

use super::Fingerprint;
use crate::gateway::pace::EndpointTag;
use crate::ids::SessionId;
use crate::time::Mono;

/// Trials that are remembered at most; no more are granted beyond it.
const MOST_OPEN: usize = 4_096;

/// Time after an answered trial in which copies need none, in milliseconds: by then all
/// instances have heard that the work is cleared.
const CLEARED_MS: u64 = 2_000;

/// Time in which a new leader grants no trial, in milliseconds: most that its predecessor
/// granted are done then.
const FORMER_TRIAL_MS: u64 = 500;

/// Longest time of a trial whose end is not told, in milliseconds.
const LONGEST_MS: u64 = 15_000;

/// Shortest time to come back, in milliseconds: news of the trial's end are with all then.
const MIN_COME_BACK_MS: u64 = 100;

/// Steps in which copies that were refused come back.
const SPREAD_STEPS: u64 = 16;

/// Most turns in which instances without a leader try work.
const MOST_TURNS: u64 = 16;

/// Length of such a turn, in milliseconds.
pub const TIME_SLICE_MS: u64 = 500;

/// One request of one process for a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialId {
    /// The process.
    pub session: SessionId,
    /// Grows with each request of the process.
    pub number: u64,
}

/// A request for a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialRequest {
    /// Who asks.
    pub id: TrialId,
    /// Work that is to be tried.
    pub work: Fingerprint,
    /// Time after which it is most likely done, in milliseconds.
    pub expected_ms: u64,
    /// Time after which its caller no longer waits, in milliseconds.
    pub limit_ms: u64,
}

/// What is decided about a request for a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialGrant {
    /// It may be sent; the end is to be told.
    Granted,
    /// It may be sent, and so may all others: an endpoint has answered the work.
    Cleared,
    /// Another copy is being tried.
    Busy {
        /// Time after which that one is most likely done, in milliseconds.
        for_ms: u64,
    },
}

/// How a trial ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialEnd {
    /// An endpoint ran the work to its end.
    Answered,
    /// Its endpoint crashed.
    Crashed {
        /// Start of the endpoint.
        endpoint: EndpointTag,
    },
    /// It did not run, or it is not known.
    Inconclusive,
}

#[derive(Debug, Clone, Copy)]
struct Trial {
    id: TrialId,
    expected: Mono,
    until: Mono,
}

/// Trials of the whole fleet.
#[derive(Debug, Default)]
pub struct Trials {
    /// Until then none is granted.
    not_before: Mono,
    open: IndexMap<Fingerprint, Trial>,
    cleared: IndexMap<Fingerprint, Mono>,
}

impl Trials {
    /// None so far, and none is granted for a while.
    ///
    /// Failure guarded against: the leader changes while a copy is being tried, and the next
    /// one, which knows nothing of it, grants another.
    #[must_use]
    pub fn for_new_leader(now: Mono) -> Self {
        Self {
            not_before: now.plus(FORMER_TRIAL_MS),
            ..Self::default()
        }
    }

    /// Decides about a request for a trial; the same request gets the same answer.
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
            until: now.plus(req.limit_ms.min(LONGEST_MS)),
        };
        self.open.insert(req.work, trial);
        TrialGrant::Granted
    }

    /// Notes the end of a trial.
    pub fn record_end(&mut self, now: Mono, id: TrialId, work: Fingerprint, end: TrialEnd) {
        if self.open.get(&work).is_some_and(|open| open.id == id) {
            self.open.swap_remove(&work);
        }
        if end == TrialEnd::Answered {
            self.cleared.retain(|_, at| now.since(*at) < CLEARED_MS);
            self.cleared.insert(work, now);
        }
    }

    /// Notes that an endpoint crashed with the work: an earlier answer no longer clears it.
    pub fn record_crash(&mut self, work: Fingerprint) {
        self.cleared.swap_remove(&work);
    }

    fn is_cleared(&self, now: Mono, work: Fingerprint) -> bool {
        let at = self.cleared.get(&work);
        at.is_some_and(|at| now.since(*at) < CLEARED_MS)
    }

    fn has_room(&mut self, now: Mono) -> bool {
        if self.open.len() < MOST_OPEN {
            return true;
        }
        self.open.retain(|_, open| now < open.until);
        self.open.len() < MOST_OPEN
    }
}

/// Time after which a copy that was not sent may come again, in milliseconds; `busy_ms` is
/// the time that the trial of another one most likely takes, `left_ms` what is left of the
/// caller's, `number` tells copies apart.
///
/// Failure guarded against: copies that were refused come back at one moment. They are spread
/// over half of the time again.
#[must_use]
pub fn copy_retry_after_ms(busy_ms: u64, left_ms: u64, number: u64) -> u64 {
    let soonest = busy_ms.max(MIN_COME_BACK_MS);
    let spread = soonest / 2 * (number % SPREAD_STEPS) / SPREAD_STEPS;
    (soonest + spread).min(left_ms / 3).max(MIN_COME_BACK_MS)
}

/// Order of an instance among those that it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstancePosition {
    /// Instances that come before it.
    pub before: u64,
    /// Instances, itself included.
    pub total: u64,
}

/// Whether an instance may try work without the leader; `heard` is when the last crash of
/// the work was heard of.
///
/// Failure guarded against: no leader answers, as in an outage of the store, and work that
/// was beside harmful work is refused until one does. All instances hear of a crash within a
/// fraction of a turn, so no two of them with different turns try the work together.
#[must_use]
pub fn may_try_without_leader(now: Mono, heard: Mono, place: InstancePosition) -> bool {
    let turns = place.total.clamp(1, MOST_TURNS);
    now.since(heard) / TIME_SLICE_MS % turns == place.before % turns
}
