//! What a dispatcher keeps while the row names it: promises and their rounds.

use indexmap::{IndexMap, IndexSet};

use super::events::HandOverReason;
use crate::ids::{Epoch, Session};
use crate::peer::KnownRequests;
use crate::time::Mono;

/// A session that will not promise again: it is gone or has renounced.
#[derive(Debug, Clone)]
struct Absence {
    /// Latest round asked when it became known.
    round: u64,
    /// Latest read begun when it became known.
    read: u64,
    /// Latest write submitted when it became known.
    write: u64,
    /// Whether it is proved that it never acted after this dispatcher.
    sealed: bool,
}

/// What is known of a session that was asked.
#[derive(Debug, Clone)]
struct Member {
    /// Its promise lasts to here, the end excluded.
    until: Mono,
    /// Latest promise, or when it was first asked.
    heard: Mono,
}

/// Session that is asked before it is written into the row.
#[derive(Debug, Clone)]
pub(super) struct Nominee {
    /// The session.
    pub session: Session,
    /// Since when it is asked.
    pub since: Mono,
}

/// The dispatcher gives its role away and has stopped acting.
#[derive(Debug, Clone)]
pub(super) struct Offer {
    /// Why.
    pub reason: HandOverReason,
    /// What goes with the role.
    pub known: KnownRequests,
    /// Sessions that were offered the role, and whether they declined.
    pub offered: IndexMap<Session, bool>,
    /// Latest offer.
    pub since: Mono,
}

/// One dispatcher's time in office.
#[derive(Debug, Clone)]
pub(super) struct Tenure {
    /// Its epoch.
    pub epoch: Epoch,
    /// Session it considers for the list.
    pub nominee: Option<Nominee>,
    /// Sessions that did not answer when nominated.
    pub passed_over: IndexSet<Session>,
    /// Sessions that may yet take up an offer it does not stand by any more.
    pub barred: IndexSet<Session>,
    /// Set once it has stopped acting.
    pub offer: Option<Offer>,
    members: IndexMap<Session, Member>,
    absent: IndexMap<Session, Absence>,
    rounds: IndexMap<u64, Mono>,
    round: u64,
    /// Latest round when the lists last changed.
    lists_round: u64,
    last_ask: Option<Mono>,
}

