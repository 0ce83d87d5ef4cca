//! The hold: which session may act as an endpoint's dispatcher.
//!
//! One [`Hold`] per endpoint and process plays whichever role the dispatch row
//! gives it. The dispatcher acts only while every listed successor promises it
//! to write no new row; a successor that hears nothing waits out its own promise
//! and takes over by a conditional write. `docs/design/hold.md` has the rule and
//! its safety argument.
//!
//! # How to drive it
//!
//! - Make a hold for every endpoint with [`Hold::new`] and feed it each row that
//!   is read or heard of ([`Hold::on_row`]); lower versions are ignored.
//! - Call [`Hold::tick`] at least every 20 ms with the live sessions fit for a
//!   role, best first, this one included, in the same order everywhere.
//! - Pass on the endpoint's messages with [`Hold::on_message`], and report sessions
//!   that [`GoneSessions`] calls gone with [`Hold::on_gone`]; a hold also wants to hear
//!   of those that were gone before it was made.
//! - Carry out the [`HoldAction`]s in order. Report each read and write once: a
//!   timeout as [`ReadOutcome::Failed`] or `WriteOutcome::Unknown`, and
//!   `WriteOutcome::Refused` only if nothing was sent. Submit a write once: the
//!   hold itself decides on another try. Reads of many holds may be served by
//!   one read of the table that begins after the last of them.
//! - Ask [`Hold::may_act`] with a fresh time as the last step before each order
//!   or grant. [`HoldAction::TookOver`] alone gives no right to act.
//! - [`Hold::hand_over`] stops the dispatcher; collect what it knew of requests
//!   first. A leaving process stays until [`HoldAction::Lost`], or for a second.
//! - Never remove a dispatch row: a row made anew starts at epoch 1 with no
//!   floor, and former dispatchers would not be on it.

mod dispatcher;
mod events;
mod gone_sessions;
mod message;
mod pending;
mod settings;
pub mod simulation;
mod store;
mod successor;
mod tenure;

pub use events::{EndpointReach, HandOverReason, HoldAction, HoldEvent, ReadOutcome};
pub use gone_sessions::GoneSessions;
use indexmap::{IndexMap, IndexSet};
use pending::{PendingWrite, Reads};
pub use settings::{HoldSettings, HoldSettingsBuilder};
use tenure::Tenure;

use crate::ids::{EndpointName, Epoch, Session, Version};
use crate::peer::KnownRequests;
use crate::shard::DispatchRow;
use crate::time::{Mono, Now};

/// The newest row that is known.
#[derive(Debug, Clone)]
struct KnownRow {
    version: Version,
    row: DispatchRow,
}

/// A promise this session has given; it keeps each one it gave.
#[derive(Debug, Clone)]
struct Promised {
    epoch: Epoch,
    until: Mono,
}

/// A dispatcher's role that was offered to this session.
#[derive(Debug, Clone)]
struct Handed {
    epoch: Epoch,
    known: KnownRequests,
}

/// The hold of one endpoint as one session sees it.
#[derive(Debug, Clone)]
pub struct Hold {
    me: Session,
    endpoint: EndpointName,
    cfg: HoldSettings,
    known: Option<KnownRow>,
    /// Highest epoch heard of; lower ones get no promise.
    seen_epoch: Epoch,
    /// Highest row version heard of.
    seen_version: Version,
    gone: IndexSet<Session>,
    /// Newest row version that other sessions said they know.
    aware: IndexMap<Session, Version>,
    /// Promises by dispatcher.
    promised: IndexMap<Session, Promised>,
    handed: Option<Handed>,
    declined: Option<Epoch>,
    /// When the dispatcher last gave a sign of life, or its row was learnt.
    heard: Mono,
    /// Since when nothing but the order among takers delays a takeover.
    free_since: Option<Mono>,
    /// A dispatcher asked us although the known row does not list us.
    asked_unlisted: bool,
    told_former: Option<Mono>,
    last_tick: Option<Mono>,
    pending: Option<PendingWrite>,
    last_write: u64,
    reads: Reads,
    tenure: Option<Tenure>,
    reach: EndpointReach,
    left: bool,
}

