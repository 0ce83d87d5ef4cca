//! Hot keys: a shard of their own, and back into the range around them.

use thiserror::Error;

use super::ranges::range_around;
use crate::ids::{GroupName, ShardId};
use crate::shard::{Assignment, HashRange, HotShard, KeyHash, Ownership, Shard};

/// Why a hot key cannot be split off or folded back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HotError {
    /// No range of the group holds the hash.
    #[error("no range holds hash {hash:#x}", hash = .hash.0)]
    NoRange {
        /// Hash of the key.
        hash: KeyHash,
    },
    /// The key has a shard of its own already.
    #[error("hash {hash:#x} has a shard of its own", hash = .hash.0)]
    AlreadySplit {
        /// Hash of the key.
        hash: KeyHash,
    },
    /// The shard is not a hot key's.
    #[error("shard {shard} is not of a hot key")]
    NotHot {
        /// The shard.
        shard: ShardId,
    },
    /// The hot key and the range around it are not owned by the same endpoint, or one moves.
    #[error("shard {shard} and the range around it are not owned by one endpoint")]
    OwnersDiffer {
        /// The hot key's shard.
        shard: ShardId,
    },
}

/// Gives a hot key its own shard, with the owner of the range around it.
///
/// The owner does not change, so nothing has to be released.
///
/// # Errors
///
/// No owned range holds the hash, or the key is split off already.
pub fn split(
    assignment: &Assignment,
    group: &GroupName,
    hash: KeyHash,
) -> Result<Assignment, HotError> {
    let taken = assignment
        .hot
        .iter()
        .any(|hot| hot.group == *group && hot.hash == hash);
    if taken {
        return Err(HotError::AlreadySplit { hash });
    }
    let range = range_around(assignment, group, hash).ok_or(HotError::NoRange { hash })?;
    let Ownership::Owned { .. } = range.ownership else {
        return Err(HotError::NoRange { hash });
    };
    let id = assignment.next_shard;
    let shard = Shard {
        id,
        group: group.clone(),
        range: HashRange {
            first: hash,
            last: hash,
        },
        epoch: range.epoch,
        ownership: range.ownership.clone(),
        floor: range.floor,
    };
    let mut next = assignment.clone();
    next.shards.insert(id, shard);
    next.next_shard = id.next();
    next.hot.push(HotShard {
        group: group.clone(),
        hash,
        shard: id,
    });
    Ok(next)
}

/// Takes a hot key's shard back into the range around it.
///
/// # Errors
///
/// It is not a hot key's shard, or the two do not have the same owner.
pub fn fold(assignment: &Assignment, shard: ShardId) -> Result<Assignment, HotError> {
    let not_hot = HotError::NotHot { shard };
    let hot = assignment
        .hot
        .iter()
        .find(|hot| hot.shard == shard)
        .ok_or(not_hot)?;
    let own = assignment.shards.get(&shard).ok_or(not_hot)?;
    let hash = hot.hash;
    let range = range_around(assignment, &hot.group, hash).ok_or(HotError::NoRange { hash })?;
    let same_owner = matches!(
        (&own.ownership, &range.ownership),
        (Ownership::Owned { owner: a }, Ownership::Owned { owner: b }) if a == b
    );
    if !same_owner {
        return Err(HotError::OwnersDiffer { shard });
    }
    let range_id = range.id;
    let floor = own.floor;
    let mut next = assignment.clone();
    next.shards.shift_remove(&shard);
    next.hot.retain(|other| other.shard != shard);
    if let Some(range) = next.shards.get_mut(&range_id) {
        // Failure: the key ran on another endpoint while it was split off; a
        // retry of a request from then would find the range's older floor and
        // run twice. Guard: the range takes over the later floor.
        range.floor = range.floor.max(floor);
    }
    Ok(next)
}
