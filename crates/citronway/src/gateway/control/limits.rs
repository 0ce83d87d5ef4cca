//! Limits that endpoints state: what this instance knows of them, and the sends that it
//! requested or granted.

use std::net::SocketAddr;

use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::stated_limits::{
    LimitChange, LimitedSendLimiter, LocalShare, SendGrant, SendRequest, StatedLimit,
};
use citronway_core::time::Mono;
use citronway_wire::report::{self as datagram, Datagram};
use citronway_wire::stated_limits::{LimitedSendReply, LimitedSendRequest};
use indexmap::{IndexMap, IndexSet};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use super::Control;
use crate::clock;
use crate::gateway::traffic::LimitedSendQuery;

/// Time after which a reply of the leader is of no use, in milliseconds: longer than the traffic
/// thread waits for it.
const REPLY_TIMEOUT_MS: u64 = 500;

/// Time for which the own share decides after the leader did not decide, in milliseconds.
const LEADER_SILENT_MS: u64 = 500;

/// Time after which an instance asks again that does not know how many share the limit, in
/// milliseconds.
const UNKNOWN_FLEET_MS: u64 = 200;

/// Source of a statement in logs: an answer to this instance.
pub(super) const OWN_ANSWER: &str = "own answer";

#[derive(Debug)]
struct PendingQuery {
    req: SendRequest,
    reply: oneshot::Sender<SendGrant>,
    at: Mono,
}

/// Sends to limited endpoints that this instance requested or granted.
#[derive(Debug, Default)]
pub(super) struct LimitedSendState {
    /// Sends of all instances, granted while this instance leads.
    granted: LimitedSendLimiter,
    /// Term in which `granted` were granted.
    term: u64,
    /// Own sends while no leader grants any.
    own_share: LocalShare,
    /// Time until which the leader is not asked.
    leader_silent_until: Mono,
    pending: IndexMap<u64, PendingQuery>,
}

impl Control {
    /// Handles a query of the traffic thread for sends to a limited endpoint.
    pub(super) fn on_limited_query(&mut self, socket: &UdpSocket, query: LimitedSendQuery) {
        let now = clock::mono();
        let LimitedSendQuery {
            number,
            req,
            leader_silent,
            reply,
        } = query;
        if leader_silent {
            self.limited.leader_silent_until = now.plus(LEADER_SILENT_MS);
        }
        if self.leadership.is_leader() {
            let grant = match self.grant_limited(now, &req) {
                SendGrant::Unavailable => self.grant_own_share(now, &req),
                grant => grant,
            };
            // The caller may have left.
            let _ = reply.send(grant);
            return;
        }
        let leader = self
            .reachable_leader(now)
            .filter(|_| now >= self.limited.leader_silent_until);
        let Some(leader) = leader else {
            let _ = reply.send(self.grant_own_share(now, &req));
            return;
        };
        self.limited
            .pending
            .retain(|_, pending| now.since(pending.at) < REPLY_TIMEOUT_MS);
        let asked = LimitedSendRequest {
            session: self.me.id,
            number,
            req,
        };
        let bytes = datagram::encode(&Datagram::LimitedSendRequest(asked));
        self.send(socket, &bytes, leader);
        let at = now;
        self.limited
            .pending
            .insert(number, PendingQuery { req, reply, at });
    }

    /// Decides as the leader; `Unavailable` if this instance does not lead or may have been
    /// replaced.
    fn grant_limited(&mut self, now: Mono, req: &SendRequest) -> SendGrant {
        if !self.leadership.is_leader() {
            return SendGrant::Unavailable;
        }
        let term = self.leadership.term();
        if self.limited.term != term {
            self.limited.term = term;
            self.limited.granted = LimitedSendLimiter::default();
        }
        // The asking instance may know an older limit, or one that this one has not heard of.
        let per_s = self.cluster.stated_limits.per_s(req.endpoint);
        let per_s = per_s.unwrap_or(req.per_s);
        let share = self.leadership.limited_share(now);
        let req = SendRequest { per_s, ..*req };
        self.limited.granted.request(now, &req, share)
    }

