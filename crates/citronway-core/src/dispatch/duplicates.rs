//! Ids of non-idempotent requests that were taken, so that none is sent twice.
//!
//! Every id created since the floor is in the table if it was ever sent on;
//! older ones may have been and are not run. Forgetting an id is safe only
//! below the floor, so the floor is raised before ids are dropped.
//!
//! No id is sent on before its time of creation has come on this instance's
//! clock. A successor that sets its floor to the time of the takeover, plus
//! the skew between instances, has then covered every id of its predecessor,
//! however fast the callers' clocks are.

use std::collections::BTreeMap;

use super::answers::AnswerCache;
use super::fingerprint::Fingerprint;
use super::message::RequestFault;
use super::settings::DispatchSettings;
use crate::ids::RequestId;
use crate::outcome::{MayHaveRun, MayHaveRunReason, Outcome};
use crate::peer::{KnownRequest, KnownRequests};
use crate::time::Wall;

/// What the table says about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Not seen before: it may be sent, but not before `not_before`.
    New {
        /// When its time of creation has passed for sure.
        not_before: Wall,
    },
    /// The same request is waiting or running.
    Pending,
    /// Its outcome is known.
    Settled(Outcome),
    /// It cannot be taken.
    Fault(RequestFault),
    /// No room for its id; it is not taken and did not run.
    NoRoom,
}

#[derive(Debug, Clone)]
enum State {
    Pending,
    /// Its answer is kept, or gone.
    Answered,
    MayHaveRun(MayHaveRun),
}

#[derive(Debug, Clone)]
struct Known {
    /// Absent if another dispatcher took the request.
    fingerprint: Option<Fingerprint>,
    state: State,
}

/// Most ids in a handover, so that it fits into one message.
const EXPORTED_IDS: usize = 16_384;
/// Most bytes of kept answers in a handover.
const EXPORTED_ANSWER_BYTES: usize = 1 << 20;

/// The table of one dispatcher.
#[derive(Debug)]
pub struct Duplicates {
    /// By id, which for UUIDs of version 7 is by time of creation; an
    /// `IndexMap` does not keep that order.
    known: BTreeMap<RequestId, Known>,
    answers: AnswerCache,
    floor: Wall,
    max_ids: usize,
    ahead_ms: u64,
    window_ms: u64,
    window_min_ms: u64,
}

impl Duplicates {
    /// An empty table that knows every id created at `floor` or later.
    #[must_use]
    pub fn new(cfg: &DispatchSettings, floor: Wall) -> Self {
        Self {
            known: BTreeMap::new(),
            answers: AnswerCache::new(cfg.answer_bytes),
            floor,
            max_ids: cfg.max_ids.max(1),
            ahead_ms: cfg.id_ahead_ms,
            window_ms: cfg.id_window_ms,
            window_min_ms: cfg.id_window_min_ms,
        }
    }

    /// Ids created before this are not run unless the table knows them.
    #[must_use]
    pub const fn floor(&self) -> Wall {
        self.floor
    }

    /// Ids in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Looks a request up. `shard_floor` is the floor of its shard.
    #[must_use]
    pub fn check(
        &self,
        id: RequestId,
        fingerprint: Fingerprint,
        shard_floor: Wall,
        now: Wall,
    ) -> Verdict {
        let Some(created) = id.created() else {
            return Verdict::Fault(RequestFault::IdWithoutTime);
        };
        if let Some(known) = self.known.get(&id) {
            return self.verdict(id, known, fingerprint);
        }
        if created < self.floor.max(shard_floor) {
            return Verdict::Settled(before_floor());
        }
        let ahead_ms = created.since(now.plus(self.ahead_ms));
        if ahead_ms > 0 {
            return Verdict::Fault(RequestFault::IdAhead { ahead_ms });
        }
        if !self.has_room(now) {
            return Verdict::NoRoom;
        }
        Verdict::New {
            not_before: created,
        }
    }

    /// Takes the id of a request that [`Self::check`] found new.
    pub fn take(&mut self, id: RequestId, fingerprint: Fingerprint) {
        let known = Known {
            fingerprint: Some(fingerprint),
            state: State::Pending,
        };
        self.known.insert(id, known);
        while self.known.len() > self.max_ids {
            if !self.drop_oldest() {
                break;
            }
        }
    }

    /// Notes the outcome of a request that was taken. One that did not run may
    /// be tried again under the same id; any other never.
    pub fn settle(&mut self, id: RequestId, outcome: &Outcome) {
        let Some(known) = self.known.get_mut(&id) else {
            return;
        };
        match outcome {
            Outcome::NotRun(_) => {
                self.known.remove(&id);
            }
            Outcome::MayHaveRun(may) => known.state = State::MayHaveRun(*may),
            Outcome::Answered(answer) => {
                known.state = State::Answered;
                self.answers.keep(id, answer.clone());
            }
        }
    }

