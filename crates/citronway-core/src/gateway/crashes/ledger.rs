//! Which work is taken as harmful, by the crashes of the endpoints that had it.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::entry::{Crash, Entry, State};
use super::{CrashSnapshot, Fingerprint, FingerprintKey, RefusedWork, Sign};
use crate::gateway::pace::EndpointTag;
use crate::time::Mono;

/// Crashes of endpoints after which work is taken as harmful.
pub const HARMFUL_CRASHES: usize = 3;

/// Age at which a crash no longer counts, in milliseconds; harmful work is remembered for as
/// long after it was refused.
pub const CRASH_EXPIRY_MS: u64 = 600_000;

/// Endpoints that crash within [`TOGETHER_MS`] of each other without a work in common: with
/// more than so many others, machines are lost and no request is behind it.
const MOST_OTHERS: usize = 2;

/// Time within which crashes count as one loss, in milliseconds: connections break at once,
/// and instances tell each other within this time.
const TOGETHER_MS: u64 = 500;

/// Crashes of one work that losses of machines excuse at most.
const MOST_EXCUSED: usize = 1;

/// Time after which work that was taken as harmful is told of and stored, in milliseconds:
/// by then the other crashes of a loss of machines are known.
const SETTLED_MS: u64 = 2 * TOGETHER_MS;

/// First and longest time for which harmful work is refused, in milliseconds. Innocent work
/// that was beside it at each crash is free after the first, and cleared by its next answer.
const REFUSED_MS: (u64, u64) = (30_000, 3_600_000);

/// How many times longer work is refused each time that it crashes an endpoint when it is
/// tried again: it is tried three times in three quarters of an hour.
const LONGER: u64 = 16;

/// Steps in which instances try work again, over twice the mean time that it was refused.
const TRIED_STEPS: u64 = 8;

/// Time after which work that crashes an endpoint was sent there after it was refused, in
/// milliseconds: few runs last so long.
const STILL_RUNS_MS: u64 = 5_000;

/// How long a let-go holds against others that have not heard of it, in milliseconds.
const LET_GO_MS: u64 = 30_000;

/// Most work that is remembered; beyond it the longest unheard suspects are forgotten.
const MOST_ENTRIES: usize = 4_096;

/// Most work that is told of and stored as harmful.
pub const MAX_REFUSED: usize = 256;

/// Most suspects that are told.
pub const MAX_SUSPECTS: usize = 256;

/// Time after the last crash in which all instances are told of a suspect of one crash, in
/// milliseconds; one of more crashes is told for as long as it is remembered.
const ONE_CRASH_TOLD_MS: u64 = 60_000;

/// Time after which a suspect that the leader no longer tells of is forgotten, in milliseconds.
const TOLD_STANDS_MS: u64 = 5_000;

/// Crashes of endpoints that are remembered to tell losses of machines.
const MOST_ENDED: usize = 1_024;

/// A change that callers notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Work is refused from now on.
    Harmful {
        /// Which work.
        work: Fingerprint,
        /// How often it was taken as harmful.
        times: u32,
        /// Crashes that decided it, as far as they are known here.
        crashes: usize,
        /// For how long, in milliseconds.
        refused_ms: u64,
    },
    /// It is no longer refused, or no longer under suspicion after it was.
    Cleared {
        /// Which work.
        work: Fingerprint,
        /// Why.
        cause: &'static str,
    },
}

/// All work that was at endpoints that crashed.
#[derive(Debug, Default)]
pub struct Ledger {
    pub(super) entries: IndexMap<Fingerprint, Entry>,
    /// Endpoints that crashed, and when.
    ended: VecDeque<(Mono, EndpointTag)>,
    let_go: IndexMap<Fingerprint, (u32, Mono)>,
    pub(super) changed: bool,
}

