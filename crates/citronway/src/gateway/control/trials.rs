//! Trials of suspect work: requested from the leader, and granted as the leader.

use std::net::SocketAddr;

use citronway_core::gateway::crashes::{
    Fingerprint, InstancePosition, Sign, TIME_SLICE_MS, TrialEnd, TrialGrant, TrialId,
    TrialRequest, Trials, may_try_without_leader,
};
use citronway_core::time::Mono;
use citronway_wire::report::{self as datagram, Datagram};
use citronway_wire::trial::{EndedTrial, TrialReply};
use indexmap::IndexMap;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use super::Control;
use crate::clock;
use crate::gateway::traffic::TrialEvent;

/// Time between two datagrams of one request, in milliseconds, since some are lost.
pub(super) const RESEND_MS: u64 = 25;

/// Time after which the leader's reply is no longer waited for, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 300;

/// Time without a reply of any leader after which an instance grants trials itself, at its
/// place in the order of instances, in milliseconds: longer than most changes of the
/// leader.
const LEADERLESS_AFTER_MS: u64 = 2_000;

/// A request that the leader has not answered yet.
#[derive(Debug)]
struct PendingRequest {
    req: TrialRequest,
    reply: oneshot::Sender<TrialGrant>,
    since: Mono,
    sent: Mono,
}

/// Trials that this instance requested or granted.
#[derive(Debug, Default)]
pub(super) struct TrialState {
    /// Trials of this instance's own traffic.
    own: Trials,
    /// Trials of all instances, granted while this instance leads.
    granted: Trials,
    /// Term in which `granted` were granted.
    term: u64,
    pending: IndexMap<u64, PendingRequest>,
    /// Since when no leader has answered a request; `None` if the last one was answered.
    unanswered_since: Option<Mono>,
}

impl TrialState {
    /// Whether a reply of the leader is waited for.
    pub(super) fn is_waiting(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Trials that this instance grants as the leader of a term.
    fn granted_in(&mut self, now: Mono, term: u64) -> &mut Trials {
        if self.term != term {
            self.term = term;
            self.granted = Trials::for_new_leader(now);
        }
        &mut self.granted
    }

    /// Whether no leader has answered for so long that trials are granted without one.
    fn is_leaderless(&mut self, now: Mono) -> bool {
        let since = *self.unanswered_since.get_or_insert(now);
        now.since(since) >= LEADERLESS_AFTER_MS
    }

    /// Records crashes: work that an answer cleared before is suspect again.
    pub(super) fn record_crashes(&mut self, signs: &[Sign]) {
        for sign in signs {
            let Sign::Crash { work, .. } = sign else {
                continue;
            };
            self.own.record_crash(*work);
            self.granted.record_crash(*work);
        }
    }

    fn answer(&mut self, now: Mono, pending: PendingRequest, grant: TrialGrant) {
        let TrialRequest { id, work, .. } = pending.req;
        if grant != TrialGrant::Granted {
            self.own.record_end(now, id, work, TrialEnd::Inconclusive);
        }
        // If the caller has left, nobody receives this, and a guard on its side ends the
        // trial.
        let _ = pending.reply.send(grant);
    }
}

impl Control {
    /// Handles a request for a trial, or the end of one, from the traffic thread.
    pub(super) fn on_trial_event(&mut self, socket: &UdpSocket, event: TrialEvent) {
        let now = clock::mono();
        match event {
            TrialEvent::Request(query) => {
                let id = self.trial_id(query.number);
                let req = TrialRequest {
                    id,
                    work: query.work,
                    expected_ms: query.expected_ms,
                    limit_ms: query.limit_ms,
                };
                self.request_trial(now, socket, req, query.reply);
            }
            TrialEvent::Ended { number, work, end } => {
                let id = self.trial_id(number);
                self.end_trial(now, socket, EndedTrial { id, work, end });
            }
        }
    }

    const fn trial_id(&self, number: u64) -> TrialId {
        TrialId {
            session: self.me.id,
            number,
        }
    }

    fn request_trial(
        &mut self,
        now: Mono,
        socket: &UdpSocket,
        req: TrialRequest,
        reply: oneshot::Sender<TrialGrant>,
    ) {
        let pending = PendingRequest {
            req,
            reply,
            since: now,
            sent: now,
        };
        let grant = self.trials.own.request(now, &req);
        if grant != TrialGrant::Granted {
            // A grant that was refused need not be returned.
            let _ = pending.reply.send(grant);
            return;
        }
        if self.leadership.is_leader() {
            self.trials.unanswered_since = None;
            let grant = self.grant_trial(now, &req);
            self.trials.answer(now, pending, grant);
            return;
        }
        let Some(leader) = self.reachable_leader(now) else {
            let grant = self.grant_without_leader(now, req.work);
            self.trials.answer(now, pending, grant);
            return;
        };
        self.send_trial(socket, &Datagram::TrialRequest(req), leader);
        self.trials.pending.insert(req.id.number, pending);
    }

    /// As the leader, decides on a request of any instance.
    fn grant_trial(&mut self, now: Mono, req: &TrialRequest) -> TrialGrant {
        let term = self.leadership.term();
        let grant = self.trials.granted_in(now, term).request(now, req);
        log::debug!(work:% = req.work, session = req.id.session.0, grant:?; "trial requested");
        grant
    }

