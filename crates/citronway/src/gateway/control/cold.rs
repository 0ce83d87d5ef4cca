//! Sends to cold endpoints: requested from the leader, and granted as the leader.

use std::net::SocketAddr;

use citronway_core::gateway::cold::{ColdGrant, ColdSendLimiter};
use citronway_core::time::Mono;
use citronway_wire::cold::{ColdAsked, ColdReply};
use citronway_wire::report::{self as datagram, Datagram};
use indexmap::IndexMap;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use super::Control;
use crate::clock;
use crate::gateway::traffic::ColdQuery;

/// Time after which a reply of the leader is of no use, in milliseconds: longer than the
/// traffic thread waits for it.
const REPLY_TIMEOUT_MS: u64 = 500;

#[derive(Debug)]
struct PendingRequest {
    reply: oneshot::Sender<ColdGrant>,
    at: Mono,
}

/// Sends to cold endpoints that this instance requested or granted.
#[derive(Debug, Default)]
pub(super) struct ColdSendState {
    /// Sends of all instances, granted while this instance leads.
    granted: ColdSendLimiter,
    /// Term in which `granted` were granted.
    term: u64,
    pending: IndexMap<u64, PendingRequest>,
}

impl ColdSendState {
    /// Sends that this instance grants as the leader of a term.
    fn granted_in(&mut self, now: Mono, term: u64) -> &mut ColdSendLimiter {
        if self.term != term {
            self.term = term;
            self.granted = ColdSendLimiter::for_new_leader(now);
        }
        &mut self.granted
    }
}

impl Control {
    /// Handles a request of the traffic thread for a send to a cold endpoint.
    pub(super) fn on_cold_query(&mut self, socket: &UdpSocket, query: ColdQuery) {
        let now = clock::mono();
        if self.leadership.is_leader() {
            let term = self.leadership.term();
            let share = self.leadership.cold_share(now);
            let granted = self.cold.granted_in(now, term);
            let grant = granted.request_with_share(now, &query.req, share);
            // The caller may have left.
            let _ = query.reply.send(grant);
            return;
        }
        let Some(leader) = self.reachable_leader(now) else {
            // The request is dropped without a reply, and nothing is sent to the endpoint.
            return;
        };
        self.cold
            .pending
            .retain(|_, pending| now.since(pending.at) < REPLY_TIMEOUT_MS);
        let asked = ColdAsked {
            session: self.me.id,
            number: query.number,
            req: query.req,
        };
        self.send_cold_message(socket, &Datagram::ColdRequest(asked), leader);
        let reply = query.reply;
        self.cold
            .pending
            .insert(query.number, PendingRequest { reply, at: now });
    }

    /// As the leader, counts sends that the former leader granted from the moment it leads.
    pub(super) fn step_cold(&mut self, now: Mono) {
        if self.leadership.is_leader() {
            self.cold.granted_in(now, self.leadership.term());
        }
    }

    /// Handles a request of another instance.
    pub(super) fn on_cold_request(
        &mut self,
        socket: &UdpSocket,
        asked: &ColdAsked,
        from: SocketAddr,
    ) {
        if !self.leadership.is_leader() {
            return;
        }
        let now = clock::mono();
        let term = self.leadership.term();
        let share = self.leadership.cold_share(now);
        let granted = self.cold.granted_in(now, term);
        let grant = granted.request_with_share(now, &asked.req, share);
        let reply = ColdReply {
            session: asked.session,
            number: asked.number,
            grant,
        };
        self.send_cold_message(socket, &Datagram::ColdReply(reply), from);
    }

    /// Handles the leader's reply to a request of this instance.
    pub(super) fn on_cold_reply(&mut self, reply: &ColdReply) {
        if reply.session != self.me.id {
            return;
        }
        let Some(pending) = self.cold.pending.swap_remove(&reply.number) else {
            return;
        };
        // The caller may have left.
        let _ = pending.reply.send(reply.grant);
    }

    fn send_cold_message(&self, socket: &UdpSocket, message: &Datagram, to: SocketAddr) {
        self.send(socket, &datagram::encode(message), to);
    }
}
