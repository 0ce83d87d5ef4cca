//! From the hash of a key to its shard.

use indexmap::{IndexMap, IndexSet};

use super::check::{Findings, check};
use crate::ids::{GroupName, ShardId};
use crate::shard::{Assignment, KeyHash};

/// Index over an assignment, made once for each version of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lookup {
    groups: IndexMap<GroupName, GroupIndex>,
}

/// Shards of one group.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct GroupIndex {
    /// Sorted by first hash; covers the key space without overlap.
    ranges: Vec<RangeEntry>,
    hot: IndexMap<KeyHash, ShardId>,
}

/// Where a range begins; it ends before the next entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RangeEntry {
    first: KeyHash,
    shard: ShardId,
}

impl Lookup {
    /// Prepares the index.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with the assignment; see [`check`].
    pub fn new(assignment: &Assignment) -> Result<Self, Findings> {
        check(assignment)?;
        let mut groups: IndexMap<GroupName, GroupIndex> = IndexMap::new();
        for part in &assignment.partition {
            groups.insert(part.group.clone(), GroupIndex::default());
        }
        let hot: IndexSet<ShardId> = assignment.hot.iter().map(|hot| hot.shard).collect();
        for shard in assignment.shards.values() {
            let index = groups.entry(shard.group.clone()).or_default();
            if hot.contains(&shard.id) {
                index.hot.insert(shard.range.first, shard.id);
                continue;
            }
            index.ranges.push(RangeEntry {
                first: shard.range.first,
                shard: shard.id,
            });
        }
        for index in groups.values_mut() {
            index.ranges.sort_unstable_by_key(|entry| entry.first);
        }
        Ok(Self { groups })
    }

    /// The shard of a key: its own if it is hot, else the range around it.
    ///
    /// `group` is the group of the first part of the partition whose selector
    /// matches the key. `None` if the assignment has no such group.
    #[must_use]
    pub fn shard(&self, group: &GroupName, hash: KeyHash) -> Option<ShardId> {
        let index = self.groups.get(group)?;
        if let Some(shard) = index.hot.get(&hash) {
            return Some(*shard);
        }
        index.range(hash)
    }

    /// The range around a hash, whether or not the key has a shard of its own.
    #[must_use]
    pub fn range_shard(&self, group: &GroupName, hash: KeyHash) -> Option<ShardId> {
        self.groups.get(group)?.range(hash)
    }
}

impl GroupIndex {
    fn range(&self, hash: KeyHash) -> Option<ShardId> {
        let after = self.ranges.partition_point(|entry| entry.first <= hash);
        let entry = self.ranges.get(after.checked_sub(1)?)?;
        Some(entry.shard)
    }
}
