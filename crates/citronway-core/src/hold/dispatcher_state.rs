//! State of a session while the row names it as dispatcher: promises received and
//! their rounds.

use indexmap::{IndexMap, IndexSet};

use super::events::HandOverReason;
use crate::ids::{Epoch, Session};
use crate::peer::KnownRequests;
use crate::time::Mono;

/// Why a session will not promise again, and what is proved about it: it is gone or
/// has renounced.
#[derive(Debug, Clone)]
struct Absence {
    /// Latest round begun when the absence became known.
    round: u64,
    /// Latest read begun when the absence became known.
    read: u64,
    /// Latest write submitted when the absence became known.
    write: u64,
    /// Whether it is proved that the session never acted as a later dispatcher.
    never_acted: bool,
}

/// A session that was asked for a promise.
#[derive(Debug, Clone)]
struct AskedSession {
    /// End of its promise, exclusive; 0 if it has not promised.
    promised_until: Mono,
    /// When its latest promise arrived, or when it was first asked.
    last_heard: Mono,
}

/// A candidate that is asked for a promise before it is listed as successor.
#[derive(Debug, Clone)]
pub(super) struct Nominee {
    /// Session of the candidate.
    pub session: Session,
    /// When it was first asked.
    pub asked_since: Mono,
}

/// A handover on offer; the dispatcher has stopped acting.
#[derive(Debug, Clone)]
pub(super) struct Offer {
    /// Why the role is handed over.
    pub reason: HandOverReason,
    /// Requests that are handed over with the role.
    pub known: KnownRequests,
    /// Sessions that were offered the role, and whether they declined.
    pub offered: IndexMap<Session, bool>,
    /// When the role was last offered.
    pub last_offered: Mono,
}

/// State of a dispatcher during one epoch.
#[derive(Debug, Clone)]
pub(super) struct DispatcherState {
    /// Epoch of the dispatcher.
    pub epoch: Epoch,
    /// Candidate for the list of successors.
    pub nominee: Option<Nominee>,
    /// Nominees that did not answer.
    pub unresponsive: IndexSet<Session>,
    /// Sessions that may still accept an offer that was withdrawn.
    pub barred: IndexSet<Session>,
    /// Set once the dispatcher has stopped acting to hand over.
    pub offer: Option<Offer>,
    asked: IndexMap<Session, AskedSession>,
    absent: IndexMap<Session, Absence>,
    rounds: IndexMap<u64, Mono>,
    round: u64,
    /// Latest round begun when the lists last changed.
    lists_round: u64,
    last_round_at: Option<Mono>,
}

