//! Measured loads of shards and hot keys, averaged over time.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::counts::{Counted, Counts, Span};
use super::ranges::range_around;
use crate::ids::{EndpointName, ServiceName, ShardId};
use crate::peer::EndpointLoad;
use crate::shard::{Assignment, HotShard, KeyHash};
use crate::time::Mono;

/// Load that a shard counts at least, in thousandths of a slot, so that shards
/// without traffic are spread too.
pub const BASE_LOAD: u64 = 10;

/// Shortest time between two reports that gives a rate, in milliseconds.
const SHORTEST_MS: u64 = 100;

/// A hot key that is not reported for this long has cooled, in milliseconds.
const HOT_KEPT_MS: u64 = 30_000;

/// Standard deviations that are taken off a load to be sure of it.
const SURE_DEVIATIONS: u64 = 3;

/// Load of a key that a dispatcher reported as hot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotLoad {
    /// Hash of the key.
    pub hash: KeyHash,
    /// Its load, in thousandths of a slot.
    pub load: u64,
    /// Variance of the load by the chance of arrivals, in square thousandths of
    /// a slot.
    pub variance: u64,
    /// When it was last reported.
    pub at: Mono,
}

impl HotLoad {
    /// Load that the key has at least, short of a chance of one in thousands,
    /// in thousandths of a slot.
    ///
    /// Failure: two requests of one key within a second look like a hot key;
    /// keys are split off and folded back all the time. Guard: a few requests
    /// leave the load unsure.
    #[must_use]
    pub fn sure_load(&self) -> u64 {
        let doubt = SURE_DEVIATIONS * self.variance.isqrt();
        self.load.saturating_sub(doubt)
    }
}

/// Loads known to a planner, in thousandths of a slot.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Loads {
    shards: Counts<ShardId>,
    hot: Counts<KeyHash>,
    reported: IndexMap<EndpointName, Mono>,
    /// Hot keys with their own shard, as last learnt.
    split: Vec<HotShard>,
}

impl Loads {
    /// Load of a shard, at least [`BASE_LOAD`].
    #[must_use]
    pub fn of(&self, shard: ShardId) -> u64 {
        let counted = self.shards.get(shard);
        BASE_LOAD + counted.map_or(0, |counted| counted.estimate.load())
    }

    /// Variance of the load of a shard by the chance of arrivals, in square
    /// thousandths of a slot.
    #[must_use]
    pub fn variance(&self, shard: ShardId) -> u64 {
        let counted = self.shards.get(shard);
        counted.map_or(0, |counted| counted.estimate.variance())
    }

    /// Load of a hot key; 0 if it was not reported lately.
    #[must_use]
    pub fn of_key(&self, hash: KeyHash) -> u64 {
        self.hot.get(hash).map_or(0, |key| key.estimate.load())
    }

    /// Hot keys, hottest first.
    #[must_use]
    pub fn hottest(&self) -> Vec<HotLoad> {
        let mut hot = Vec::new();
        for (hash, key) in self.hot.iter() {
            hot.push(HotLoad {
                hash: *hash,
                load: key.estimate.load(),
                variance: key.estimate.variance(),
                at: key.at,
            });
        }
        hot.sort_by_key(|hot| (std::cmp::Reverse(hot.load), hot.hash));
        hot
    }

    /// States the load of a shard outright.
    pub fn set(&mut self, shard: ShardId, load: u64) {
        self.shards.insert(shard, Counted::exact(load, Mono(0)));
    }

    /// States the load of a hot key outright.
    pub fn set_key(&mut self, hash: KeyHash, load: u64, at: Mono) {
        self.hot.insert(hash, Counted::exact(load, at));
    }

    /// Takes in a dispatcher's report.
    ///
    /// The report counts requests since the one before it, so the first report
    /// of an endpoint only starts the clock.
    pub fn report(&mut self, service: &ServiceName, load: &EndpointLoad, now: Mono) {
        let Some(last) = self.reported.insert(load.endpoint.clone(), now) else {
            return;
        };
        let span_ms = now.since(last);
        if span_ms < SHORTEST_MS {
            return;
        }
        let span = Span {
            endpoint: &load.endpoint,
            service_ms: load.service_ms,
            ms: span_ms,
            now,
        };
        let mut shards = IndexMap::new();
        for shard in &load.shards {
            if shard.service == *service {
                shards.insert(shard.shard, shard.requests);
            }
        }
        self.shards.count(span, &shards);
        let mut keys = IndexMap::new();
        for key in &load.hot {
            if key.service == *service {
                keys.insert(key.hash, key.requests);
            }
        }
        self.hot.count(span, &keys);
    }

    /// Takes in which shards there are.
    ///
    /// Failure: a hot key has got its own shard, and the range around it still
    /// counts the key's load until its average has forgotten it; other shards
    /// would move away from load that is not there. Guard: the key's load goes
    /// with it when it is split off, and back when it is folded.
    pub fn learn(&mut self, assignment: &Assignment) {
        for hot in &assignment.hot {
            if !self.split.contains(hot) {
                self.hand_over(assignment, hot);
            }
        }
        for hot in std::mem::take(&mut self.split) {
            if !assignment.hot.contains(&hot) {
                self.take_back(assignment, &hot);
            }
        }
        self.split.clone_from(&assignment.hot);
        let shards = &assignment.shards;
        self.shards.retain(|shard, _| shards.contains_key(shard));
    }

    /// Forgets hot keys that have cooled.
    pub fn expire(&mut self, now: Mono) {
        self.hot.retain(|_, hot| now.since(hot.at) < HOT_KEPT_MS);
    }

    fn hand_over(&mut self, assignment: &Assignment, hot: &HotShard) {
        let Some(key) = self.hot.get(hot.hash) else {
            return;
        };
        if self.shards.get(hot.shard).is_some() {
            return;
        }
        let Some(range) = range_around(assignment, &hot.group, hot.hash) else {
            return;
        };
        if let Some(counted) = self.shards.get_mut(range.id) {
            counted.estimate = counted.estimate.less(key.estimate);
        }
        let key = key.clone();
        self.shards.insert(hot.shard, key);
    }

    fn take_back(&mut self, assignment: &Assignment, hot: &HotShard) {
        let Some(range) = range_around(assignment, &hot.group, hot.hash) else {
            return;
        };
        let Some(key) = self.shards.remove(hot.shard) else {
            return;
        };
        if let Some(counted) = self.shards.get_mut(range.id) {
            counted.estimate = counted.estimate.plus(key.estimate);
        }
    }
}