impl Tenure {
    /// Starts with no promise.
    pub fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            nominee: None,
            passed_over: IndexSet::new(),
            barred: IndexSet::new(),
            offer: None,
            members: IndexMap::new(),
            absent: IndexMap::new(),
            rounds: IndexMap::new(),
            round: 0,
            lists_round: 0,
            last_ask: None,
        }
    }

    /// Notes that the set of lists that may be in force has changed.
    pub fn lists_changed(&mut self) {
        self.lists_round = self.round;
        // Failure guarded against: a nominee that has been listed is kept and
        // listed again, so that a row names one session twice and its loss is
        // the loss of both successors. Each change of the list wants a new one.
        self.nominee = None;
    }

    /// Whether the next round is due.
    pub fn ask_due(&self, now: Mono, interval_ms: u64) -> bool {
        self.last_ask
            .is_none_or(|last| now.since(last) >= interval_ms)
    }

    /// Begins a round of questions and returns its number.
    ///
    /// The time is taken before anything is sent; promises count from it.
    pub fn begin_round(&mut self, now: Mono, promise_ms: u64) -> u64 {
        self.rounds
            .retain(|_, asked| now.since(*asked) < promise_ms);
        self.round += 1;
        self.rounds.insert(self.round, now);
        self.last_ask = Some(now);
        self.round
    }

    /// Notes that `session` is asked.
    pub fn asked(&mut self, session: &Session, now: Mono) {
        self.members.entry(session.clone()).or_insert(Member {
            until: Mono(0),
            heard: now,
        });
    }

    /// Forgets sessions that are not asked any more, so that silence counts anew.
    pub fn keep_only(&mut self, asked: &IndexSet<Session>) {
        self.members.retain(|session, _| asked.contains(session));
    }

    /// Takes a promise that answers `round`.
    ///
    /// Failure guarded against: a promise that was long under way would revive a
    /// lapsed hold. It counts from before its question, so it adds nothing then.
    pub fn promised(&mut self, from: &Session, round: u64, promise_ms: u64, now: Mono) -> bool {
        let Some(asked) = self.rounds.get(&round) else {
            return false;
        };
        let Some(member) = self.members.get_mut(from) else {
            return false;
        };
        member.until = member.until.max(asked.plus(promise_ms));
        member.heard = now;
        true
    }

    /// Gives up the promise of `session`, also one that is under way.
    ///
    /// Failure guarded against: a session that was offered the role takes it,
    /// acts and dies while its promise still counts; the promise would then be
    /// taken as proof that it never acted.
    pub fn release(&mut self, session: &Session) {
        self.rounds.clear();
        self.members.shift_remove(session);
    }

    /// Whether the promise of `session` is unexpired.
    pub fn promises(&self, session: &Session, now: Mono) -> bool {
        self.members
            .get(session)
            .is_some_and(|member| now < member.until)
    }

    /// Milliseconds since `session` last promised, or since it was first asked.
    pub fn silent_ms(&self, session: &Session, now: Mono) -> u64 {
        self.members
            .get(session)
            .map_or(0, |member| now.since(member.heard))
    }

    /// Whether `session` is known not to promise again.
    pub fn is_absent(&self, session: &Session) -> bool {
        self.absent.contains_key(session)
    }

    /// Whether an absent session of `list` still needs a proof.
    pub fn needs_proof(&self, list: &[Session]) -> bool {
        list.iter()
            .filter_map(|session| self.absent.get(session))
            .any(|absence| !absence.sealed)
    }

    /// Whether every session of `list` promises or needs not to.
    pub fn holds(&self, list: &[Session], now: Mono) -> bool {
        for session in list {
            let sealed = self.absent.get(session).is_some_and(|it| it.sealed);
            if !sealed && !self.promises(session, now) {
                return false;
            }
        }
        true
    }

    /// When the first promise among `list` ends that is needed; never if none is.
    pub fn held_until(&self, list: &[Session]) -> Mono {
        let mut first = Mono(u64::MAX);
        for session in list {
            if self.absent.get(session).is_some_and(|it| it.sealed) {
                continue;
            }
            let until = self.members.get(session).map(|member| member.until);
            first = first.min(until.unwrap_or_default());
        }
        first
    }

    /// Notes that `session` is gone. `read` and `write` are the latest numbers.
    ///
    /// Failure guarded against: a successor takes over after its promise has
    /// lapsed, takes in new members and dies. The old dispatcher hears nothing
    /// but that it is gone, needs no promise of it any more and acts beside the
    /// new members. So news that it is gone replaces its promise only with proof
    /// that it never acted: its promise had not lapsed when the news came, or
    /// see [`Self::proved_by_promise`] and [`Self::proved_by_store`].
    pub fn gone(&mut self, session: &Session, read: u64, write: u64, now: Mono) {
        if self.is_absent(session) {
            return;
        }
        let absence = Absence {
            round: self.round,
            read,
            write,
            sealed: self.promises(session, now),
        };
        self.absent.insert(session.clone(), absence);
    }

    /// Notes that `session` has renounced while it knew no newer row than ours;
    /// it has settled all its writes, so it never acted after us.
    pub fn renounced(&mut self, session: &Session) {
        let absence = Absence {
            round: self.round,
            read: 0,
            write: 0,
            sealed: true,
        };
        self.absent.insert(session.clone(), absence);
    }

    /// A promise of `from` to `round` proves of absent sessions beside it on
    /// every list that they never acted.
    ///
    /// To act, the absent one needed the promise of `from` under a higher epoch,
    /// and `from` would not promise us anything after that. The question was put
    /// after the absent one was known to be gone, so it cannot act any later.
    pub fn proved_by_promise(&mut self, from: &Session, round: u64, lists: &[Vec<Session>]) {
        if round <= self.lists_round {
            return;
        }
        for (session, absence) in &mut self.absent {
            let beside = lists
                .iter()
                .filter(|list| list.contains(session))
                .all(|list| list.contains(from));
            if beside && round > absence.round && session != from {
                absence.sealed = true;
            }
        }
    }

    /// A read begun, or a write of ours submitted, after sessions were known to
    /// be gone shows us as dispatcher: they never took over, and a write of
    /// theirs still under way can only name a dead dispatcher, and us as former.
    pub fn proved_by_store(&mut self, read: u64, write: u64) {
        for absence in self.absent.values_mut() {
            if read > absence.read || write > absence.write {
                absence.sealed = true;
            }
        }
    }
}