impl DispatcherState {
    /// Creates the state of a dispatcher that has no promise.
    pub fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            nominee: None,
            unresponsive: IndexSet::new(),
            barred: IndexSet::new(),
            offer: None,
            asked: IndexMap::new(),
            absent: IndexMap::new(),
            rounds: IndexMap::new(),
            round: 0,
            lists_round: 0,
            last_round_at: None,
        }
    }

    /// Records that the set of lists that may be in force has changed.
    pub fn mark_lists_changed(&mut self) {
        self.lists_round = self.round;
        // Failure guarded against: a nominee stays nominated after it was listed
        // and is listed again. The row then names one session twice, and its loss
        // is the loss of both successors. So each change of the list needs a new
        // nominee.
        self.nominee = None;
    }

    /// Whether the next round of promise requests is due.
    pub fn is_round_due(&self, now: Mono, interval_ms: u64) -> bool {
        self.last_round_at
            .is_none_or(|last| now.since(last) >= interval_ms)
    }

    /// Begins a round of promise requests and returns its number.
    ///
    /// `now` must be taken before any request is sent, since the promises count
    /// from it.
    pub fn begin_round(&mut self, now: Mono, promise_ms: u64) -> u64 {
        self.rounds
            .retain(|_, begun| now.since(*begun) < promise_ms);
        self.round += 1;
        self.rounds.insert(self.round, now);
        self.last_round_at = Some(now);
        self.round
    }

    /// Records that `session` is asked for a promise.
    pub fn mark_asked(&mut self, session: &Session, now: Mono) {
        self.asked.entry(session.clone()).or_insert(AskedSession {
            promised_until: Mono(0),
            last_heard: now,
        });
    }

    /// Drops sessions that are no longer asked. If one is asked again, its silence
    /// counts from then.
    pub fn retain_asked(&mut self, asked: &IndexSet<Session>) {
        self.asked.retain(|session, _| asked.contains(session));
    }

    /// Records a promise that answers `round`. Returns false if the round has
    /// expired or `from` was not asked.
    ///
    /// Failure guarded against: a promise that was delayed for long revives an
    /// expired hold. It counts from the start of its round, so a late one extends
    /// nothing.
    pub fn record_promise(
        &mut self,
        from: &Session,
        round: u64,
        promise_ms: u64,
        now: Mono,
    ) -> bool {
        let Some(begun) = self.rounds.get(&round) else {
            return false;
        };
        let Some(asked_session) = self.asked.get_mut(from) else {
            return false;
        };
        asked_session.promised_until = asked_session.promised_until.max(begun.plus(promise_ms));
        asked_session.last_heard = now;
        true
    }

    /// Discards the promise of `session`, and all promises still in flight.
    ///
    /// Failure guarded against: a session accepts the offered role, acts and dies
    /// while its promise is unexpired. The promise would then be taken as proof
    /// that it never acted.
    pub fn discard_promise(&mut self, session: &Session) {
        self.rounds.clear();
        self.asked.shift_remove(session);
    }

    /// Whether the promise of `session` is unexpired.
    pub fn has_promise(&self, session: &Session, now: Mono) -> bool {
        self.asked
            .get(session)
            .is_some_and(|it| now < it.promised_until)
    }

    /// Milliseconds since `session` last promised, or since it was first asked; 0
    /// if it was not asked.
    pub fn silent_ms(&self, session: &Session, now: Mono) -> u64 {
        self.asked
            .get(session)
            .map_or(0, |it| now.since(it.last_heard))
    }

    /// Whether `session` is known not to promise again.
    pub fn is_absent(&self, session: &Session) -> bool {
        self.absent.contains_key(session)
    }

    /// Whether an absent session of `list` still lacks the proof that it never
    /// acted.
    pub fn needs_proof(&self, list: &[Session]) -> bool {
        list.iter()
            .filter_map(|session| self.absent.get(session))
            .any(|absence| !absence.never_acted)
    }

    /// Whether every session of `list` has an unexpired promise or is proved never
    /// to have acted.
    pub fn has_all_promises(&self, list: &[Session], now: Mono) -> bool {
        for session in list {
            let never_acted = self.absent.get(session).is_some_and(|it| it.never_acted);
            if !never_acted && !self.has_promise(session, now) {
                return false;
            }
        }
        true
    }

    /// When the first promise that is needed from `list` expires; `Mono(u64::MAX)`
    /// if none is needed.
    pub fn held_until(&self, list: &[Session]) -> Mono {
        let mut first = Mono(u64::MAX);
        for session in list {
            if self.absent.get(session).is_some_and(|it| it.never_acted) {
                continue;
            }
            let until = self.asked.get(session).map(|it| it.promised_until);
            first = first.min(until.unwrap_or_default());
        }
        first
    }

    /// Records that `session` is gone. `read` and `write` are the numbers of the
    /// latest read and write.
    ///
    /// Failure guarded against: a successor takes over after its promise has
    /// expired, adds new successors and dies. The old dispatcher learns only that
    /// this successor is gone, no longer requires its promise, and acts at the same
    /// time as the new successors. So being gone replaces a promise only with a
    /// proof that the session never acted: its promise was unexpired when its end
    /// became known, or see [`Self::prove_by_promise`] and
    /// [`Self::prove_by_store`].
    pub fn mark_gone(&mut self, session: &Session, read: u64, write: u64, now: Mono) {
        if self.is_absent(session) {
            return;
        }
        let absence = Absence {
            round: self.round,
            read,
            write,
            never_acted: self.has_promise(session, now),
        };
        self.absent.insert(session.clone(), absence);
    }

    /// Records that `session` has renounced while it knew no newer row than this
    /// session. It has settled all its writes, so it never acted as a later
    /// dispatcher.
    pub fn mark_renounced(&mut self, session: &Session) {
        let absence = Absence {
            round: self.round,
            read: 0,
            write: 0,
            never_acted: true,
        };
        self.absent.insert(session.clone(), absence);
    }

    /// Records what a promise of `from` in `round` proves: an absent session never
    /// acted if every list that names it also names `from`.
    ///
    /// To act, the absent session would have needed a promise of `from` under a
    /// higher epoch, after which `from` would not have promised to this dispatcher.
    /// The round began after the absent session was known to be gone, so it cannot
    /// act later either.
    pub fn prove_by_promise(&mut self, from: &Session, round: u64, lists: &[Vec<Session>]) {
        if round <= self.lists_round {
            return;
        }
        for (session, absence) in &mut self.absent {
            let beside = lists
                .iter()
                .filter(|list| list.contains(session))
                .all(|list| list.contains(from));
            if beside && round > absence.round && session != from {
                absence.never_acted = true;
            }
        }
    }

    /// Records what a row proves that names this session as dispatcher, and that
    /// was read or written after sessions were known to be gone.
    ///
    /// A read begun, or a write submitted, after that time shows that these
    /// sessions never took over. A write of theirs that is still in flight can only
    /// name a gone dispatcher, with this session among the former ones.
    pub fn prove_by_store(&mut self, read: u64, write: u64) {
        for absence in self.absent.values_mut() {
            if read > absence.read || write > absence.write {
                absence.never_acted = true;
            }
        }
    }
}
