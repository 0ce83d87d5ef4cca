//! Reports to the planner and to operators.

use super::grants::ReleasedShard;
use super::health::Reach;
use super::machine::Dispatcher;
use super::message::{DispatchAction, Turn};
use crate::ids::EndpointName;
use crate::peer::{EndpointLoad, HotKey, KnownRequests, ShardLoad};
use crate::shard::KeyHash;
use crate::time::Wall;

/// Keys named in a load report.
const HOT_KEYS_REPORTED: usize = 8;

impl Dispatcher {
    /// The endpoint.
    #[must_use]
    pub const fn name(&self) -> &EndpointName {
        &self.name
    }

    /// Where the endpoint takes orders, and how many connections it takes.
    #[must_use]
    pub const fn address(&self) -> (std::net::SocketAddr, u32) {
        (self.endpoint.address, self.endpoint.connections)
    }

    /// Whether the endpoint can be reached.
    #[must_use]
    pub const fn reach(&self) -> Reach {
        self.health.reach()
    }

    /// Whether it takes no new work because it is leaving.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.is_draining()
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Slots in use, those of unresolved orders included.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.slots.used()
    }

    /// Slots that may be used at present.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.slots()
    }

    /// Ids created before this are not run unless they are known.
    #[must_use]
    pub const fn floor(&self) -> Wall {
        self.duplicates.floor()
    }

    /// Whether every request has its outcome and no order can act any more.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.slots.used() == 0
    }

    /// What is known of non-idempotent requests, for a successor. Requests that
    /// still wait were not sent, so nothing is known of them.
    #[must_use]
    pub fn export(&self) -> KnownRequests {
        let mut known = self.duplicates.export();
        known.requests.retain(|req| !self.queue.contains(req.id));
        known
    }

    /// Load since the last call, for the planner.
    pub fn take_load(&mut self) -> EndpointLoad {
        let begun = std::mem::take(&mut self.sent_by_shard);
        let mut requests = 0;
        let mut shards = Vec::with_capacity(begun.len());
        for (at, count) in begun {
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

    /// Reports what the planner waits for, again and again, since a report may
    /// be lost on its way.
    pub(super) fn report(&mut self, turn: Turn) {
        self.note_quiet(turn);
        if turn.now.mono < self.next_report {
            return;
        }
        self.next_report = turn.now.mono.plus(self.cfg.report_ms);
        let unreachable = self.health.reach() == Reach::Unreachable;
        if unreachable && self.quiet {
            // Shards that were assigned since the endpoint fell silent are told
            // free by this report as well, so they must be barred as well.
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

    /// Notes when nothing can act at a lost endpoint any more.
    fn note_quiet(&mut self, turn: Turn) {
        if self.quiet || self.health.reach() != Reach::Unreachable {
            return;
        }
        if self.grants.quiet_at(self.bounds()) > turn.now.wall {
            return;
        }
        self.quiet = true;
        self.next_report = turn.now.mono;
        // From the moment this is reported the planner may give the shards to
        // other endpoints. Were the endpoint to come back and be granted them
        // again meanwhile, they would have two owners; so they stay barred
        // until the assignment gives them a new epoch.
        self.release_idle_shards();
    }

    /// An endpoint that checks cannot commit what it still runs. One that does
    /// not check may: shards with such orders are waited for, one by one.
    fn release_idle_shards(&mut self) {
        let checks = self.endpoint.checks_orders;
        let slots = &self.slots;
        self.grants
            .release_idle(|part| !checks && slots.has_order_in(part));
    }
}
