//! Ledger of crashes by work, which decides which work is harmful.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::entry::{Crash, Entry, State};
use super::{CrashSnapshot, Fingerprint, FingerprintKey, RefusedWork, Sign};
use crate::gateway::pace::EndpointTag;
use crate::time::Mono;

/// Number of crashes of endpoints from which on work is harmful.
pub const HARMFUL_CRASHES: usize = 3;

/// Age at which a crash no longer counts, in milliseconds. Harmful work is kept for as long
/// after its refusal has ended.
pub const CRASH_EXPIRY_MS: u64 = 600_000;

/// Most other endpoints that crash within [`TOGETHER_MS`] of a crash without having had its
/// work, for the crash to be blamed on the work. With more of them, machines were lost.
const MAX_OTHER_CRASHES: usize = 2;

/// Time within which crashes count as one loss of machines, in milliseconds: connections break
/// at once, and instances inform each other within this time.
const TOGETHER_MS: u64 = 500;

/// Most crashes of one work that are attributed to losses of machines.
const MAX_EXCUSED: usize = 1;

/// Time after which harmful work is reported to other instances and stored, in milliseconds: by
/// then the other crashes of a loss of machines are known.
const SETTLED_MS: u64 = 2 * TOGETHER_MS;

/// Initial and longest mean time for which harmful work is refused, in milliseconds. Innocent
/// work that ran beside it at each crash is sent again after the initial time and cleared by
/// its next answer.
const REFUSED_MS: (u64, u64) = (30_000, 3_600_000);

/// Factor by which the time of refusal grows each time that a retry crashes an endpoint. Harmful
/// work is tried three times in three quarters of an hour.
const REFUSED_GROWTH: u64 = 16;

/// Number of steps in which instances try work again, spread over twice the mean time of
/// refusal.
const RETRY_STEPS: u64 = 8;

/// Time after the refusal of work from which on a crash counts as that of a new attempt, in
/// milliseconds: few attempts that were running at the refusal last so long.
const RUNNING_ATTEMPT_MS: u64 = 5_000;

/// Time for which cleared work cannot be marked as harmful again by outdated reports, in
/// milliseconds.
const CLEARED_MS: u64 = 30_000;

/// Most works in the ledger; beyond it the least recently reported suspects are evicted.
const MAX_ENTRIES: usize = 4_096;

/// Most works that are reported and stored as harmful.
pub const MAX_REFUSED: usize = 256;

/// Most suspects that are reported and stored.
pub const MAX_SUSPECTS: usize = 256;

/// Time after the crash in which a suspect of one crash is reported to all instances, in
/// milliseconds. A suspect of more crashes is reported for as long as it is in the ledger.
const ONE_CRASH_REPORTED_MS: u64 = 60_000;

/// Time after which a suspect that the leader no longer reports is dropped, in milliseconds.
const LEADER_REPORT_MS: u64 = 5_000;

/// Most crashes of endpoints that are kept to detect losses of machines.
const MAX_CRASHED_ENDPOINTS: usize = 1_024;

/// A change of the state of work that affects callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The work is refused from now on.
    Harmful {
        /// Which work.
        work: Fingerprint,
        /// Number of times that it was found harmful.
        times: u32,
        /// Number of crashes that decided it, as far as this instance knows them.
        crashes: usize,
        /// Duration of the refusal, in milliseconds.
        refused_ms: u64,
    },
    /// Work that was harmful is no longer refused, or is no longer a suspect.
    Cleared {
        /// Which work.
        work: Fingerprint,
        /// Reason for the log.
        cause: &'static str,
    },
}

/// Work that was at endpoints that crashed.
#[derive(Debug, Default)]
pub struct Ledger {
    pub(super) entries: IndexMap<Fingerprint, Entry>,
    /// Endpoints that crashed, and when this instance learned of it.
    crashed_endpoints: VecDeque<(Mono, EndpointTag)>,
    /// Cleared work: the number of times that it was found harmful, and when it was cleared.
    cleared: IndexMap<Fingerprint, (u32, Mono)>,
    pub(super) changed: bool,
}

impl Ledger {
    /// Applies an observation of this or another instance; returns what changes for callers.
    pub fn apply(&mut self, now: Mono, sign: Sign) -> Vec<Verdict> {
        match sign {
            Sign::Crash { work, endpoint } => self.crashed(now, work, endpoint),
            Sign::Answered { work } => self.answered(now, work).into_iter().collect(),
        }
    }

