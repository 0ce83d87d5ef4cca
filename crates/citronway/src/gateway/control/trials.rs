//! Trials of work under suspicion: asked of the leader, and granted as the leader.

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

/// Time between two datagrams of one request, in milliseconds: they are lost now and then.
pub(super) const RESEND_MS: u64 = 25;

/// Time after which the leader's answer is no longer waited for, in milliseconds.
const ANSWER_MS: u64 = 300;

/// Time without an answer of any leader after which an instance tries work in its turn, in
/// milliseconds: longer than most changes of the leader.
const ALONE_AFTER_MS: u64 = 2_000;

/// A request that the leader has not answered yet.
#[derive(Debug)]
struct Asked {
    req: TrialRequest,
    reply: oneshot::Sender<TrialGrant>,
    since: Mono,
    sent: Mono,
}

/// What this instance knows of trials.
#[derive(Debug, Default)]
pub(super) struct TrialDuty {
    /// Trials of this instance's own traffic.
    own: Trials,
    /// Those of all instances, while this one leads.
    granted: Trials,
    /// Term in which it granted them.
    term: u64,
    asked: IndexMap<u64, Asked>,
    /// Since when no leader has answered a request.
    unanswered_since: Option<Mono>,
}

impl TrialDuty {
    /// Whether an answer of the leader is waited for.
    pub(super) fn is_waiting(&self) -> bool {
        !self.asked.is_empty()
    }

    /// Trials that this instance grants as the leader of a term.
    fn granted_in(&mut self, now: Mono, term: u64) -> &mut Trials {
        if self.term != term {
            self.term = term;
            self.granted = Trials::for_new_leader(now);
        }
        &mut self.granted
    }

    /// Whether no leader has answered for so long that none is waited for.
    fn is_alone(&mut self, now: Mono) -> bool {
        let since = *self.unanswered_since.get_or_insert(now);
        now.since(since) >= ALONE_AFTER_MS
    }

    /// Notes crashes: what was cleared by an answer before is under suspicion again.
    pub(super) fn crashes_seen(&mut self, signs: &[Sign]) {
        for sign in signs {
            let Sign::Crash { work, .. } = sign else {
                continue;
            };
            self.own.record_crash(*work);
            self.granted.record_crash(*work);
        }
    }

    fn settle(&mut self, now: Mono, asked: Asked, grant: TrialGrant) {
        let TrialRequest { id, work, .. } = asked.req;
        if grant != TrialGrant::Granted {
            self.own.record_end(now, id, work, TrialEnd::Inconclusive);
        }
        // The caller has left where nobody listens; then the trial ends by its own guard.
        let _ = asked.reply.send(grant);
    }
}

