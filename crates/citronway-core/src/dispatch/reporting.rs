//! Reports to the planner, and state for operators.

use super::grants::ReleasedShard;
use super::health::Reach;
use super::machine::Dispatcher;
use super::message::{DispatchAction, Turn};
use crate::ids::EndpointName;
use crate::peer::{EndpointLoad, HotKey, KnownRequests, ShardLoad};
use crate::shard::KeyHash;
use crate::time::Wall;

/// Maximum number of keys in a load report.
const HOT_KEYS_REPORTED: usize = 8;

impl Dispatcher {
    /// Name of the endpoint.
    #[must_use]
    pub const fn name(&self) -> &EndpointName {
        &self.name
    }

    /// Address of the endpoint for orders, and its number of connections.
    #[must_use]
    pub const fn address(&self) -> (std::net::SocketAddr, u32) {
        (self.endpoint.address, self.endpoint.connections)
    }

    /// Whether the endpoint can be reached.
    #[must_use]
    pub const fn reach(&self) -> Reach {
        self.health.reach()
    }

    /// Whether the endpoint is draining and takes no new orders.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.is_draining()
    }

    /// Number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of slots in use, including those of unresolved orders.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.slots.used()
    }

    /// Number of slots that may be used now.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.slots()
    }

    /// Request ids created before this are not run unless they are known.
    #[must_use]
    pub const fn floor(&self) -> Wall {
        self.duplicates.floor()
    }

    /// Whether every request has its outcome and no order can act any more.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.slots.used() == 0
    }

    /// Known non-idempotent requests, for a successor. Requests that are still
    /// queued were not sent and are left out.
    #[must_use]
    pub fn export(&self) -> KnownRequests {
        let mut known = self.duplicates.export();
        known.requests.retain(|req| !self.queue.contains(req.id));
        known
    }

    /// Returns the load since the last call, for the planner, and resets it.
    pub fn take_load(&mut self) -> EndpointLoad {
        let sent_by_shard = std::mem::take(&mut self.sent_by_shard);
        let mut requests = 0;
        let mut shards = Vec::with_capacity(sent_by_shard.len());
        for (at, count) in sent_by_shard {
            requests += count;
            shards.push(ShardLoad {
                service: at.service,
                shard: at.shard,
                requests: count,
            });
        }
        let mut hot = Vec::new();
        for key in self.hot_keys.top(HOT_KEYS_REPORTED) {
            hot.push(HotKey {
                service: key.key.service.clone(),
                hash: KeyHash::of(&key.key.key),
                requests: key.at_least,
            });
        }
        self.hot_keys.clear();
        EndpointLoad {
            endpoint: self.name.clone(),
            requests,
            service_ms: self.service_times.mean_ms(),
            queued: self.queue.len() as u64,
            draining: self.is_draining(),
            hot,
            shards,
        }
    }

    /// Reports lost endpoints and released shards to the planner. Reports are
    /// repeated, since one may be lost.
    pub(super) fn report(&mut self, turn: Turn) {
        self.update_quiet(turn);
        if turn.now.mono < self.next_report {
            return;
        }
        self.next_report = turn.now.mono.plus(self.cfg.report_ms);
        let unreachable = self.health.reach() == Reach::Unreachable;
        if unreachable && self.quiet {
            // This report also releases shards that were assigned after the
            // endpoint stopped answering, so they must not be granted again.
            self.release_idle_shards();
        }
        if unreachable {
            let quiet = self.quiet;
            self.out.push(DispatchAction::EndpointLost { quiet });
        }
        let floor = self.duplicates.floor();
        for ReleasedShard { at, epoch, floor } in self.grants.released(!unreachable, floor) {
            self.out
                .push(DispatchAction::ShardReleased { at, epoch, floor });
        }
    }

    /// Sets `quiet` once no grant of a lost endpoint is live any more.
    fn update_quiet(&mut self, turn: Turn) {
        if self.quiet || self.health.reach() != Reach::Unreachable {
            return;
        }
        if self.grants.quiet_at(self.bounds()) > turn.now.wall {
            return;
        }
        self.quiet = true;
        self.next_report = turn.now.mono;
        // Once this is reported the planner may assign the shards to other
        // endpoints. If the endpoint came back and were granted them again
        // meanwhile, they would have two owners. So they are not granted again
        // until the assignment gives them a new epoch.
        self.release_idle_shards();
    }

    /// Releases the shards of a lost endpoint. An endpoint that checks orders
    /// cannot commit those it still runs. One that does not check can, so a shard
    /// with orders in flight is released only when they have ended.
    fn release_idle_shards(&mut self) {
        let checks = self.endpoint.checks_orders;
        let slots = &self.slots;
        self.grants
            .release_idle(|range| !checks && slots.has_order_in(range));
    }
}
