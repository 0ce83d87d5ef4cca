//! Takeover of the dispatcher role by a successor, or by any candidate when all
//! members are gone.

use super::message::NO_ROUND;
use super::{Hold, HoldAction, KnownRow};
use crate::ids::{Epoch, Session};
use crate::shard::DispatchRow;
use crate::time::{Now, Wall};

/// Delay of a takeover per rank, in milliseconds.
///
/// It only spares the store writes that would conflict; the conditional write
/// decides who takes over.
const DELAY_PER_RANK_MS: u64 = 50;

impl Hold {
    /// Periodic work of a session that is not the dispatcher.
    pub(super) fn takeover_tick(
        &mut self,
        candidates: &[Session],
        now: Now,
        out: &mut Vec<HoldAction>,
    ) {
        if self.pending.is_some() {
            return;
        }
        if self.is_uninvolved() {
            return;
        }
        let Some(known) = self.known.clone() else {
            self.create_row(candidates, now, out);
            return;
        };
        if known.row.epoch < self.seen_epoch {
            return;
        }
        self.accept_handover(now, out);
        if self.pending.is_some() {
            return;
        }
        match known.row.successors.iter().position(|it| *it == self.me) {
            Some(rank) => self.take_over_from_silent(&known, rank, now, out),
            None => self.replace_gone_members(&known, candidates, now, out),
        }
    }

    /// Whether the row neither lists this session nor names a gone dispatcher. This
    /// holds for most holds of an instance, so their tick clones no row.
    fn is_uninvolved(&self) -> bool {
        self.known.as_ref().is_some_and(|known| {
            !known.row.successors.contains(&self.me) && !self.gone.contains(&known.row.dispatcher)
        })
    }

    /// Takes over without delay when the dispatcher handed over its role to this
    /// session.
    pub(super) fn accept_handover(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        let (Some(handover), Some(known)) = (&self.handover, &self.known) else {
            return;
        };
        let listed = known.row.successors.contains(&self.me);
        if handover.epoch != known.row.epoch || !listed || self.pending.is_some() {
            return;
        }
        if !self.is_free_of_promises(now) {
            return;
        }
        let floor = known.row.floor;
        let row = row_after_takeover(known, &self.me, floor);
        self.start_write(row, now, out);
    }

    /// Takes over from a silent dispatcher.
    ///
    /// Failure guarded against: the dispatcher is alive and counts on a promise of
    /// this session. This session waits until its last promise has expired, and
    /// gives no promise from the write until the write is settled.
    fn take_over_from_silent(
        &mut self,
        known: &KnownRow,
        rank: usize,
        now: Now,
        out: &mut Vec<HoldAction>,
    ) {
        let dispatcher_gone = self.gone.contains(&known.row.dispatcher);
        let silent_ms = now.mono.since(self.last_heard);
        if !dispatcher_gone && silent_ms < self.cfg.suspicion_ms {
            return;
        }
        if self.can_start_write(rank, now, out) {
            let row = row_after_takeover(known, &self.me, self.new_floor(now));
            self.start_write(row, now, out);
        }
    }

    /// Rewrites the row when no session that it names can act or write any more.
    ///
    /// Failure guarded against: a takeover write of a session that died takes
    /// effect late. The dispatcher that it replaced is alive, does not know of the
    /// takeover, and requires no promise of the dead session. The row of the
    /// takeover lists it as former, and is not rewritten while it may act.
    fn replace_gone_members(
        &mut self,
        known: &KnownRow,
        candidates: &[Session],
        now: Now,
        out: &mut Vec<HoldAction>,
    ) {
        if !self.gone.contains(&known.row.dispatcher) {
            return;
        }
        for session in &known.row.successors {
            if !self.gone.contains(session) {
                return;
            }
        }
        self.notify_former(known, now, out);
        for session in &known.row.former {
            if !self.cannot_act(session, known) {
                return;
            }
        }
        let Some(rank) = candidates.iter().position(|it| *it == self.me) else {
            return;
        };
        if self.can_start_write(rank, now, out) {
            let epoch = known.row.epoch.next();
            let row = self.row_without_successors(epoch, self.new_floor(now));
            self.start_write(row, now, out);
        }
    }

