//! How long moves take, and which shards moved lately.

use indexmap::{IndexMap, IndexSet};

use crate::ids::{EndpointName, ShardId};
use crate::shard::{Assignment, Ownership};
use crate::time::Mono;

/// Time a move is taken to need before one was measured, in milliseconds.
const FIRST_MOVE_MS: u64 = 1_000;

/// A new figure counts for one part in this many.
const SMOOTHING: u64 = 8;

/// Pace of moves, from the assignments as they are learnt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pace {
    move_ms: u64,
    owners: IndexMap<ShardId, EndpointName>,
    begun: IndexMap<ShardId, Mono>,
    moved: IndexMap<ShardId, Mono>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            move_ms: FIRST_MOVE_MS,
            owners: IndexMap::new(),
            begun: IndexMap::new(),
            moved: IndexMap::new(),
        }
    }
}

impl Pace {
    /// How long a move lately took, in milliseconds.
    #[must_use]
    pub const fn move_ms(&self) -> u64 {
        self.move_ms
    }

    /// Shards that moved within the last `rest_ms`.
    #[must_use]
    pub fn resting(&self, rest_ms: u64, now: Mono) -> IndexSet<ShardId> {
        let mut resting = IndexSet::new();
        for (shard, at) in &self.moved {
            if now.since(*at) < rest_ms {
                resting.insert(*shard);
            }
        }
        resting
    }

    /// Compares an assignment with the one before.
    pub fn learn(&mut self, assignment: &Assignment, now: Mono) {
        for shard in assignment.shards.values() {
            match &shard.ownership {
                Ownership::Unowned => {}
                Ownership::Moving { .. } => {
                    self.begun.entry(shard.id).or_insert(now);
                }
                Ownership::Owned { owner } => self.owned(shard.id, owner, now),
            }
        }
        let shards = &assignment.shards;
        self.owners.retain(|shard, _| shards.contains_key(shard));
        self.begun.retain(|shard, _| shards.contains_key(shard));
        self.moved.retain(|shard, _| shards.contains_key(shard));
    }

    fn owned(&mut self, shard: ShardId, owner: &EndpointName, now: Mono) {
        if let Some(begun) = self.begun.shift_remove(&shard) {
            let took = now.since(begun);
            self.move_ms = (self.move_ms * (SMOOTHING - 1) + took) / SMOOTHING;
        }
        let before = self.owners.get(&shard);
        if before == Some(owner) {
            return;
        }
        if before.is_some() {
            self.moved.insert(shard, now);
        }
        self.owners.insert(shard, owner.clone());
    }
}