    /// Decides by this instance's share of the limit.
    fn grant_own_share(&mut self, now: Mono, req: &SendRequest) -> SendGrant {
        if !self.cluster.own_loaded() {
            return SendGrant::Busy {
                for_ms: UNKNOWN_FLEET_MS,
            };
        }
        let peers = &self.cluster.peers;
        let instances = peers.listed_count().max(peers.instance_count(now));
        let rank = self.cluster.rank();
        self.limited.own_share.request(now, req, rank, instances)
    }

    /// Handles a request of another instance.
    pub(super) fn on_limited_request(
        &mut self,
        socket: &UdpSocket,
        asked: &LimitedSendRequest,
        from: SocketAddr,
    ) {
        let reply = LimitedSendReply {
            session: asked.session,
            number: asked.number,
            grant: self.grant_limited(clock::mono(), &asked.req),
        };
        let bytes = datagram::encode(&Datagram::LimitedSendReply(reply));
        self.send(socket, &bytes, from);
    }

    /// Handles the leader's reply to a request of this instance.
    pub(super) fn on_limited_reply(&mut self, reply: &LimitedSendReply) {
        if reply.session != self.me.id {
            return;
        }
        let Some(pending) = self.limited.pending.swap_remove(&reply.number) else {
            return;
        };
        let now = clock::mono();
        let grant = match reply.grant {
            SendGrant::Unavailable => {
                self.limited.leader_silent_until = now.plus(LEADER_SILENT_MS);
                self.grant_own_share(now, &pending.req)
            }
            grant => grant,
        };
        // The caller may have left.
        let _ = pending.reply.send(grant);
    }

    /// Records statements that another instance told all others.
    pub(super) fn hear_limits(&mut self, now: Mono, all: &[StatedLimit], source: &str) {
        for stated in all {
            if let Some(change) = self.cluster.stated_limits.hear(now, stated) {
                self.log_limit_change(stated, change, source);
            }
        }
    }

    /// Records statements that no other instance may know yet.
    pub(super) fn observe_limits(&mut self, now: Mono, all: &[StatedLimit], source: &str) {
        for stated in all {
            if let Some(change) = self.cluster.stated_limits.observe(now, stated) {
                self.log_limit_change(stated, change, source);
            }
        }
    }

    /// Forgets endpoints that are no longer listed, and updates the metric.
    pub(super) fn prune_limits(&mut self, now: Mono) {
        let listed = self.cluster.registry.iter();
        let listed: IndexSet<_> = listed
            .map(|known| EndpointTag::of(&known.listing.start))
            .collect();
        self.cluster
            .stated_limits
            .prune(now, |tag| listed.contains(&tag));
        let limited = self.cluster.stated_limits.in_force().len();
        self.metrics.statements.set_limited_endpoints(limited);
    }

    /// Name of an endpoint in logs: its tag if it is not listed.
    pub(super) fn endpoint_name(&self, endpoint: EndpointTag) -> String {
        let mut listed = self.cluster.registry.iter();
        let known = listed.find(|known| EndpointTag::of(&known.listing.start) == endpoint);
        known.map_or_else(
            || format!("{:08x}", endpoint.0),
            |known| known.listing.start.to_string(),
        )
    }

    fn log_limit_change(&self, stated: &StatedLimit, change: LimitChange, source: &str) {
        let endpoint = self.endpoint_name(stated.endpoint);
        let endpoint = endpoint.as_str();
        let age_ms = stated.age_ms;
        match change {
            LimitChange::Begun { per_s } => {
                log::info!(endpoint, per_s, source, age_ms; "endpoint states a limit");
            }
            LimitChange::Changed { before, per_s } => {
                log::info!(endpoint, before, per_s, source, age_ms; "endpoint changes its limit");
            }
            LimitChange::Ended { before } => {
                log::info!(endpoint, before, source, age_ms; "endpoint states no limit any more");
            }
        }
    }
}
