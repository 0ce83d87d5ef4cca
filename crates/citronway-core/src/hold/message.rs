//! Handling of messages from other sessions: promise requests, promises and
//! handovers.

use super::events::HandOverReason;
use super::{EndpointReach, GivenPromise, Hold, HoldAction, ReceivedHandover};
use crate::ids::{Epoch, Session, Version};
use crate::peer::{HoldMessage, KnownRequests};
use crate::time::Now;

/// Round in a refusal that answers no promise request: it declines a handover, or
/// tells another former member which row version is known.
pub(super) const NO_ROUND: u64 = 0;

/// Content of a [`HoldMessage::Ask`], by which a dispatcher requests a promise.
#[derive(Debug, Clone, Copy)]
struct PromiseRequest {
    epoch: Epoch,
    row_version: Version,
    round: u64,
    duration_ms: u64,
}

impl Hold {
    /// Handles a message from another session.
    #[must_use]
    pub fn on_message(
        &mut self,
        from: &Session,
        message: &HoldMessage,
        now: Now,
    ) -> Vec<HoldAction> {
        let mut out = Vec::new();
        // A message of a gone session may arrive late and must not count as a sign
        // of life.
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
                let request = PromiseRequest {
                    epoch: *epoch,
                    row_version: *row_version,
                    round: *round,
                    duration_ms: *duration_ms,
                };
                self.on_ask(from, request, now, &mut out);
            }
            HoldMessage::Promise { epoch, round } => self.on_promise(from, *epoch, *round, now),
            HoldMessage::Refuse {
                epoch,
                round,
                row_version,
            } => {
                self.record_peer_version(from, *row_version);
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

    fn on_ask(
        &mut self,
        from: &Session,
        request: PromiseRequest,
        now: Now,
        out: &mut Vec<HoldAction>,
    ) {
        self.seen_version = self.seen_version.max(request.row_version);
        if self.has_left && self.pending.is_none() {
            let row_version = self.known_version();
            out.push(send_action(from, HoldMessage::Renounce { row_version }));
            return;
        }
        if !self.can_promise(request) {
            out.push(self.refusal(from, request.epoch, request.round));
            return;
        }
        self.seen_epoch = self.seen_epoch.max(request.epoch);
        self.last_heard = now.mono;
        self.takeover_ready_since = None;
        self.asked_while_unlisted = self
            .known
            .as_ref()
            .is_some_and(|it| !it.row.successors.contains(&self.me));
        let until = now.mono.plus(self.cfg.kept_ms(request.duration_ms));
        let epoch = request.epoch;
        self.given_promises.retain(|_, it| now.mono < it.until);
        self.given_promises
            .insert(from.clone(), GivenPromise { epoch, until });
        let promise = HoldMessage::Promise {
            epoch: request.epoch,
            round: request.round,
        };
        out.push(send_action(from, promise));
    }

    fn can_promise(&self, request: PromiseRequest) -> bool {
        if self.has_left || request.epoch < self.seen_epoch {
            return false;
        }
        if self
            .handover
            .as_ref()
            .is_some_and(|it| it.epoch >= request.epoch)
        {
            return false;
        }
        // A pending takeover write may take effect at any time, so no promise may
        // follow it until the row has moved past the version that the write
        // expects.
        let Some(pending) = &self.pending else {
            return true;
        };
        self.dispatcher_state.is_none() && request.row_version > pending.expected
    }

    fn on_promise(&mut self, from: &Session, epoch: Epoch, round: u64, now: Now) {
        let lists = self.possible_lists();
        let Some(state) = &mut self.dispatcher_state else {
            return;
        };
        if state.epoch != epoch {
            return;
        }
        if state.record_promise(from, round, self.cfg.promise_ms, now.mono) {
            state.prove_by_promise(from, round, &lists);
        }
    }

    fn record_peer_version(&mut self, from: &Session, version: Version) {
        self.seen_version = self.seen_version.max(version);
        let peer_version = self.peer_versions.entry(from.clone()).or_default();
        *peer_version = version.max(*peer_version);
    }

    fn on_renounce(&mut self, from: &Session, version: Version) {
        self.record_peer_version(from, version);
        let known = self.known_version();
        // A session that knows a newer row than this one may have written it.
        if version > known {
            return;
        }
        if let Some(state) = &mut self.dispatcher_state {
            state.mark_renounced(from);
        }
    }

    /// Accepts or declines a handover. The dispatcher has stopped acting for good,
    /// so the promise given to it need not expire first.
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
        // A handover that was declined must stay declined when it arrives again:
        // its dispatcher may have resumed.
        if self.has_left || self.reach == EndpointReach::Lost || self.declined_epoch >= Some(epoch)
        {
            self.declined_epoch = self.declined_epoch.max(Some(epoch));
            out.push(self.refusal(from, epoch, NO_ROUND));
            return;
        }
        self.handover = Some(ReceivedHandover {
            epoch,
            known: known.clone(),
        });
        self.given_promises.retain(|_, it| it.epoch > epoch);
        self.accept_handover(now, out);
    }

    /// Hands over the dispatcher role, or leaves for good if this session is no
    /// dispatcher.
    ///
    /// A dispatcher stops acting at once. `known` are the requests that it knows,
    /// including the outcome of work that was still running; the successor then
    /// needs no new floor.
    #[must_use]
    pub fn hand_over(
        &mut self,
        reason: HandOverReason,
        known: &KnownRequests,
        now: Now,
    ) -> Vec<HoldAction> {
        let mut out = Vec::new();
        if self.dispatcher_state.is_some() {
            self.start_offer(reason, known, now, &mut out);
        } else if reason == HandOverReason::Leaving {
            self.leave(&mut out);
        }
        out
    }

    /// Renounces all further writes, unless a write of this session may still take
    /// effect.
    fn leave(&mut self, out: &mut Vec<HoldAction>) {
        self.has_left = true;
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
            out.push(send_action(session, HoldMessage::Renounce { row_version }));
        }
    }

    pub(super) fn refusal(&self, to: &Session, epoch: Epoch, round: u64) -> HoldAction {
        let row_version = self.known_version();
        let refuse = HoldMessage::Refuse {
            epoch,
            round,
            row_version,
        };
        send_action(to, refuse)
    }

    pub(super) fn known_version(&self) -> Version {
        self.known.as_ref().map_or(Version(0), |it| it.version)
    }
}

pub(super) fn send_action(to: &Session, message: HoldMessage) -> HoldAction {
    HoldAction::Send {
        to: to.clone(),
        message,
    }
}