    /// Whether a former member cannot act: it is gone, it is this session, or it
    /// has reported to know this row, which names it neither as dispatcher nor as
    /// successor.
    fn cannot_act(&self, former: &Session, known: &KnownRow) -> bool {
        *former == self.me
            || self.gone.contains(former)
            || self
                .peer_versions
                .get(former)
                .is_some_and(|version| *version >= known.version)
    }

    /// Reports the known row version to the other former members, so that one of
    /// them can replace the row.
    fn notify_former(&mut self, known: &KnownRow, now: Now, out: &mut Vec<HoldAction>) {
        if !known.row.former.contains(&self.me) {
            return;
        }
        let interval_ms = self.cfg.ask_interval_ms;
        if self
            .former_notified_at
            .is_some_and(|last| now.mono.since(last) < interval_ms)
        {
            return;
        }
        self.former_notified_at = Some(now.mono);
        for session in &known.row.former {
            if *session == self.me || self.gone.contains(session) {
                continue;
            }
            out.push(self.refusal(session, known.row.epoch, NO_ROUND));
        }
    }

    /// Creates the row of a new endpoint.
    fn create_row(&mut self, candidates: &[Session], now: Now, out: &mut Vec<HoldAction>) {
        let Some(rank) = candidates.iter().position(|it| *it == self.me) else {
            return;
        };
        if !self.reads.is_row_absent() || self.seen_epoch > Epoch(0) {
            return;
        }
        if self.can_start_write(rank, now, out) {
            let row = self.row_without_successors(Epoch(1), Wall(0));
            self.start_write(row, now, out);
        }
    }

    /// Whether a write may begin: no unexpired promise binds this session, the
    /// takeover delay of its rank has passed, and the store answers.
    fn can_start_write(&mut self, rank: usize, now: Now, out: &mut Vec<HoldAction>) -> bool {
        self.read_row(now, out);
        if !self.is_free_of_promises(now) {
            self.takeover_ready_since = None;
            return false;
        }
        let since = *self.takeover_ready_since.get_or_insert(now.mono);
        let rank = u64::try_from(rank).unwrap_or(u64::MAX);
        let delay_passed = now.mono.since(since) >= rank.saturating_mul(DELAY_PER_RANK_MS);
        delay_passed && self.is_store_answering(now)
    }

    /// A floor later than any id that an earlier dispatcher may have sent: that
    /// dispatcher has stopped, and no clock is ahead by more than the skew bound.
    fn new_floor(&self, now: Now) -> Wall {
        now.wall.plus(self.cfg.skew_bound_ms)
    }

    fn row_without_successors(&self, epoch: Epoch, floor: Wall) -> DispatchRow {
        DispatchRow {
            endpoint: self.endpoint.clone(),
            dispatcher: self.me.clone(),
            epoch,
            successors: Vec::new(),
            former: Vec::new(),
            floor,
        }
    }
}

/// Returns the row after a takeover, which changes roles but adds no member.
///
/// Failure guarded against: a takeover that also adds a successor lets that
/// successor take over in turn, with a list from which the old dispatcher, which
/// does not know of it, has no promise. Only a dispatcher with all promises adds
/// members.
fn row_after_takeover(known: &KnownRow, me: &Session, floor: Wall) -> DispatchRow {
    let old = &known.row;
    let mut former = old.former.clone();
    former.push(old.dispatcher.clone());
    let others = old.successors.iter().filter(|it| *it != me);
    DispatchRow {
        endpoint: old.endpoint.clone(),
        dispatcher: me.clone(),
        epoch: old.epoch.next(),
        successors: others.cloned().collect(),
        former,
        floor,
    }
}