impl Hold {
    /// A hold that knows nothing yet.
    #[must_use]
    pub fn new(me: Session, endpoint: EndpointName, settings: HoldSettings) -> Self {
        Self {
            me,
            endpoint,
            cfg: settings,
            known: None,
            seen_epoch: Epoch(0),
            seen_version: Version(0),
            gone: IndexSet::new(),
            aware: IndexMap::new(),
            promised: IndexMap::new(),
            handed: None,
            declined: None,
            heard: Mono(0),
            free_since: None,
            asked_unlisted: false,
            told_former: None,
            last_tick: None,
            pending: None,
            last_write: 0,
            reads: Reads::default(),
            tenure: None,
            reach: EndpointReach::Unknown,
            left: false,
        }
    }

    /// The newest row known, with its version.
    #[must_use]
    pub fn known_row(&self) -> Option<(Version, &DispatchRow)> {
        let known = self.known.as_ref()?;
        Some((known.version, &known.row))
    }

    /// Whether the known row names this session as dispatcher.
    #[must_use]
    pub const fn is_dispatcher(&self) -> bool {
        self.tenure.is_some()
    }

    /// Whether this session may act as dispatcher at `now`, and under which epoch.
    #[must_use]
    pub fn may_act(&self, now: Now) -> Option<Epoch> {
        let tenure = self.tenure.as_ref()?;
        if self.left || tenure.offer.is_some() || self.seen_epoch > tenure.epoch {
            return None;
        }
        let held = self.lists().iter().all(|list| tenure.holds(list, now.mono));
        held.then_some(tenure.epoch)
    }

    /// Whether the next [`Hold::tick`] may look at the candidates for a role.
    ///
    /// They need not be ranked for a hold that does not; in steady state that is
    /// every hold.
    #[must_use]
    pub fn needs_candidates(&self, now: Now) -> bool {
        if self.tenure.is_some() {
            return !self.list_is_complete(now);
        }
        self.known
            .as_ref()
            .is_none_or(|known| self.gone.contains(&known.row.dispatcher))
    }

    /// When the right to act that is held now ends; it may be renewed before.
    #[must_use]
    pub fn held_until(&self) -> Option<Mono> {
        let tenure = self.tenure.as_ref()?;
        let lists = self.lists();
        lists.iter().map(|list| tenure.held_until(list)).min()
    }

    /// Takes a row read from the store or heard from a peer.
    #[must_use]
    pub fn on_row(&mut self, row: &DispatchRow, version: Version, now: Now) -> Vec<HoldAction> {
        let mut out = Vec::new();
        self.learn(row, version, now, &mut out);
        out
    }

    /// Takes the news that `session` is gone for good; see [`GoneSessions`].
    #[must_use]
    pub fn on_gone(&mut self, session: &Session, now: Now) -> Vec<HoldAction> {
        let mut out = Vec::new();
        if *session == self.me || !self.gone.insert(session.clone()) {
            return out;
        }
        if let Some(tenure) = &mut self.tenure {
            tenure.gone(session, self.reads.last(), self.last_write, now.mono);
        }
        self.seal_by_read(now, &mut out);
        out
    }

    /// Lets time pass.
    ///
    /// `candidates` are live sessions fit for a role, best first. They may be
    /// left out when [`Hold::needs_candidates`] says so for the same time.
    #[must_use]
    pub fn tick(
        &mut self,
        candidates: &[Session],
        reach: EndpointReach,
        now: Now,
    ) -> Vec<HoldAction> {
        let mut out = Vec::new();
        self.reach = reach;
        self.notice_pause(now);
        self.catch_up(now, &mut out);
        self.settle(now, &mut out);
        if self.tenure.is_some() {
            self.dispatcher_tick(candidates, now, &mut out);
        } else if !self.left {
            self.taker_tick(candidates, now, &mut out);
        }
        out
    }

    /// Failure guarded against: a process that was paused finds a long silence
    /// although questions wait in its socket, and takes over from a live
    /// dispatcher. It listens for a whole suspicion time after a pause.
    fn notice_pause(&mut self, now: Now) {
        let last = self.last_tick.replace(now.mono).unwrap_or_default();
        if now.mono.since(last) > self.cfg.suspicion_ms / 2 {
            self.heard = now.mono;
            self.free_since = None;
        }
    }

