//! Deduplication table: ids of accepted non-idempotent requests, so that none is
//! sent twice.
//!
//! Every id created at or after the floor is in the table if it was ever sent to
//! the endpoint. Older ids may have been sent and are not run. An id may be
//! dropped only below the floor, so the floor is raised before ids are dropped.
//!
//! No id is sent before its time of creation has come on this instance's clock.
//! A successor that sets its floor to the time of the takeover, plus the skew
//! bound between instances, therefore covers every id of its predecessor, however
//! fast the callers' clocks are.

use std::collections::BTreeMap;

use super::answers::AnswerCache;
use super::fingerprint::Fingerprint;
use super::message::RequestFault;
use super::settings::DispatchSettings;
use crate::ids::RequestId;
use crate::outcome::{MayHaveRun, MayHaveRunReason, Outcome};
use crate::peer::{KnownRequest, KnownRequests};
use crate::time::Wall;

/// Result of looking a request up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Not known: it may be sent, but not before `not_before`.
    New {
        /// Time of creation of the id.
        not_before: Wall,
    },
    /// The same request is waiting or running.
    Pending,
    /// The outcome is known.
    Settled(Outcome),
    /// The request is invalid.
    Fault(RequestFault),
    /// The table has no room for the id; the request is not accepted and did not
    /// run.
    NoRoom,
}

#[derive(Debug, Clone)]
enum State {
    Pending,
    /// Answered; the answer may have been dropped.
    Answered,
    MayHaveRun(MayHaveRun),
}

#[derive(Debug, Clone)]
struct Known {
    /// `None` if the predecessor that accepted the request did not pass it on.
    fingerprint: Option<Fingerprint>,
    state: State,
}

/// Maximum number of ids in a handover, so that it fits into one message.
const MAX_EXPORTED_IDS: usize = 16_384;
/// Maximum size of the answer bodies in a handover, in bytes.
const MAX_EXPORTED_ANSWER_BYTES: usize = 1 << 20;

/// Deduplication table of one dispatcher.
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
    /// Creates an empty table. Ids created before `floor` are not run.
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

    /// Number of ids in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Looks a request up by its id. `shard_floor` is the floor of its shard.
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

    /// Adds the id of a request that [`Self::check`] found new.
    pub fn register(&mut self, id: RequestId, fingerprint: Fingerprint) {
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

    /// Records the outcome of an accepted request. A request that did not run may
    /// be tried again under the same id; any other is never run again.
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

    /// Raises the floor to the start of the window and drops the ids below it.
    pub fn pass_time(&mut self, now: Wall) {
        self.raise_floor(now.minus(self.window_ms));
        while let Some((&id, known)) = self.known.first_key_value() {
            let old = id.created().is_none_or(|created| created < self.floor);
            if !old || matches!(known.state, State::Pending) {
                break;
            }
            self.known.remove(&id);
            self.answers.forget(id);
        }
    }

    /// Content of the table for a successor. If there are more ids than fit into
    /// a message, these are the newest, and the floor lies above the others.
    #[must_use]
    pub fn export(&self) -> KnownRequests {
        let mut requests = Vec::new();
        let mut floor = self.floor;
        let mut room = MAX_EXPORTED_ANSWER_BYTES;
        for (&id, known) in self.known.iter().rev() {
            if requests.len() == MAX_EXPORTED_IDS {
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

    /// The kept answer; `None` if there is none or it does not fit into `room`,
    /// the bytes left in the message.
    fn exported_answer(&self, id: RequestId, room: &mut usize) -> Option<Outcome> {
        let answer = self.answers.get(id)?;
        *room = room.checked_sub(answer.body.len())?;
        Some(Outcome::Answered(answer.clone()))
    }

    /// Imports the table of a predecessor. An answer without the fingerprint of
    /// its request is not kept: a request with the same id could not be compared
    /// with the one that was answered.
    pub fn import(&mut self, known: &KnownRequests) {
        self.raise_floor(known.floor);
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
        // Two different requests may have the same id, for instance if a caller
        // generates ids badly. The second must not get the first one's answer,
        // so the fingerprints are compared before any reply.
        if known.fingerprint.is_some_and(|first| first != fingerprint) {
            return Verdict::Fault(RequestFault::IdReused);
        }
        match known.state {
            State::Pending => Verdict::Pending,
            State::MayHaveRun(may) => Verdict::Settled(Outcome::MayHaveRun(may)),
            State::Answered => Verdict::Settled(self.answer_outcome(id)),
        }
    }

    fn answer_outcome(&self, id: RequestId) -> Outcome {
        let Some(answer) = self.answers.get(id) else {
            return Outcome::MayHaveRun(MayHaveRun {
                reason: MayHaveRunReason::AnswerGone,
                retry_after_ms: 0,
            });
        };
        Outcome::Answered(answer.clone())
    }

    /// Whether one more id can be added, if necessary by dropping the oldest.
    /// Dropping it raises the floor. With a window below the minimum, callers that
    /// have just created their ids would be answered `may have run`, so new
    /// requests are refused as not run instead.
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

    /// Raises the floor above the oldest id, then drops the id. Without the
    /// raised floor a late duplicate of it would run again. Returns false if the
    /// oldest request is still pending, or if there is none.
    fn drop_oldest(&mut self) -> bool {
        let Some((&id, known)) = self.known.first_key_value() else {
            return false;
        };
        if matches!(known.state, State::Pending) {
            return false;
        }
        if let Some(created) = id.created() {
            self.raise_floor(created.plus(1));
        }
        self.known.remove(&id);
        self.answers.forget(id);
        true
    }

    fn raise_floor(&mut self, floor: Wall) {
        self.floor = self.floor.max(floor);
    }
}

const fn before_floor() -> Outcome {
    Outcome::MayHaveRun(MayHaveRun {
        reason: MayHaveRunReason::BeforeFloor,
        retry_after_ms: 0,
    })
}