    pub(super) fn reachable_leader(&self, now: Mono) -> Option<SocketAddr> {
        if !self.cluster.hears_leader(now) {
            return None;
        }
        self.cluster.leader_address()
    }

    fn grant_without_leader(&mut self, now: Mono, work: Fingerprint) -> TrialGrant {
        let known = self.cluster.crashes.known();
        let suspected_at = known.suspects.get(&work).copied().unwrap_or(now);
        let position = self.position_among_peers(work);
        let may_send =
            self.trials.is_leaderless(now) && may_try_without_leader(now, suspected_at, position);
        log::info!(work:%, may_send; "no leader answers a trial request");
        if may_send {
            TrialGrant::Granted
        } else {
            TrialGrant::Busy {
                for_ms: TIME_SLICE_MS,
            }
        }
    }

    fn position_among_peers(&self, work: Fingerprint) -> InstancePosition {
        let order = |rank: u64| rank ^ work.0;
        let own = order(self.cluster.rank());
        let peers = self.cluster.peers.ranks();
        let before = peers.filter(|rank| order(*rank) < own).count();
        InstancePosition {
            before: before as u64,
            total: self.cluster.peers.listed_count() as u64,
        }
    }

    fn end_trial(&mut self, now: Mono, socket: &UdpSocket, ended: EndedTrial) {
        self.trials
            .own
            .record_end(now, ended.id, ended.work, ended.end);
        self.trials.pending.swap_remove(&ended.id.number);
        if self.leadership.is_leader() {
            self.record_trial_end(now, &ended);
            return;
        }
        if let Some(leader) = self.reachable_leader(now) {
            self.send_trial(socket, &Datagram::TrialEnd(ended), leader);
        }
    }

    /// As the leader, records the end of a trial.
    ///
    /// Failure guarded against: the next copy is granted before a report tells of the crash
    /// that ended this trial. So the end of the trial itself carries the crash.
    fn record_trial_end(&mut self, now: Mono, ended: &EndedTrial) {
        let EndedTrial { id, work, end } = *ended;
        if let TrialEnd::Crashed { endpoint } = end {
            let crash = Sign::Crash { work, endpoint };
            self.cluster.crashes.record_crash(now, crash);
            self.trials.record_crashes(&[crash]);
        }
        let term = self.leadership.term();
        self.trials
            .granted_in(now, term)
            .record_end(now, id, work, end);
    }

    /// Handles a request for a trial that came from an address.
    pub(super) fn on_trial_request(
        &mut self,
        socket: &UdpSocket,
        req: &TrialRequest,
        from: SocketAddr,
    ) {
        if !self.leadership.is_leader() {
            return;
        }
        let grant = self.grant_trial(clock::mono(), req);
        let TrialRequest { id, work, .. } = *req;
        let reply = TrialReply { id, work, grant };
        self.send_trial(socket, &Datagram::TrialReply(reply), from);
    }

    /// Handles the leader's reply to a request of this instance.
    pub(super) fn on_trial_reply(&mut self, reply: &TrialReply) {
        if reply.id.session != self.me.id {
            return;
        }
        let Some(pending) = self.trials.pending.swap_remove(&reply.id.number) else {
            return;
        };
        let now = clock::mono();
        self.trials.unanswered_since = None;
        if reply.grant == TrialGrant::Cleared {
            self.cluster.crashes.record_answer(now, reply.work);
        }
        self.trials.answer(now, pending, reply.grant);
    }

    /// Handles the end of another instance's trial.
    pub(super) fn on_trial_end(&mut self, ended: &EndedTrial) {
        if self.leadership.is_leader() {
            self.record_trial_end(clock::mono(), ended);
        }
    }

    /// Sends unanswered requests again, and decides without the leader on those that timed
    /// out.
    pub(super) fn step_trials(&mut self, socket: &UdpSocket) {
        let now = clock::mono();
        if self.leadership.is_leader() {
            // A new leader's wait starts when it becomes the leader, not at the first
            // request.
            self.trials.granted_in(now, self.leadership.term());
        }
        let timed_out = |pending: &PendingRequest| now.since(pending.since) >= REPLY_TIMEOUT_MS;
        let unanswered: Vec<_> = self
            .trials
            .pending
            .extract_if(.., |_, pending| timed_out(pending))
            .collect();
        for (_, pending) in unanswered {
            let grant = self.grant_without_leader(now, pending.req.work);
            self.trials.answer(now, pending, grant);
        }
        let Some(leader) = self.cluster.leader_address() else {
            return;
        };
        let mut resend = Vec::new();
        for pending in self.trials.pending.values_mut() {
            if now.since(pending.sent) >= RESEND_MS {
                pending.sent = now;
                resend.push(pending.req);
            }
        }
        for req in resend {
            self.send_trial(socket, &Datagram::TrialRequest(req), leader);
        }
    }

    fn send_trial(&self, socket: &UdpSocket, message: &Datagram, to: SocketAddr) {
        self.send(socket, &datagram::encode(message), to);
    }
}