    fn crashed(&mut self, now: Mono, work: Fingerprint, endpoint: EndpointTag) -> Vec<Verdict> {
        if self.entries.get(&work).is_some_and(|e| e.has(endpoint)) || !self.has_room(work) {
            return Vec::new();
        }
        self.changed = true;
        let entry = self.entries.entry(work).or_default();
        entry.add(Crash { endpoint, at: now });
        let mut verdicts = self.record_crashed_endpoint(now, endpoint);
        let Some(entry) = self.entries.get_mut(&work) else {
            return verdicts;
        };
        let crashes = counted_crashes(now, entry, &self.crashed_endpoints);
        let harmful = match entry.state {
            State::Suspect => crashes >= HARMFUL_CRASHES,
            State::Refused { since, until, .. } => {
                now >= until || now.since(since) >= RUNNING_ATTEMPT_MS
            }
        };
        if harmful {
            let times = entry.state.times() + 1;
            let refused_ms = refused_ms(work, times);
            entry.refuse(now, times, refused_ms);
            verdicts.push(Verdict::Harmful {
                work,
                times,
                crashes,
                refused_ms,
            });
        }
        verdicts
    }

    /// Whether there is room for the work; evicts the oldest suspect if the ledger is full.
    pub(super) fn has_room(&mut self, work: Fingerprint) -> bool {
        if self.entries.contains_key(&work) || self.entries.len() < MAX_ENTRIES {
            return true;
        }
        let suspects = self.entries.iter().filter(|(_, e)| !e.was_harmful());
        let oldest = suspects
            .min_by_key(|(_, e)| e.last())
            .map(|(work, _)| *work);
        let Some(oldest) = oldest else { return false };
        self.entries.swap_remove(&oldest);
        true
    }

    /// Records that an endpoint crashed, and clears work that was refused shortly before if the
    /// crash shows that machines were lost.
    ///
    /// Failure guarded against: a rack is lost, and work that was sent to three of its
    /// endpoints one after the other is refused although it harmed none. Harmful work is at all
    /// endpoints that it crashes, so crashes of others at the same time are evidence against
    /// its guilt.
    fn record_crashed_endpoint(&mut self, now: Mono, endpoint: EndpointTag) -> Vec<Verdict> {
        if self
            .crashed_endpoints
            .iter()
            .any(|(_, known)| *known == endpoint)
        {
            return Vec::new();
        }
        if self.crashed_endpoints.len() >= MAX_CRASHED_ENDPOINTS {
            self.crashed_endpoints.pop_front();
        }
        self.crashed_endpoints.push_back((now, endpoint));
        let crashed_endpoints = &self.crashed_endpoints;
        let mut verdicts = Vec::new();
        for (work, entry) in &mut self.entries {
            let State::Refused {
                since, times: 1, ..
            } = entry.state
            else {
                continue;
            };
            let is_recent = now.since(since) < SETTLED_MS && !entry.is_confirmed;
            if is_recent && counted_crashes(now, entry, crashed_endpoints) < HARMFUL_CRASHES {
                entry.state = State::Suspect;
                let (work, cause) = (*work, "machines were lost");
                verdicts.push(Verdict::Cleared { work, cause });
            }
        }
        verdicts
    }

    /// Clears work that an endpoint ran to its end, since it does not crash every endpoint.
    fn answered(&mut self, now: Mono, work: Fingerprint) -> Option<Verdict> {
        let entry = self.entries.swap_remove(&work)?;
        self.changed = true;
        if !entry.was_harmful() {
            return None;
        }
        self.cleared.insert(work, (entry.state.times(), now));
        let cause = "an endpoint ran it to its end";
        Some(Verdict::Cleared { work, cause })
    }

    /// Whether the work is refused now, by the time that is the same at all instances.
    #[must_use]
    pub fn is_refused(&self, now: Mono, work: Fingerprint) -> bool {
        let state = self.entries.get(&work).map(|entry| entry.state);
        state.is_some_and(|state| matches!(state, State::Refused { until, .. } if now < until))
    }

    /// Whether the instance with this rank among all refuses the work now; see
    /// [`Ledger::snapshot`].
    #[must_use]
    pub fn is_refused_at(&self, now: Mono, rank: u64, work: Fingerprint) -> bool {
        let entry = self.entries.get(&work);
        let until = entry.and_then(|entry| refused_until(work, entry.state, rank));
        until.is_some_and(|until| now < until)
    }

