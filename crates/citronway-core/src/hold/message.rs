//! What a hold does with messages of other sessions.

use super::events::HandOverReason;
use super::{EndpointReach, Handed, Hold, HoldAction, Promised};
use crate::ids::{Epoch, Session, Version};
use crate::peer::{HoldMessage, KnownRequests};
use crate::time::Now;

/// Round in a refusal that answers no question: a declined handover, or a former
/// member's word on the row it knows.
pub(super) const NO_ROUND: u64 = 0;

/// A dispatcher's question.
#[derive(Debug, Clone, Copy)]
struct Question {
    epoch: Epoch,
    row_version: Version,
    round: u64,
    duration_ms: u64,
}

impl Hold {
    /// Takes a message of another session.
    #[must_use]
    pub fn on_message(
        &mut self,
        from: &Session,
        message: &HoldMessage,
        now: Now,
    ) -> Vec<HoldAction> {
        let mut out = Vec::new();
        // What a dead session sent is no sign of life.
        if self.gone.contains(from) {
            return out;
        }
        match message {
            HoldMessage::Ask {
                epoch,
                row_version,
                round,
                duration_ms,
            } => {
                let question = Question {
                    epoch: *epoch,
                    row_version: *row_version,
                    round: *round,
                    duration_ms: *duration_ms,
                };
                self.on_ask(from, question, now, &mut out);
            }
            HoldMessage::Promise { epoch, round } => self.on_promise(from, *epoch, *round, now),
            HoldMessage::Refuse {
                epoch,
                round,
                row_version,
            } => {
                self.on_known_version(from, *row_version);
                if *round == NO_ROUND {
                    self.on_declined(from, *epoch, now, &mut out);
                }
            }
            HoldMessage::Renounce { row_version } => self.on_renounce(from, *row_version),
            HoldMessage::Handover {
                epoch,
                row_version,
                known,
            } => {
                self.seen_version = self.seen_version.max(*row_version);
                self.on_handover(from, *epoch, known, now, &mut out);
            }
        }
        out
    }

    fn on_ask(&mut self, from: &Session, ask: Question, now: Now, out: &mut Vec<HoldAction>) {
        self.seen_version = self.seen_version.max(ask.row_version);
        if self.left && self.pending.is_none() {
            let row_version = self.known_version();
            out.push(send(from, HoldMessage::Renounce { row_version }));
            return;
        }
        if !self.may_promise(ask) {
            out.push(self.refusal(from, ask.epoch, ask.round));
            return;
        }
        self.seen_epoch = self.seen_epoch.max(ask.epoch);
        self.heard = now.mono;
        self.free_since = None;
        self.asked_unlisted = self
            .known
            .as_ref()
            .is_some_and(|it| !it.row.successors.contains(&self.me));
        let until = now.mono.plus(self.cfg.kept_ms(ask.duration_ms));
        let epoch = ask.epoch;
        self.promised.retain(|_, it| now.mono < it.until);
        self.promised
            .insert(from.clone(), Promised { epoch, until });
        let promise = HoldMessage::Promise {
            epoch: ask.epoch,
            round: ask.round,
        };
        out.push(send(from, promise));
    }

    fn may_promise(&self, ask: Question) -> bool {
        if self.left || ask.epoch < self.seen_epoch {
            return false;
        }
        if self.handed.as_ref().is_some_and(|it| it.epoch >= ask.epoch) {
            return false;
        }
        // A takeover under way may land at any time, so it must not be followed
        // by a promise before the row has moved past the version it expects.
        let Some(pending) = &self.pending else {
            return true;
        };
        self.tenure.is_none() && ask.row_version > pending.expected
    }

    fn on_promise(&mut self, from: &Session, epoch: Epoch, round: u64, now: Now) {
        let lists = self.lists();
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        if tenure.epoch != epoch {
            return;
        }
        if tenure.promised(from, round, self.cfg.promise_ms, now.mono) {
            tenure.proved_by_promise(from, round, &lists);
        }
    }

    fn on_known_version(&mut self, from: &Session, version: Version) {
        self.seen_version = self.seen_version.max(version);
        let aware = self.aware.entry(from.clone()).or_default();
        *aware = version.max(*aware);
    }

    fn on_renounce(&mut self, from: &Session, version: Version) {
        self.on_known_version(from, version);
        let known = self.known_version();
        // One that knows a newer row than ours may have made it.
        if version > known {
            return;
        }
        if let Some(tenure) = &mut self.tenure {
            tenure.renounced(from);
        }
    }

    /// The dispatcher has stopped for good, so its promise needs no waiting out.
    fn on_handover(
        &mut self,
        from: &Session,
        epoch: Epoch,
        known: &KnownRequests,
        now: Now,
        out: &mut Vec<HoldAction>,
    ) {
        if epoch < self.seen_epoch || self.pending.is_some() {
            return;
        }
        // An offer that came twice must not be taken up once declined: its
        // dispatcher may have gone on.
        if self.left || self.reach == EndpointReach::Lost || self.declined >= Some(epoch) {
            self.declined = self.declined.max(Some(epoch));
            out.push(self.refusal(from, epoch, NO_ROUND));
            return;
        }
        self.handed = Some(Handed {
            epoch,
            known: known.clone(),
        });
        self.promised.retain(|_, it| it.epoch > epoch);
        self.take_handover(now, out);
    }

    /// Gives the role away, or leaves for good.
    ///
    /// A dispatcher stops acting at once. `known` is what it knows, the end
    /// of all work that still runs included; the successor needs no floor then.
    #[must_use]
    pub fn hand_over(
        &mut self,
        reason: HandOverReason,
        known: &KnownRequests,
        now: Now,
    ) -> Vec<HoldAction> {
        let mut out = Vec::new();
        if self.tenure.is_some() {
            self.start_offer(reason, known, now, &mut out);
        } else if reason == HandOverReason::Leaving {
            self.leave(&mut out);
        }
        out
    }

    /// Renounces for good, unless a write of ours may yet land.
    fn leave(&mut self, out: &mut Vec<HoldAction>) {
        self.left = true;
        if self.pending.is_some() {
            return;
        }
        let Some(known) = &self.known else {
            return;
        };
        let row_version = known.version;
        let members = std::iter::once(&known.row.dispatcher).chain(&known.row.successors);
        for session in members {
            if *session == self.me {
                continue;
            }
            out.push(send(session, HoldMessage::Renounce { row_version }));
        }
    }

    pub(super) fn refusal(&self, to: &Session, epoch: Epoch, round: u64) -> HoldAction {
        let row_version = self.known_version();
        let refuse = HoldMessage::Refuse {
            epoch,
            round,
            row_version,
        };
        send(to, refuse)
    }

    pub(super) fn known_version(&self) -> Version {
        self.known.as_ref().map_or(Version(0), |it| it.version)
    }
}

pub(super) fn send(to: &Session, message: HoldMessage) -> HoldAction {
    HoldAction::Send {
        to: to.clone(),
        message,
    }
}
