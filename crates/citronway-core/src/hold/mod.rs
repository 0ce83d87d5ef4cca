//! The hold: a lease that decides which session may act as an endpoint's
//! dispatcher.
//!
//! There is one [`Hold`] per endpoint and process. It takes the role that the
//! dispatch row assigns to this session: dispatcher, successor or none. The
//! dispatcher may act only while it has an unexpired promise, a lease, from every
//! listed successor. A promise says that its giver writes no new row until the
//! promise expires. A successor that no longer hears from the dispatcher waits
//! until its own promise has expired and then takes over with a conditional write.
//! `docs/design/hold.md` states the rule and its safety argument.
//!
//! # Usage
//!
//! - Create a hold for every endpoint with [`Hold::new`] and pass it each row that is
//!   read from the store or received from a peer ([`Hold::on_row`]); older versions
//!   are ignored.
//! - Call [`Hold::tick`] at least every 20 ms with the live sessions that may take a
//!   role, this one included, best first and in the same order on all instances.
//! - Pass the endpoint's messages to [`Hold::on_message`]. Report each session that
//!   [`GoneSessions`] finds gone with [`Hold::on_gone`], to a new hold also those
//!   that were gone before it was created.
//! - Execute the [`HoldAction`]s in order. Report each read and write once: a timeout
//!   as [`ReadOutcome::Failed`] or `WriteOutcome::Unknown`, and
//!   `WriteOutcome::Refused` only if nothing was sent. Submit a write once, without
//!   retry: the hold itself decides whether to submit it again. One read of the table
//!   may serve the reads of many holds if it begins after the last of them.
//! - Call [`Hold::may_act`] with the current time as the last step before each order
//!   or grant. [`HoldAction::TookOver`] alone does not permit the session to act.
//! - [`Hold::hand_over`] stops the dispatcher; collect the requests that it knows
//!   first. A process that shuts down stays up until [`HoldAction::Lost`], or for one
//!   second.
//! - Never remove a dispatch row: a row created again starts at epoch 1 without a
//!   floor, and does not list the former dispatchers.

mod dispatcher;
mod dispatcher_state;
mod events;
mod gone_sessions;
mod message;
mod pending;
mod settings;
pub mod simulation;
mod store;
mod takeover;

use dispatcher_state::DispatcherState;
pub use events::{EndpointReach, HandOverReason, HoldAction, HoldEvent, ReadOutcome};
pub use gone_sessions::GoneSessions;
use indexmap::{IndexMap, IndexSet};
use pending::{PendingWrite, RowReads};
pub use settings::{HoldSettings, HoldSettingsBuilder};

use crate::ids::{EndpointName, Epoch, Session, Version};
use crate::peer::KnownRequests;
use crate::shard::DispatchRow;
use crate::time::{Mono, Now};

/// Newest dispatch row that this session knows.
#[derive(Debug, Clone)]
struct KnownRow {
    version: Version,
    row: DispatchRow,
}

/// A promise that this session has given to a dispatcher. It is binding until it
/// expires or the dispatcher hands over.
#[derive(Debug, Clone)]
struct GivenPromise {
    epoch: Epoch,
    until: Mono,
}

/// A handover that a dispatcher has offered to this session.
#[derive(Debug, Clone)]
struct ReceivedHandover {
    epoch: Epoch,
    known: KnownRequests,
}

/// State machine of one endpoint's hold in one session.
#[derive(Debug, Clone)]
pub struct Hold {
    me: Session,
    endpoint: EndpointName,
    cfg: HoldSettings,
    known: Option<KnownRow>,
    /// Highest epoch seen in rows and messages; lower epochs get no promise.
    seen_epoch: Epoch,
    /// Highest row version seen in rows and messages.
    seen_version: Version,
    gone: IndexSet<Session>,
    /// Newest row version that each other session has reported to know.
    peer_versions: IndexMap<Session, Version>,
    /// Promises given, by dispatcher.
    given_promises: IndexMap<Session, GivenPromise>,
    handover: Option<ReceivedHandover>,
    /// Highest epoch whose handover this session has declined.
    declined_epoch: Option<Epoch>,
    /// When the dispatcher last asked for a promise, or the known row was adopted.
    last_heard: Mono,
    /// Since when no promise of this session prevents a takeover. A takeover then
    /// waits only for sessions of a better rank and for the store.
    takeover_ready_since: Option<Mono>,
    /// Whether a dispatcher asked for a promise although the known row does not
    /// list this session.
    asked_while_unlisted: bool,
    former_notified_at: Option<Mono>,
    last_tick: Option<Mono>,
    pending: Option<PendingWrite>,
    last_write: u64,
    reads: RowReads,
    dispatcher_state: Option<DispatcherState>,
    reach: EndpointReach,
    has_left: bool,
}