impl Ledger {
    /// Takes what this or another instance saw; tells what changes for callers.
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
        let mut verdicts = self.note_ended(now, endpoint);
        let Some(entry) = self.entries.get_mut(&work) else {
            return verdicts;
        };
        let crashes = counted(now, entry, &self.ended);
        let harmful = match entry.state {
            State::Suspect => crashes >= HARMFUL_CRASHES,
            State::Refused { since, until, .. } => {
                now >= until || now.since(since) >= STILL_RUNS_MS
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

    /// Makes room for work that is not known, at the cost of a suspect.
    pub(super) fn has_room(&mut self, work: Fingerprint) -> bool {
        if self.entries.contains_key(&work) || self.entries.len() < MOST_ENTRIES {
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

    /// Notes that an endpoint crashed; lets work go that was refused a moment ago where it
    /// shows now that machines were lost.
    ///
    /// Failure guarded against: a rack is lost, and work that was sent to three of its
    /// endpoints one after the other is refused though it harmed none. Harmful work is at all
    /// endpoints that crash by it; so crashes of others at the same moment speak for it.
    fn note_ended(&mut self, now: Mono, endpoint: EndpointTag) -> Vec<Verdict> {
        if self.ended.iter().any(|(_, known)| *known == endpoint) {
            return Vec::new();
        }
        if self.ended.len() >= MOST_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back((now, endpoint));
        let ended = &self.ended;
        let mut verdicts = Vec::new();
        for (work, entry) in &mut self.entries {
            let State::Refused {
                since, times: 1, ..
            } = entry.state
            else {
                continue;
            };
            let fresh = now.since(since) < SETTLED_MS && !entry.was_told;
            if fresh && counted(now, entry, ended) < HARMFUL_CRASHES {
                entry.state = State::Suspect;
                let (work, cause) = (*work, "machines were lost");
                verdicts.push(Verdict::Cleared { work, cause });
            }
        }
        verdicts
    }

    /// An endpoint ran it to its end: it does not crash each one.
    fn answered(&mut self, now: Mono, work: Fingerprint) -> Option<Verdict> {
        let entry = self.entries.swap_remove(&work)?;
        self.changed = true;
        if !entry.was_harmful() {
            return None;
        }
        self.let_go.insert(work, (entry.state.times(), now));
        let cause = "an endpoint ran it to its end";
        Some(Verdict::Cleared { work, cause })
    }

    /// Whether work is refused.
    #[must_use]
    pub fn is_refused(&self, now: Mono, work: Fingerprint) -> bool {
        let state = self.entries.get(&work).map(|entry| entry.state);
        state.is_some_and(|state| matches!(state, State::Refused { until, .. } if now < until))
    }

    /// Whether an instance refuses work now; `rank` is its order among all, see
    /// [`Ledger::known`].
    #[must_use]
    pub fn is_refused_at(&self, now: Mono, rank: u64, work: Fingerprint) -> bool {
        let entry = self.entries.get(&work);
        let until = entry.and_then(|entry| refused_until(work, entry.state, rank));
        until.is_some_and(|until| now < until)
    }

    /// Whether work was at an endpoint that crashed, and was not answered since.
    #[must_use]
    pub fn is_suspect(&self, work: Fingerprint) -> bool {
        self.entries.contains_key(&work)
    }

    /// Takes what the leader or the store says of harmful work.
    pub fn apply_refused(&mut self, now: Mono, refused: RefusedWork) -> Option<Verdict> {
        let RefusedWork { work, times } = refused;
        let let_go = self.let_go.get(&work);
        if times == 0 || let_go.is_some_and(|(known, _)| times <= *known) {
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
        entry.was_told = true;
        Some(Verdict::Harmful {
            work,
            times,
            crashes: entry.crashes.len(),
            refused_ms,
        })
    }

    /// Takes a suspect that the leader tells of.
    pub fn apply_leader_suspect(&mut self, now: Mono, work: Fingerprint) {
        if let Some(entry) = self.entries.get_mut(&work) {
            entry.told = now;
            return;
        }
        if self.let_go.contains_key(&work) || !self.has_room(work) {
            return;
        }
        self.changed = true;
        let entry = self.entries.entry(work).or_default();
        (entry.heard, entry.told) = (now, now);
    }

    /// Forgets all, as when the key of fingerprints is another one.
    pub fn clear(&mut self) {
        *self = Self {
            changed: true,
            ..Self::default()
        };
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now: Mono) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        let before = self.entries.len();
        self.entries.retain(|work, entry| {
            let stays = match entry.state {
                // Only the leader knows of its crashes, and when it is cleared.
                State::Suspect if entry.crashes.is_empty() => {
                    now.since(entry.told) < TOLD_STANDS_MS
                }
                State::Suspect => now.since(entry.last()) < CRASH_EXPIRY_MS,
                State::Refused { until, .. } => now < until.plus(CRASH_EXPIRY_MS),
            };
            if !stays && entry.was_harmful() {
                let (work, cause) = (*work, "it did not come again");
                verdicts.push(Verdict::Cleared { work, cause });
            }
            stays
        });
        self.changed |= self.entries.len() != before;
        self.let_go.retain(|_, (_, at)| now.since(*at) < LET_GO_MS);
        while self
            .ended
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= CRASH_EXPIRY_MS)
        {
            self.ended.pop_front();
        }
        verdicts
    }

    /// Harmful work that is to be told of and stored, the newest first.
    #[must_use]
    pub fn harmful(&self, now: Mono) -> Vec<RefusedWork> {
        let settled = self.entries.iter().filter_map(|(work, entry)| {
            let State::Refused { since, times, .. } = entry.state else {
                return None;
            };
            let settled = entry.was_told || times > 1 || now.since(since) >= SETTLED_MS;
            let (work, times) = (*work, times);
            settled.then_some((since, RefusedWork { work, times }))
        });
        let mut settled: Vec<_> = settled.collect();
        settled.sort_by_key(|(since, refused)| (std::cmp::Reverse(*since), refused.work));
        settled.truncate(MAX_REFUSED);
        settled.into_iter().map(|(_, refused)| refused).collect()
    }

    /// Suspects that are to be told of, the newest first.
    #[must_use]
    pub fn suspects(&self, now: Mono) -> Vec<Fingerprint> {
        let suspects = self.entries.iter().filter(|(_, entry)| {
            let is_told = entry.crashes.len() > 1 || now.since(entry.last()) < ONE_CRASH_TOLD_MS;
            entry.state == State::Suspect && !entry.crashes.is_empty() && is_told
        });
        let mut suspects: Vec<_> = suspects.map(|(work, e)| (e.last(), *work)).collect();
        suspects.sort_by_key(|(last, work)| (std::cmp::Reverse(*last), *work));
        suspects.truncate(MAX_SUSPECTS);
        suspects.into_iter().map(|(_, work)| work).collect()
    }

    /// All crashes that still count, to be told to a leader that has not heard of them.
    pub fn signs(&self) -> impl Iterator<Item = Sign> {
        let entries = self.entries.iter();
        entries.flat_map(|(work, entry)| {
            entry.crashes.iter().map(|crash| Sign::Crash {
                work: *work,
                endpoint: crash.endpoint,
            })
        })
    }

    /// The newest of these crashes.
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

    /// Whether something changed that the traffic goes by, since this was asked last.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// What the traffic of an instance goes by; `rank` is the order of the instance among all.
    ///
    /// Failure guarded against: harmful work is tried again, crashes its endpoint, and its
    /// caller repeats it at once at other instances, which have not heard of the crash yet. So
    /// they do not try it again at the same moment.
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

    /// Work that is remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no work is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// How long work is refused that is taken as harmful for the nth time, in milliseconds.
///
/// Failure guarded against: work that crashed endpoints together is tried again at the same
/// moment, the harmful one among it, and crashes with it once more. So times differ by work,
/// from half to one and a half of the mean, and are the same at all instances.
fn refused_ms(work: Fingerprint, times: u32) -> u64 {
    let mean = mean_refused_ms(times);
    mean / 2 + work.0 % mean
}

/// Until when an instance of this rank refuses work.
fn refused_until(work: Fingerprint, state: State, rank: u64) -> Option<Mono> {
    let State::Refused { until, times, .. } = state else {
        return None;
    };
    let step = (rank ^ work.0) % TRIED_STEPS;
    let later = mean_refused_ms(times) * step / (TRIED_STEPS / 2);
    Some(until.plus(later))
}

fn mean_refused_ms(times: u32) -> u64 {
    let (first, longest) = REFUSED_MS;
    let longer = LONGER.saturating_pow(times.saturating_sub(1));
    first.saturating_mul(longer).min(longest)
}

/// Crashes that count against work: all but those of a loss of machines.
///
/// Failure guarded against: harmful work runs at the moment of each of several losses, and
/// none of its crashes counts. So not more than [`MOST_EXCUSED`] are left out.
fn counted(now: Mono, entry: &Entry, ended: &VecDeque<(Mono, EndpointTag)>) -> usize {
    let mut excused = 0;
    let mut counted = 0;
    for crash in &entry.crashes {
        if now.since(crash.at) >= CRASH_EXPIRY_MS {
            continue;
        }
        let others = ended.iter().filter(|(at, endpoint)| {
            let apart = at.since(crash.at).max(crash.at.since(*at));
            apart <= TOGETHER_MS && !entry.has(*endpoint)
        });
        if excused < MOST_EXCUSED && others.count() > MOST_OTHERS {
            excused += 1;
        } else {
            counted += 1;
        }
    }
    counted
}