    /// Raises the floor to the window and drops what lies below it.
    pub fn pass_time(&mut self, now: Wall) {
        self.raise(now.minus(self.window_ms));
        while let Some((&id, known)) = self.known.first_key_value() {
            let old = id.created().is_none_or(|created| created < self.floor);
            if !old || matches!(known.state, State::Pending) {
                break;
            }
            self.known.remove(&id);
            self.answers.forget(id);
        }
    }

    /// What the table knows, for a successor; the newest ids if there are more
    /// than a message holds, with the floor above the others.
    #[must_use]
    pub fn export(&self) -> KnownRequests {
        let mut requests = Vec::new();
        let mut floor = self.floor;
        let mut room = EXPORTED_ANSWER_BYTES;
        for (&id, known) in self.known.iter().rev() {
            if requests.len() == EXPORTED_IDS {
                floor = floor.max(id.created().unwrap_or_default().plus(1));
                break;
            }
            let outcome = match known.state {
                State::MayHaveRun(may) => Some(Outcome::MayHaveRun(may)),
                State::Answered => self.exported_answer(id, &mut room),
                State::Pending => None,
            };
            let fingerprint = known.fingerprint;
            requests.push(KnownRequest {
                id,
                fingerprint,
                outcome,
            });
        }
        KnownRequests { floor, requests }
    }

    /// A kept answer as long as there is room for it in the message.
    fn exported_answer(&self, id: RequestId, room: &mut usize) -> Option<Outcome> {
        let answer = self.answers.get(id)?;
        *room = room.checked_sub(answer.body.len())?;
        Some(Outcome::Answered(answer.clone()))
    }

    /// Takes over what a predecessor knew. An answer without the fingerprint of
    /// its request is not kept: it is not sure whose answer it is.
    pub fn import(&mut self, known: &KnownRequests) {
        self.raise(known.floor);
        for req in &known.requests {
            let state = match &req.outcome {
                Some(Outcome::NotRun(_)) => continue,
                Some(Outcome::MayHaveRun(may)) => State::MayHaveRun(*may),
                Some(Outcome::Answered(_)) | None => State::Answered,
            };
            if let (Some(Outcome::Answered(answer)), Some(_)) = (&req.outcome, req.fingerprint) {
                self.answers.keep(req.id, answer.clone());
            }
            let fingerprint = req.fingerprint;
            self.known
                .entry(req.id)
                .or_insert(Known { fingerprint, state });
        }
    }

    fn verdict(&self, id: RequestId, known: &Known, fingerprint: Fingerprint) -> Verdict {
        // Two requests under one id, say by a caller that draws its ids badly:
        // the second would get the first one's answer as its own. All that
        // makes up the request is compared before anything is answered.
        if known.fingerprint.is_some_and(|first| first != fingerprint) {
            return Verdict::Fault(RequestFault::IdReused);
        }
        match known.state {
            State::Pending => Verdict::Pending,
            State::MayHaveRun(may) => Verdict::Settled(Outcome::MayHaveRun(may)),
            State::Answered => Verdict::Settled(self.kept(id)),
        }
    }

    fn kept(&self, id: RequestId) -> Outcome {
        let Some(answer) = self.answers.get(id) else {
            return Outcome::MayHaveRun(MayHaveRun {
                reason: MayHaveRunReason::AnswerGone,
                retry_after_ms: 0,
            });
        };
        Outcome::Answered(answer.clone())
    }

    /// Room for one more id, at need by dropping the oldest. Dropping it raises
    /// the floor; past the shortest window that would answer `may have run` to
    /// callers who have only just created their ids, so new work is refused as
    /// not run instead.
    fn has_room(&self, now: Wall) -> bool {
        if self.known.len() < self.max_ids {
            return true;
        }
        let Some((id, known)) = self.known.first_key_value() else {
            return false;
        };
        let latest = now.minus(self.window_min_ms);
        let old = id.created().is_none_or(|created| created < latest);
        old && !matches!(known.state, State::Pending)
    }

    /// Drops the oldest id, with the floor raised above it first: a late
    /// duplicate of it would find neither the id nor a floor, and run again.
    fn drop_oldest(&mut self) -> bool {
        let Some((&id, known)) = self.known.first_key_value() else {
            return false;
        };
        if matches!(known.state, State::Pending) {
            return false;
        }
        if let Some(created) = id.created() {
            self.raise(created.plus(1));
        }
        self.known.remove(&id);
        self.answers.forget(id);
        true
    }

    fn raise(&mut self, floor: Wall) {
        self.floor = self.floor.max(floor);
    }
}

const fn before_floor() -> Outcome {
    Outcome::MayHaveRun(MayHaveRun {
        reason: MayHaveRunReason::BeforeFloor,
        retry_after_ms: 0,
    })
}
