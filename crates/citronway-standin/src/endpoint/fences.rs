//! What an endpoint that checks holds against an order.

use citronway_core::ids::{Epoch, ServiceName, ShardId};
use citronway_core::node::events::{Grant, GrantedShard, RefusedReason};
use citronway_core::shard::{HashRange, KeyHash};
use citronway_core::time::Wall;
use indexmap::IndexMap;

use super::order::Order;

/// Grants and epochs that an endpoint knows. A restart forgets them.
#[derive(Debug, Default)]
pub struct Fences {
    dispatch_epoch: Epoch,
    shards: IndexMap<ShardName, Held>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ShardName {
    service: ServiceName,
    shard: ShardId,
}

#[derive(Debug)]
struct Held {
    epoch: Epoch,
    end: Wall,
    range: HashRange,
    revoked: bool,
}

impl Fences {
    /// Takes a grant or renewal; true if it knows a higher epoch.
    pub fn grant(&mut self, grant: &Grant) -> bool {
        if self.is_stale(grant) {
            return true;
        }
        let mut stale = false;
        for granted in &grant.shards {
            stale |= self.grant_shard(granted, grant.end);
        }
        stale
    }

    /// Ends epochs of shards for good; true if it knows a higher epoch.
    pub fn revoke(&mut self, grant: &Grant) -> bool {
        if self.is_stale(grant) {
            return true;
        }
        let mut stale = false;
        for granted in &grant.shards {
            stale |= self.revoke_shard(granted);
        }
        stale
    }

    /// Says why an order must not run now, if so.
    #[must_use]
    pub fn refusal(&self, order: &Order, now: Wall) -> Option<RefusedReason> {
        if order.dispatch_epoch < self.dispatch_epoch {
            return Some(RefusedReason::StaleEpoch);
        }
        let name = ShardName {
            service: order.service.clone(),
            shard: order.shard,
        };
        let Some(held) = self.shards.get(&name) else {
            return Some(RefusedReason::NoGrant);
        };
        if order.shard_epoch < held.epoch || (order.shard_epoch == held.epoch && held.revoked) {
            return Some(RefusedReason::StaleEpoch);
        }
        let hash = KeyHash::of(&order.key);
        let in_range = held.range.first <= hash && hash <= held.range.last;
        if order.shard_epoch > held.epoch || !in_range || held.end <= now {
            return Some(RefusedReason::NoGrant);
        }
        None
    }

    fn is_stale(&mut self, grant: &Grant) -> bool {
        if grant.dispatch_epoch < self.dispatch_epoch {
            return true;
        }
        self.dispatch_epoch = grant.dispatch_epoch;
        false
    }

    fn grant_shard(&mut self, granted: &GrantedShard, end: Wall) -> bool {
        let held = self.shards.entry(name(granted)).or_insert(Held {
            epoch: granted.epoch,
            end,
            range: granted.range,
            revoked: false,
        });
        if granted.epoch < held.epoch || (granted.epoch == held.epoch && held.revoked) {
            return true;
        }
        if granted.epoch == held.epoch {
            // A renewal that was overtaken by a later one must not shorten it.
            held.end = held.end.max(end);
            return false;
        }
        *held = Held {
            epoch: granted.epoch,
            end,
            range: granted.range,
            revoked: false,
        };
        false
    }

    fn revoke_shard(&mut self, granted: &GrantedShard) -> bool {
        let held = self.shards.entry(name(granted)).or_insert(Held {
            epoch: granted.epoch,
            end: Wall::default(),
            range: granted.range,
            revoked: true,
        });
        if granted.epoch < held.epoch {
            return true;
        }
        // Kept and not removed: a grant of this epoch that is still on its way
        // must not revive it.
        held.epoch = granted.epoch;
        held.revoked = true;
        false
    }
}

fn name(granted: &GrantedShard) -> ShardName {
    ShardName {
        service: granted.service.clone(),
        shard: granted.shard,
    }
}
