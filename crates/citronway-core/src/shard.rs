//! Shards of a service: ranges of the hashed key space, and single hot keys.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{EndpointName, Epoch, GroupName, Key, ServiceName, Session, ShardId};
use crate::time::Wall;

/// Place of a key in the hashed key space. The hash is stable across versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes a key (XXH3, 64 bits, no seed).
    #[must_use]
    pub fn of(key: &Key) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(key.as_str().as_bytes()))
    }
}

/// A range of the hashed key space, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HashRange {
    /// First hash of the range.
    pub first: KeyHash,
    /// Last hash of the range.
    pub last: KeyHash,
}

/// Who serves a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Ownership {
    /// Nobody; the keys are not served.
    Unowned,
    /// The endpoint, and no other.
    Owned {
        /// Owner.
        owner: EndpointName,
    },
    /// Still the old owner until it has been revoked, then the new one.
    Moving {
        /// Owner until revoked.
        from: EndpointName,
        /// Owner afterwards, with the next epoch.
        to: EndpointName,
    },
}

/// One shard as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Number within the service.
    pub id: ShardId,
    /// Group whose endpoints divide it.
    pub group: GroupName,
    /// Part of the key space. A hot key's own shard has a range of one hash and
    /// goes before the range around it.
    pub range: HashRange,
    /// Grows with every change of owner.
    pub epoch: Epoch,
    /// Who serves it.
    pub ownership: Ownership,
    /// Ids created before this may have run under an earlier owner.
    pub floor: Wall,
}

/// Assignment of a service: the content of one stored row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Service it is for.
    pub service: ServiceName,
    /// Epoch of the planner that wrote it.
    pub planner_epoch: Epoch,
    /// Next shard number to give.
    pub next_shard: ShardId,
    /// Which group a key belongs to: the first part whose selector matches.
    ///
    /// Kept here and not taken from the configuration, because instances know
    /// different configurations for a moment; a key whose group changes is then
    /// released by its old owner before this list changes.
    pub partition: Vec<Part>,
    /// Shards by number. Ranges of a group cover the key space without overlap.
    pub shards: IndexMap<ShardId, Shard>,
    /// Shards of single hot keys, which go before the ranges.
    pub hot: Vec<HotShard>,
}

/// Shard of a single hot key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotShard {
    /// Group of the key.
    pub group: GroupName,
    /// Hash of the key.
    pub hash: KeyHash,
    /// Its shard.
    pub shard: ShardId,
}

/// Keys of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The group.
    pub group: GroupName,
    /// Selector over keys; absent means all.
    pub keys: Option<String>,
}

/// Dispatch row of an endpoint: who may send it work and who may take over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchRow {
    /// Endpoint it is for.
    pub endpoint: EndpointName,
    /// The only session that sends it work.
    pub dispatcher: Session,
    /// Grows with every change of dispatcher.
    pub epoch: Epoch,
    /// Sessions that may take over, besides the dispatcher.
    pub successors: Vec<Session>,
    /// Earlier members that may not know of it yet.
    pub former: Vec<Session>,
    /// Ids created before this may have been sent by an earlier dispatcher.
    pub floor: Wall,
}