    /// Whether the work was at an endpoint that crashed and has not been answered since.
    #[must_use]
    pub fn is_suspect(&self, work: Fingerprint) -> bool {
        self.entries.contains_key(&work)
    }

    /// Applies a report of the leader or the store about harmful work.
    ///
    /// Returns `None` if it is outdated or nothing changes for callers.
    pub fn apply_refused(&mut self, now: Mono, refused: RefusedWork) -> Option<Verdict> {
        let RefusedWork { work, times } = refused;
        let cleared = self.cleared.get(&work);
        if times == 0 || cleared.is_some_and(|(known, _)| times <= *known) {
            return None;
        }
        if self
            .entries
            .get(&work)
            .is_some_and(|e| e.state.times() >= times)
        {
            return None;
        }
        if !self.has_room(work) {
            return None;
        }
        self.changed = true;
        let refused_ms = refused_ms(work, times);
        let entry = self.entries.entry(work).or_default();
        entry.refuse(now, times, refused_ms);
        entry.is_confirmed = true;
        Some(Verdict::Harmful {
            work,
            times,
            crashes: entry.crashes.len(),
            refused_ms,
        })
    }

    /// Adds or refreshes a suspect that the leader reports.
    pub fn apply_leader_suspect(&mut self, now: Mono, work: Fingerprint) {
        if let Some(entry) = self.entries.get_mut(&work) {
            entry.last_reported_at = now;
            return;
        }
        if self.cleared.contains_key(&work) || !self.has_room(work) {
            return;
        }
        self.changed = true;
        let entry = self.entries.entry(work).or_default();
        (entry.first_reported_at, entry.last_reported_at) = (now, now);
    }

    /// Removes all work, for instance when the key of the fingerprints changes.
    pub fn clear(&mut self) {
        *self = Self {
            changed: true,
            ..Self::default()
        };
    }

    /// Removes work and crashes that have expired; returns what changes for callers.
    pub fn expire(&mut self, now: Mono) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        let before = self.entries.len();
        self.entries.retain(|work, entry| {
            let is_kept = match entry.state {
                // Only the leader knows the crashes of this suspect and when it is cleared.
                State::Suspect if entry.crashes.is_empty() => {
                    now.since(entry.last_reported_at) < LEADER_REPORT_MS
                }
                State::Suspect => now.since(entry.last()) < CRASH_EXPIRY_MS,
                State::Refused { until, .. } => now < until.plus(CRASH_EXPIRY_MS),
            };
            if !is_kept && entry.was_harmful() {
                let (work, cause) = (*work, "it did not come again");
                verdicts.push(Verdict::Cleared { work, cause });
            }
            is_kept
        });
        self.changed |= self.entries.len() != before;
        self.cleared
            .retain(|_, (_, at)| now.since(*at) < CLEARED_MS);
        while self
            .crashed_endpoints
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= CRASH_EXPIRY_MS)
        {
            self.crashed_endpoints.pop_front();
        }
        verdicts
    }

    /// Harmful work to be reported and stored, the newest first.
    #[must_use]
    pub fn harmful(&self, now: Mono) -> Vec<RefusedWork> {
        let settled = self.entries.iter().filter_map(|(work, entry)| {
            let State::Refused { since, times, .. } = entry.state else {
                return None;
            };
            let settled = entry.is_confirmed || times > 1 || now.since(since) >= SETTLED_MS;
            let (work, times) = (*work, times);
            settled.then_some((since, RefusedWork { work, times }))
        });
        let mut settled: Vec<_> = settled.collect();
        settled.sort_by_key(|(since, refused)| (std::cmp::Reverse(*since), refused.work));
        settled.truncate(MAX_REFUSED);
        settled.into_iter().map(|(_, refused)| refused).collect()
    }

    /// Suspects to be reported, the newest first.
    #[must_use]
    pub fn suspects(&self, now: Mono) -> Vec<Fingerprint> {
        let suspects = self.entries.iter().filter(|(_, entry)| {
            let is_reported =
                entry.crashes.len() > 1 || now.since(entry.last()) < ONE_CRASH_REPORTED_MS;
            entry.state == State::Suspect && !entry.crashes.is_empty() && is_reported
        });
        let mut suspects: Vec<_> = suspects.map(|(work, e)| (e.last(), *work)).collect();
        suspects.sort_by_key(|(last, work)| (std::cmp::Reverse(*last), *work));
        suspects.truncate(MAX_SUSPECTS);
        suspects.into_iter().map(|(_, work)| work).collect()
    }

    /// All recorded crashes, for a leader that does not know them.
    pub fn signs(&self) -> impl Iterator<Item = Sign> {
        let entries = self.entries.iter();
        entries.flat_map(|(work, entry)| {
            entry.crashes.iter().map(|crash| Sign::Crash {
                work: *work,
                endpoint: crash.endpoint,
            })
        })
    }

    /// The newest recorded crashes, at most `most`.
    #[must_use]
    pub fn newest_signs(&self, most: usize) -> Vec<Sign> {
        let entries = self.entries.iter();
        let crashes = entries.flat_map(|(work, entry)| {
            let of_work = entry.crashes.iter();
            of_work.map(|crash| (crash.at, *work, crash.endpoint))
        });
        let mut crashes: Vec<_> = crashes.collect();
        crashes.sort_unstable_by_key(|(at, work, _)| (std::cmp::Reverse(*at), *work));
        crashes.truncate(most);
        let sign = |(_, work, endpoint)| Sign::Crash { work, endpoint };
        crashes.into_iter().map(sign).collect()
    }

    /// Whether the snapshot has changed since the previous call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Snapshot for the requests of an instance; `rank` is its rank among all instances.
    ///
    /// Failure guarded against: harmful work is tried again and crashes its endpoint, and its
    /// caller retries at once at other instances, which do not know of the crash yet. So
    /// instances of different ranks try the work again at different times.
    #[must_use]
    pub fn snapshot(&self, key: Option<FingerprintKey>, rank: u64) -> CrashSnapshot {
        let refused = self
            .entries
            .iter()
            .filter_map(|(work, entry)| Some((*work, refused_until(*work, entry.state, rank)?)));
        CrashSnapshot {
            key,
            refused: refused.collect(),
            suspects: self
                .entries
                .iter()
                .map(|(work, entry)| (*work, entry.last()))
                .collect(),
        }
    }

    /// Number of works in the ledger.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the ledger has no work.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Time for which work is refused after it was found harmful for the `times`th time, in