    /// Reads the row when a peer knows a newer one, or none is known.
    fn catch_up(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        let behind = match &self.known {
            None => true,
            Some(known) => known.version < self.seen_version || known.row.epoch < self.seen_epoch,
        };
        let outdated = self.may_be_outdated(now) && self.reads.due(now.mono, self.cfg.promise_ms);
        if behind || outdated {
            self.read(now, out);
        }
    }

    /// Whether something speaks for a newer row that nobody has told us of.
    ///
    /// Failure guarded against: a dispatcher lists us and is lost before we hear
    /// of it; everybody else waits for us, and nobody takes over. It shows in a
    /// row that names a session that is gone, or in silence after a question.
    fn may_be_outdated(&self, now: Now) -> bool {
        let Some(known) = self.known.as_ref().filter(|_| self.tenure.is_none()) else {
            return false;
        };
        let row = &known.row;
        let names_gone = self.gone.contains(&row.dispatcher)
            || row.successors.iter().any(|it| self.gone.contains(it));
        let silent_since = self.heard.plus(self.cfg.suspicion_ms);
        let silent = now.mono >= silent_since && !self.reads.answered_since(silent_since);
        names_gone || (self.asked_unlisted && silent)
    }

    fn learn(&mut self, row: &DispatchRow, version: Version, now: Now, out: &mut Vec<HoldAction>) {
        self.seen_version = self.seen_version.max(version);
        if self.known.as_ref().is_some_and(|it| it.version >= version) {
            return;
        }
        self.seen_epoch = self.seen_epoch.max(row.epoch);
        self.known = Some(KnownRow {
            version,
            row: row.clone(),
        });
        if self
            .pending
            .as_ref()
            .is_some_and(|it| version > it.expected)
        {
            self.pending = None;
        }
        self.heard = now.mono;
        self.free_since = None;
        self.asked_unlisted = false;
        self.follow_role(row, now, out);
    }

    /// Starts or ends the time in office that `row` states.
    fn follow_role(&mut self, row: &DispatchRow, now: Now, out: &mut Vec<HoldAction>) {
        if let Some(tenure) = &mut self.tenure {
            if tenure.epoch == row.epoch {
                tenure.lists_changed();
                return;
            }
            let epoch = tenure.epoch;
            let offer = tenure.offer.as_ref();
            self.left |= offer.is_some_and(|it| it.reason == HandOverReason::Leaving);
            self.tenure = None;
            out.push(HoldAction::Lost { epoch });
        }
        if row.dispatcher != self.me {
            return;
        }
        let mut tenure = Tenure::new(row.epoch);
        for session in &self.gone {
            tenure.gone(session, self.reads.last(), self.last_write, now.mono);
        }
        self.tenure = Some(tenure);
        let handed = self.handed.take().filter(|it| it.epoch.next() == row.epoch);
        out.push(HoldAction::TookOver {
            epoch: row.epoch,
            floor: row.floor,
            handed_over: handed.is_some(),
            known: handed.map(|it| it.known).unwrap_or_default(),
        });
    }

    /// All lists of successors that may be in force while this session is the
    /// dispatcher: the known one, and that of a change without an answer.
    ///
    /// Failure guarded against: a change takes effect, its answer is lost, and
    /// the new member takes over while the dispatcher counts the old list only.
    fn lists(&self) -> Vec<Vec<Session>> {
        let mut lists = Vec::new();
        if let Some(known) = &self.known {
            lists.push(known.row.successors.clone());
        }
        if let Some(pending) = &self.pending {
            lists.push(pending.row.successors.clone());
        }
        lists
    }

    /// Whether no unexpired promise of this session forbids it to write.
    ///
    /// One to a dispatcher that is gone forbids nothing: it acts no more.
    fn free_of_promise(&self, now: Now) -> bool {
        for (to, promised) in &self.promised {
            if now.mono < promised.until && !self.gone.contains(to) {
                return false;
            }
        }
        true
    }
}