impl Control {
    /// Takes what the traffic asks or tells of trials.
    pub(super) fn trial_event(&mut self, socket: &UdpSocket, event: TrialEvent) {
        let now = clock::mono();
        match event {
            TrialEvent::Request(ask) => {
                let id = self.trial_id(ask.number);
                let req = TrialRequest {
                    id,
                    work: ask.work,
                    expected_ms: ask.expected_ms,
                    limit_ms: ask.limit_ms,
                };
                self.request_trial(now, socket, req, ask.reply);
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
        let asked = Asked {
            req,
            reply,
            since: now,
            sent: now,
        };
        let grant = self.trials.own.request(now, &req);
        if grant != TrialGrant::Granted {
            // Nothing was taken that would have to be given back.
            let _ = asked.reply.send(grant);
            return;
        }
        if self.duty.in_office() {
            self.trials.unanswered_since = None;
            let grant = self.grant_trial(now, &req);
            self.trials.settle(now, asked, grant);
            return;
        }
        let Some(leader) = self.answering_leader(now) else {
            let grant = self.try_alone(now, req.work);
            self.trials.settle(now, asked, grant);
            return;
        };
        self.send_trial(socket, &Datagram::TrialRequest(req), leader);
        self.trials.asked.insert(req.id.number, asked);
    }

    /// As the leader, decides about a request of any instance.
    fn grant_trial(&mut self, now: Mono, req: &TrialRequest) -> TrialGrant {
        let term = self.duty.term();
        let grant = self.trials.granted_in(now, term).request(now, req);
        log::debug!(work:% = req.work, session = req.id.session.0, grant:?; "trial requested");
        grant
    }

    pub(super) fn answering_leader(&self, now: Mono) -> Option<SocketAddr> {
        if !self.cluster.hears_leader(now) {
            return None;
        }
        self.cluster.leader_address()
    }

    fn try_alone(&mut self, now: Mono, work: Fingerprint) -> TrialGrant {
        let known = self.cluster.crashes.known();
        let heard = known.suspects.get(&work).copied().unwrap_or(now);
        let place = self.place_among_peers(work);
        let may_send = self.trials.is_alone(now) && may_try_without_leader(now, heard, place);
        log::info!(work:%, may_send; "no leader answers about a trial");
        if may_send {
            TrialGrant::Granted
        } else {
            TrialGrant::Busy {
                for_ms: TIME_SLICE_MS,
            }
        }
    }

    fn place_among_peers(&self, work: Fingerprint) -> InstancePosition {
        let order = |rank: u64| rank ^ work.0;
        let own = order(self.cluster.rank());
        let peers = self.cluster.peers.ranks();
        let before = peers.filter(|rank| order(*rank) < own).count();
        InstancePosition {
            before: before as u64,
            total: self.cluster.peers.listed() as u64,
        }
    }

    fn end_trial(&mut self, now: Mono, socket: &UdpSocket, ended: EndedTrial) {
        self.trials
            .own
            .record_end(now, ended.id, ended.work, ended.end);
        self.trials.asked.swap_remove(&ended.id.number);
        if self.duty.in_office() {
            self.trial_ended(now, &ended);
            return;
        }
        if let Some(leader) = self.answering_leader(now) {
            self.send_trial(socket, &Datagram::TrialEnd(ended), leader);
        }
    }

    /// As the leader, takes the end of a trial.
    ///
    /// Failure guarded against: the next copy is granted before the crash that ended this one
    /// is heard of by reports. So the end itself tells of the crash.
    fn trial_ended(&mut self, now: Mono, ended: &EndedTrial) {
        let EndedTrial { id, work, end } = *ended;
        if let TrialEnd::Crashed { endpoint } = end {
            let crash = Sign::Crash { work, endpoint };
            self.cluster.crashes.crash_told(now, crash);
            self.trials.crashes_seen(&[crash]);
        }
        let term = self.duty.term();
        self.trials
            .granted_in(now, term)
            .record_end(now, id, work, end);
    }

    /// Takes a message about trials that came from an address.
    pub(super) fn trial_requested(
        &mut self,
        socket: &UdpSocket,
        req: &TrialRequest,
        from: SocketAddr,
    ) {
        if !self.duty.in_office() {
            return;
        }
        let grant = self.grant_trial(clock::mono(), req);
        let TrialRequest { id, work, .. } = *req;
        let reply = TrialReply { id, work, grant };
        self.send_trial(socket, &Datagram::TrialReply(reply), from);
    }

    /// Takes the answer of the leader.
    pub(super) fn trial_replied(&mut self, reply: &TrialReply) {
        if reply.id.session != self.me.id {
            return;
        }
        let Some(asked) = self.trials.asked.swap_remove(&reply.id.number) else {
            return;
        };
        let now = clock::mono();
        self.trials.unanswered_since = None;
        if reply.grant == TrialGrant::Cleared {
            self.cluster.crashes.cleared(now, reply.work);
        }
        self.trials.settle(now, asked, reply.grant);
    }

    /// Takes the end of another instance's trial.
    pub(super) fn trial_end_came(&mut self, ended: &EndedTrial) {
        if self.duty.in_office() {
            self.trial_ended(clock::mono(), ended);
        }
    }

    /// Asks again what is not answered, and decides without the leader what is not for long.
    pub(super) fn step_trials(&mut self, socket: &UdpSocket) {
        let now = clock::mono();
        if self.duty.in_office() {
            // What a new leader waits for counts from its first moment, not from a request.
            self.trials.granted_in(now, self.duty.term());
        }
        let late = |asked: &Asked| now.since(asked.since) >= ANSWER_MS;
        let unanswered: Vec<_> = self
            .trials
            .asked
            .extract_if(.., |_, asked| late(asked))
            .collect();
        for (_, asked) in unanswered {
            let grant = self.try_alone(now, asked.req.work);
            self.trials.settle(now, asked, grant);
        }
        let Some(leader) = self.cluster.leader_address() else {
            return;
        };
        let mut again = Vec::new();
        for asked in self.trials.asked.values_mut() {
            if now.since(asked.sent) >= RESEND_MS {
                asked.sent = now;
                again.push(asked.req);
            }
        }
        for req in again {
            self.send_trial(socket, &Datagram::TrialRequest(req), leader);
        }
    }

    fn send_trial(&self, socket: &UdpSocket, message: &Datagram, to: SocketAddr) {
        self.send(socket, &datagram::encode(message), to);
    }
}