/// milliseconds.
///
/// Failure guarded against: works that crashed endpoints together are tried again at the same
/// time, the harmful one among them, and are blamed together once more. So the time differs by
/// work, from half to one and a half of the mean, and is the same at all instances.
fn refused_ms(work: Fingerprint, times: u32) -> u64 {
    let mean = mean_refused_ms(times);
    mean / 2 + work.0 % mean
}

/// Time until which the instance with this rank refuses work; `None` if it is not harmful.
fn refused_until(work: Fingerprint, state: State, rank: u64) -> Option<Mono> {
    let State::Refused { until, times, .. } = state else {
        return None;
    };
    let step = (rank ^ work.0) % RETRY_STEPS;
    let delay_ms = mean_refused_ms(times) * step / (RETRY_STEPS / 2);
    Some(until.plus(delay_ms))
}

/// Mean time of refusal after work was found harmful for the `times`th time, in milliseconds.
fn mean_refused_ms(times: u32) -> u64 {
    let (first, longest) = REFUSED_MS;
    let factor = REFUSED_GROWTH.saturating_pow(times.saturating_sub(1));
    first.saturating_mul(factor).min(longest)
}

/// Number of crashes that count against work: all but those in a loss of machines.
///
/// Failure guarded against: harmful work runs during each of several losses of machines, and
/// none of its crashes counts. So at most [`MAX_EXCUSED`] are left out.
fn counted_crashes(
    now: Mono,
    entry: &Entry,
    crashed_endpoints: &VecDeque<(Mono, EndpointTag)>,
) -> usize {
    let mut excused = 0;
    let mut counted = 0;
    for crash in &entry.crashes {
        if now.since(crash.at) >= CRASH_EXPIRY_MS {
            continue;
        }
        let others = crashed_endpoints.iter().filter(|(at, endpoint)| {
            let distance_ms = at.since(crash.at).max(crash.at.since(*at));
            distance_ms <= TOGETHER_MS && !entry.has(*endpoint)
        });
        if excused < MAX_EXCUSED && others.count() > MAX_OTHER_CRASHES {
            excused += 1;
        } else {
            counted += 1;
        }
    }
    counted
}