impl Hold {
    /// Creates a hold that knows no row.
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
            peer_versions: IndexMap::new(),
            given_promises: IndexMap::new(),
            handover: None,
            declined_epoch: None,
            last_heard: Mono(0),
            takeover_ready_since: None,
            asked_while_unlisted: false,
            former_notified_at: None,
            last_tick: None,
            pending: None,
            last_write: 0,
            reads: RowReads::default(),
            dispatcher_state: None,
            reach: EndpointReach::Unknown,
            has_left: false,
        }
    }

    /// The newest known row and its version, `None` before the first row.
    #[must_use]
    pub fn known_row(&self) -> Option<(Version, &DispatchRow)> {
        let known = self.known.as_ref()?;
        Some((known.version, &known.row))
    }

    /// Whether the known row names this session as dispatcher.
    #[must_use]
    pub const fn is_dispatcher(&self) -> bool {
        self.dispatcher_state.is_some()
    }

    /// The epoch under which this session may act as dispatcher at `now`, `None` if
    /// it may not act.
    #[must_use]
    pub fn may_act(&self, now: Now) -> Option<Epoch> {
        let state = self.dispatcher_state.as_ref()?;
        if self.has_left || state.offer.is_some() || self.seen_epoch > state.epoch {
            return None;
        }
        let held = self
            .possible_lists()
            .iter()
            .all(|list| state.has_all_promises(list, now.mono));
        held.then_some(state.epoch)
    }

    /// Whether the next [`Hold::tick`] may use the candidates for a role.
    ///
    /// If it does not, the caller can skip the ranking. In steady state no hold
    /// needs candidates.
    #[must_use]
    pub fn needs_candidates(&self, now: Now) -> bool {
        if self.dispatcher_state.is_some() {
            return !self.is_list_complete(now);
        }
        self.known
            .as_ref()
            .is_none_or(|known| self.gone.contains(&known.row.dispatcher))
    }

    /// When the first promise that this dispatcher needs expires, unless renewed
    /// before; `Mono(u64::MAX)` if it needs none. `None` if this session is not the
    /// dispatcher.
    #[must_use]
    pub fn held_until(&self) -> Option<Mono> {
        let state = self.dispatcher_state.as_ref()?;
        let lists = self.possible_lists();
        lists.iter().map(|list| state.held_until(list)).min()
    }

    /// Handles a row read from the store or received from a peer.
    #[must_use]
    pub fn on_row(&mut self, row: &DispatchRow, version: Version, now: Now) -> Vec<HoldAction> {
        let mut out = Vec::new();
        self.adopt_row(row, version, now, &mut out);
        out
    }

    /// Handles the report that `session` has ended for good; see [`GoneSessions`].
    #[must_use]
    pub fn on_gone(&mut self, session: &Session, now: Now) -> Vec<HoldAction> {
        let mut out = Vec::new();
        if *session == self.me || !self.gone.insert(session.clone()) {
            return out;
        }
        if let Some(state) = &mut self.dispatcher_state {
            state.mark_gone(session, self.reads.last_number(), self.last_write, now.mono);
        }
        self.read_for_proof(now, &mut out);
        out
    }

    /// Advances the time: sends due messages, reads and writes.
    ///
    /// `candidates` are the live sessions that may take a role, best first. The
    /// slice may be empty if [`Hold::needs_candidates`] is false for the same time.
    #[must_use]
    pub fn tick(
        &mut self,
        candidates: &[Session],
        reach: EndpointReach,
        now: Now,
    ) -> Vec<HoldAction> {
        let mut out = Vec::new();
        self.reach = reach;
        self.detect_pause(now);
        self.read_if_outdated(now, &mut out);
        self.settle_write(now, &mut out);
        if self.dispatcher_state.is_some() {
            self.dispatcher_tick(candidates, now, &mut out);
        } else if !self.has_left {
            self.takeover_tick(candidates, now, &mut out);
        }
        out
    }

    /// Restarts the suspicion timeout after a pause of the process.
    ///
    /// Failure guarded against: after a pause, the dispatcher appears silent although
    /// its messages wait in the socket, and this session takes over from a live
    /// dispatcher. It listens for a full suspicion timeout first.
    fn detect_pause(&mut self, now: Now) {
        let last = self.last_tick.replace(now.mono).unwrap_or_default();
        if now.mono.since(last) > self.cfg.suspicion_ms / 2 {
            self.last_heard = now.mono;
            self.takeover_ready_since = None;
        }
    }

    /// Reads the row if no row is known or a newer one may exist.
    fn read_if_outdated(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        let behind = match &self.known {
            None => true,
            Some(known) => known.version < self.seen_version || known.row.epoch < self.seen_epoch,
        };
        let outdated =
            self.may_be_outdated(now) && self.reads.is_due(now.mono, self.cfg.promise_ms);
        if behind || outdated {
            self.read_row(now, out);
        }
    }

    /// Whether there is a sign of a newer row that this session has not received.
    ///
    /// Failure guarded against: a dispatcher lists this session and fails before
    /// this session receives the row; all other sessions wait for it to take over,
    /// and none does. The signs are a known row that names a gone session, and
    /// silence after a promise was requested from this session while it was not
    /// listed.
    fn may_be_outdated(&self, now: Now) -> bool {
        let Some(known) = self
            .known
            .as_ref()
            .filter(|_| self.dispatcher_state.is_none())
        else {
            return false;
        };
        let row = &known.row;
        let names_gone = self.gone.contains(&row.dispatcher)
            || row.successors.iter().any(|it| self.gone.contains(it));
        let silent_since = self.last_heard.plus(self.cfg.suspicion_ms);
        let silent = now.mono >= silent_since && !self.reads.has_answer_since(silent_since);
        names_gone || (self.asked_while_unlisted && silent)
    }

    fn adopt_row(
        &mut self,
        row: &DispatchRow,
        version: Version,
        now: Now,
        out: &mut Vec<HoldAction>,
    ) {
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
        self.last_heard = now.mono;
        self.takeover_ready_since = None;
        self.asked_while_unlisted = false;
        self.update_role(row, now, out);
    }

    /// Starts or ends the dispatcher role of this session as `row` states.
    fn update_role(&mut self, row: &DispatchRow, now: Now, out: &mut Vec<HoldAction>) {
        if let Some(state) = &mut self.dispatcher_state {
            if state.epoch == row.epoch {
                state.mark_lists_changed();
                return;
            }
            let epoch = state.epoch;
            let offer = state.offer.as_ref();
            self.has_left |= offer.is_some_and(|it| it.reason == HandOverReason::Leaving);
            self.dispatcher_state = None;
            out.push(HoldAction::Lost { epoch });
        }
        if row.dispatcher != self.me {
            return;
        }
        let mut state = DispatcherState::new(row.epoch);
        for session in &self.gone {
            state.mark_gone(session, self.reads.last_number(), self.last_write, now.mono);
        }
        self.dispatcher_state = Some(state);
        let handover = self
            .handover
            .take()
            .filter(|it| it.epoch.next() == row.epoch);
        out.push(HoldAction::TookOver {
            epoch: row.epoch,
            floor: row.floor,
            handed_over: handover.is_some(),
            known: handover.map(|it| it.known).unwrap_or_default(),
        });
    }

    /// All lists of successors that may be in force while this session is the
    /// dispatcher: that of the known row, and that of an unsettled write.
    ///
    /// Failure guarded against: a write takes effect and its answer is lost; the new
    /// successor takes over while the dispatcher checks only the promises of the old
    /// list.
    fn possible_lists(&self) -> Vec<Vec<Session>> {
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
    /// A promise to a gone dispatcher does not bind, since that dispatcher no longer
    /// acts.
    fn is_free_of_promises(&self, now: Now) -> bool {
        for (to, promise) in &self.given_promises {
            if now.mono < promise.until && !self.gone.contains(to) {
                return false;
            }
        }
        true
    }
}
