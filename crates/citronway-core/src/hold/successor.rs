//! Taking the role over: as a successor, or as the one left when all are gone.

use super::message::NO_ROUND;
use super::{Hold, HoldAction, KnownRow};
use crate::ids::{Epoch, Session};
use crate::shard::DispatchRow;
use crate::time::{Now, Wall};

/// Lead that each taker gives to the one before it, in milliseconds.
///
/// Only spares the store the writes of losers; the conditional write decides.
const STAGGER_MS: u64 = 50;

impl Hold {
    /// Duties of a session that is not the dispatcher.
    pub(super) fn taker_tick(
        &mut self,
        candidates: &[Session],
        now: Now,
        out: &mut Vec<HoldAction>,
    ) {
        if self.pending.is_some() {
            return;
        }
        if self.is_bystander() {
            return;
        }
        let Some(known) = self.known.clone() else {
            self.create_row(candidates, now, out);
            return;
        };
        if known.row.epoch < self.seen_epoch {
            return;
        }
        self.take_handover(now, out);
        if self.pending.is_some() {
            return;
        }
        match known.row.successors.iter().position(|it| *it == self.me) {
            Some(rank) => self.succeed(&known, rank, now, out),
            None => self.replace_the_gone(&known, candidates, now, out),
        }
    }

    /// Whether the row neither lists this session nor names a dispatcher that is
    /// gone. Most holds of an instance are such, so their tick copies nothing.
    fn is_bystander(&self) -> bool {
        self.known.as_ref().is_some_and(|known| {
            !known.row.successors.contains(&self.me) && !self.gone.contains(&known.row.dispatcher)
        })
    }

    /// Takes over without delay when the dispatcher handed its role to us.
    pub(super) fn take_handover(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        let (Some(handed), Some(known)) = (&self.handed, &self.known) else {
            return;
        };
        let listed = known.row.successors.contains(&self.me);
        if handed.epoch != known.row.epoch || !listed || self.pending.is_some() {
            return;
        }
        if !self.free_of_promise(now) {
            return;
        }
        let floor = known.row.floor;
        let row = taken_over(known, &self.me, floor);
        self.write(row, now, out);
    }

    /// Takes over from a silent dispatcher.
    ///
    /// Failure guarded against: the dispatcher lives and counts on our promise.
    /// We wait out the last promise given; no new one is given from the write on
    /// until it is settled.
    fn succeed(&mut self, known: &KnownRow, rank: usize, now: Now, out: &mut Vec<HoldAction>) {
        let dispatcher_gone = self.gone.contains(&known.row.dispatcher);
        let silent_ms = now.mono.since(self.heard);
        if !dispatcher_gone && silent_ms < self.cfg.suspicion_ms {
            return;
        }
        if self.ready_to_write(rank, now, out) {
            let row = taken_over(known, &self.me, self.fresh_floor(now));
            self.write(row, now, out);
        }
    }

    /// Rewrites the row when nobody it names can act or write any more.
    ///
    /// Failure guarded against: a takeover of a session that died lands late; the
    /// dispatcher it replaced lives, knows nothing of it, and needs no promise of
    /// the dead. It is listed as former, and the row stays while it may act.
    fn replace_the_gone(
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
        self.tell_former(known, now, out);
        for session in &known.row.former {
            if !self.is_harmless(session, known) {
                return;
            }
        }
        let Some(rank) = candidates.iter().position(|it| *it == self.me) else {
            return;
        };
        if self.ready_to_write(rank, now, out) {
            let epoch = known.row.epoch.next();
            let row = self.sole_row(epoch, self.fresh_floor(now));
            self.write(row, now, out);
        }
    }

    /// Whether a former member cannot act: it is gone, we are it, or it has said
    /// that it knows this row, which does not name it.
    fn is_harmless(&self, former: &Session, known: &KnownRow) -> bool {
        *former == self.me
            || self.gone.contains(former)
            || self
                .aware
                .get(former)
                .is_some_and(|version| *version >= known.version)
    }

    /// Tells the other former members which row we know, so that one of us can
    /// replace it.
    fn tell_former(&mut self, known: &KnownRow, now: Now, out: &mut Vec<HoldAction>) {
        if !known.row.former.contains(&self.me) {
            return;
        }
        let interval_ms = self.cfg.ask_interval_ms;
        if self
            .told_former
            .is_some_and(|last| now.mono.since(last) < interval_ms)
        {
            return;
        }
        self.told_former = Some(now.mono);
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
        if !self.reads.absent() || self.seen_epoch > Epoch(0) {
            return;
        }
        if self.ready_to_write(rank, now, out) {
            let row = self.sole_row(Epoch(1), Wall(0));
            self.write(row, now, out);
        }
    }

    /// Whether a write may begin: the store answers, our own promise has lapsed
    /// and those who go before us have had their turn.
    fn ready_to_write(&mut self, rank: usize, now: Now, out: &mut Vec<HoldAction>) -> bool {
        self.read(now, out);
        if !self.free_of_promise(now) {
            self.free_since = None;
            return false;
        }
        let since = *self.free_since.get_or_insert(now.mono);
        let rank = u64::try_from(rank).unwrap_or(u64::MAX);
        let turn = now.mono.since(since) >= rank.saturating_mul(STAGGER_MS);
        turn && self.store_answers(now)
    }

    /// Later than any id that an earlier dispatcher may have sent: it has stopped
    /// by now, and no clock is further ahead than the skew bound.
    fn fresh_floor(&self, now: Now) -> Wall {
        now.wall.plus(self.cfg.skew_bound_ms)
    }

    fn sole_row(&self, epoch: Epoch, floor: Wall) -> DispatchRow {
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

/// The row after a takeover, which changes roles only.
///
/// Failure guarded against: a takeover that brought in a new member would let it
/// take over in turn with a list that the old dispatcher, which does not know of
/// it, has no promise from. Members are added only by a dispatcher that holds.
fn taken_over(known: &KnownRow, me: &Session, floor: Wall) -> DispatchRow {
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
