//! Measured loads of shards and hot keys, smoothed.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{EndpointName, ServiceName, ShardId};
use crate::peer::EndpointLoad;
use crate::shard::KeyHash;
use crate::time::Mono;

/// Load that a shard counts at least, in thousandths of a slot, so that shards
/// without traffic are spread too.
pub const BASE_LOAD: u64 = 10;

/// A new figure counts for one part in this many; the rest is the old figure.
const SMOOTHING: u64 = 4;

/// Shortest time between two reports that gives a rate, in milliseconds.
const SHORTEST_MS: u64 = 100;

/// A hot key that is not reported for this long has cooled, in milliseconds.
const HOT_KEPT_MS: u64 = 30_000;

/// Load of a key that a dispatcher reported as hot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotLoad {
    /// Hash of the key.
    pub hash: KeyHash,
    /// Its load, in thousandths of a slot.
    pub load: u64,
    /// When it was last reported.
    pub at: Mono,
}

/// Loads known to a planner, in thousandths of a slot.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Loads {
    shards: IndexMap<ShardId, u64>,
    hot: IndexMap<KeyHash, HotLoad>,
    reported: IndexMap<EndpointName, Mono>,
}

impl Loads {
    /// Load of a shard, at least [`BASE_LOAD`].
    #[must_use]
    pub fn of(&self, shard: ShardId) -> u64 {
        BASE_LOAD + self.shards.get(&shard).copied().unwrap_or(0)
    }

    /// Load of a hot key; 0 if it was not reported lately.
    #[must_use]
    pub fn of_key(&self, hash: KeyHash) -> u64 {
        self.hot.get(&hash).map_or(0, |hot| hot.load)
    }

    /// Hot keys, hottest first.
    #[must_use]
    pub fn hottest(&self) -> Vec<HotLoad> {
        let mut hot: Vec<HotLoad> = self.hot.values().copied().collect();
        hot.sort_by_key(|hot| (std::cmp::Reverse(hot.load), hot.hash));
        hot
    }

    /// States the load of a shard outright.
    pub fn set(&mut self, shard: ShardId, load: u64) {
        self.shards.insert(shard, load);
    }

    /// States the load of a hot key outright.
    pub fn set_key(&mut self, hash: KeyHash, load: u64, at: Mono) {
        self.hot.insert(hash, HotLoad { hash, load, at });
    }

    /// Takes in a dispatcher's report.
    ///
    /// The report counts requests since the one before it, so the first report
    /// of an endpoint only starts the clock.
    pub fn report(&mut self, service: &ServiceName, load: &EndpointLoad, now: Mono) {
        let Some(last) = self.reported.insert(load.endpoint.clone(), now) else {
            return;
        };
        let elapsed = now.since(last);
        if elapsed < SHORTEST_MS {
            return;
        }
        for shard in &load.shards {
            if shard.service != *service {
                continue;
            }
            let busy = busy(shard.requests, load.service_ms, elapsed);
            let old = self.shards.get(&shard.shard).copied().unwrap_or(busy);
            self.shards.insert(shard.shard, smoothed(old, busy));
        }
        for key in &load.hot {
            if key.service != *service {
                continue;
            }
            let busy = busy(key.requests, load.service_ms, elapsed);
            let old = self.hot.get(&key.hash).map_or(busy, |hot| hot.load);
            self.set_key(key.hash, smoothed(old, busy), now);
        }
    }

    /// Forgets hot keys that have cooled.
    pub fn expire(&mut self, now: Mono) {
        self.hot.retain(|_, hot| now.since(hot.at) < HOT_KEPT_MS);
    }
}

/// Thousandths of a slot that requests keep busy.
fn busy(requests: u64, service_ms: u64, elapsed_ms: u64) -> u64 {
    requests.saturating_mul(service_ms).saturating_mul(1000) / elapsed_ms
}

fn smoothed(old: u64, new: u64) -> u64 {
    (old.saturating_mul(SMOOTHING - 1).saturating_add(new)) / SMOOTHING
}
