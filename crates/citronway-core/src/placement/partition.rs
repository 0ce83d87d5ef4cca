//! Change of the partition: keys go to other groups, groups come or go.
//!
//! All shards of the affected groups are released first; then one write swaps
//! the partition together with the shards, so that no key has an owner in its
//! old and in its new group at once.

use indexmap::{IndexMap, IndexSet};
use thiserror::Error;

use super::moves::change_owner;
use super::ranges::{cut, range_shards};
use super::wanted::{Member, WantedGroup};
use crate::ids::{EndpointName, Epoch, GroupName, ShardId};
use crate::shard::{Assignment, Ownership, Part, Shard};
use crate::time::Wall;

/// Why the partition cannot be swapped yet.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{} shards of affected groups are not released", .shards.len())]
pub struct NotReleased {
    /// Shards that still have an owner.
    pub shards: Vec<ShardId>,
}

/// Epochs under which shards were reported released.
pub type Releases = IndexMap<ShardId, Epoch>;

/// Groups whose keys or ranges would change.
///
/// A key belongs to the first part that matches it. Parts before the first
/// difference keep their keys; any later one may gain or lose some.
#[must_use]
pub fn affected(assignment: &Assignment, wanted: &[WantedGroup]) -> IndexSet<GroupName> {
    let same = same_prefix(&assignment.partition, wanted);
    let mut affected = IndexSet::new();
    for part in &assignment.partition[same..] {
        affected.insert(part.group.clone());
    }
    for group in &wanted[same..] {
        affected.insert(group.group.clone());
    }
    for group in &wanted[..same] {
        if !keeps_ranges(assignment, group) {
            affected.insert(group.group.clone());
        }
    }
    affected
}

/// Asks the owners of all shards of the affected groups to release them.
#[must_use]
pub fn release(assignment: &Assignment, affected: &IndexSet<GroupName>) -> Assignment {
    let mut next = assignment.clone();
    for shard in next.shards.values_mut() {
        if !affected.contains(&shard.group) {
            continue;
        }
        let Ownership::Owned { owner } = &shard.ownership else {
            continue;
        };
        shard.ownership = Ownership::Moving {
            from: owner.clone(),
            to: owner.clone(),
        };
    }
    next
}

/// Swaps partition and shards at once.
///
/// Shards of a group that stays keep their ranges and, where it is still a
/// member, their owner; all of them get a new epoch and the floor.
///
/// # Errors
///
/// Shards of affected groups that still have an owner.
pub fn swap(
    assignment: &Assignment,
    wanted: &[WantedGroup],
    releases: &Releases,
    floor: Wall,
) -> Result<Assignment, NotReleased> {
    let affected = affected(assignment, wanted);
    check_released(assignment, &affected, releases)?;
    let mut next = assignment.clone();
    next.partition = parts(wanted);
    next.shards
        .retain(|_, shard| !affected.contains(&shard.group));
    next.hot.retain(|hot| !affected.contains(&hot.group));
    for group in wanted {
        if !affected.contains(&group.group) {
            continue;
        }
        let old = range_shards(assignment, &group.group);
        if keeps_ranges(assignment, group) {
            keep_shards(&mut next, group, &old, floor);
        } else {
            cut_shards(&mut next, group, floor);
        }
    }
    Ok(next)
}

fn same_prefix(parts: &[Part], wanted: &[WantedGroup]) -> usize {
    let mut same = 0;
    for (part, group) in parts.iter().zip(wanted) {
        if part.group != group.group || part.keys != group.keys {
            break;
        }
        same += 1;
    }
    same
}

/// Failure: the partition is swapped while an old owner still serves; a key is
/// then owned in its old and in its new group. Guard: each shard of an affected
/// group must be nobody's, or moving and reported released under its present
/// epoch; its dispatcher then never grants it again under that epoch.
fn check_released(
    assignment: &Assignment,
    affected: &IndexSet<GroupName>,
    releases: &Releases,
) -> Result<(), NotReleased> {
    let mut held = Vec::new();
    for shard in assignment.shards.values() {
        if !affected.contains(&shard.group) {
            continue;
        }
        let released = match shard.ownership {
            Ownership::Unowned => true,
            Ownership::Owned { .. } => false,
            Ownership::Moving { .. } => releases.get(&shard.id) == Some(&shard.epoch),
        };
        if !released {
            held.push(shard.id);
        }
    }
    if held.is_empty() {
        return Ok(());
    }
    Err(NotReleased { shards: held })
}

fn keep_shards(next: &mut Assignment, group: &WantedGroup, old: &[&Shard], floor: Wall) {
    for shard in old {
        let mut kept = (*shard).clone();
        let ownership = match &shard.ownership {
            Ownership::Moving { to, .. } if takes_shards(&group.members, to) => {
                Ownership::Owned { owner: to.clone() }
            }
            Ownership::Unowned | Ownership::Owned { .. } | Ownership::Moving { .. } => {
                Ownership::Unowned
            }
        };
        change_owner(&mut kept, ownership, floor);
        next.shards.insert(kept.id, kept);
    }
}

fn cut_shards(next: &mut Assignment, group: &WantedGroup, floor: Wall) {
    for range in cut(group.shards) {
        let id = next.next_shard;
        next.next_shard = id.next();
        let shard = Shard {
            id,
            group: group.group.clone(),
            range,
            epoch: Epoch(0),
            ownership: Ownership::Unowned,
            floor,
        };
        next.shards.insert(id, shard);
    }
}

fn keeps_ranges(assignment: &Assignment, group: &WantedGroup) -> bool {
    range_shards(assignment, &group.group).len() == cut(group.shards).len()
}

fn takes_shards(members: &[Member], endpoint: &EndpointName) -> bool {
    members
        .iter()
        .any(|member| member.endpoint == *endpoint && member.state.takes_shards())
}

fn parts(wanted: &[WantedGroup]) -> Vec<Part> {
    let mut parts = Vec::with_capacity(wanted.len());
    for group in wanted {
        parts.push(Part {
            group: group.group.clone(),
            keys: group.keys.clone(),
        });
    }
    parts
}
