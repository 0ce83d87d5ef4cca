//! Ranges of the hashed key space.

use indexmap::IndexSet;

use crate::ids::{GroupName, ShardId};
use crate::shard::{Assignment, HashRange, KeyHash, Shard};

/// Hashes in the key space.
const KEY_SPACE: f64 = 18_446_744_073_709_551_616.0;

/// Share of the key space, from 0 to 1.
#[must_use]
pub fn share(first: KeyHash, last: KeyHash) -> f64 {
    ((last.0 - first.0) as f64 + 1.0) / KEY_SPACE
}

/// Cuts the key space into ranges of nearly equal width.
#[must_use]
pub fn cut(count: u32) -> Vec<HashRange> {
    let count = u128::from(count.max(1));
    let space = u128::from(u64::MAX) + 1;
    let mut ranges = Vec::new();
    for index in 0..count {
        ranges.push(HashRange {
            first: hash(space * index / count),
            last: hash(space * (index + 1) / count - 1),
        });
    }
    ranges
}

/// Shards of a group that are not of a single hot key, in the order of hashes.
#[must_use]
pub fn range_shards<'a>(assignment: &'a Assignment, group: &GroupName) -> Vec<&'a Shard> {
    let hot: IndexSet<ShardId> = assignment.hot.iter().map(|hot| hot.shard).collect();
    let mut shards = Vec::new();
    for shard in assignment.shards.values() {
        if shard.group == *group && !hot.contains(&shard.id) {
            shards.push(shard);
        }
    }
    shards.sort_by_key(|shard| shard.range.first);
    shards
}

/// The range shard of the group that holds the hash.
#[must_use]
pub fn range_around<'a>(
    assignment: &'a Assignment,
    group: &GroupName,
    hash: KeyHash,
) -> Option<&'a Shard> {
    for shard in assignment.shards.values() {
        if shard.group != *group || hash < shard.range.first || hash > shard.range.last {
            continue;
        }
        if assignment.hot.iter().any(|hot| hot.shard == shard.id) {
            continue;
        }
        return Some(shard);
    }
    None
}

fn hash(place: u128) -> KeyHash {
    KeyHash(u64::try_from(place).unwrap_or(u64::MAX))
}
