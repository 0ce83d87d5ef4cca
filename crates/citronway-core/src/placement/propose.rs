//! The next assignment, from the present one and all that is known.

use indexmap::{IndexMap, IndexSet};
use thiserror::Error;

use super::check::{Findings, check};
use super::loads::Loads;
use super::moves::{MoveError, apply, released_all};
use super::partition::{Releases, affected, release, swap};
use super::plan::{Cause, Limits, Move, Plan, PlanInput, StandingGroup, plan};
use super::wanted::Wanted;
use crate::ids::{EndpointName, Epoch, GroupName, ServiceName, ShardId};
use crate::peer::ShardReleased;
use crate::shard::{Assignment, Ownership};
use crate::time::Wall;

/// Why no next assignment can be made.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// A step does not fit; the plan and the assignment disagree.
    #[error(transparent)]
    Step(#[from] MoveError),
    /// The result would leave a key without shard, or with two.
    #[error(transparent)]
    Cover(#[from] Findings),
}

/// What a proposal depends on besides the present assignment.
#[derive(Debug, Clone, Copy)]
pub struct ProposeInput<'a> {
    /// What is wanted.
    pub wanted: &'a Wanted,
    /// Members of the wanted groups as they stand now.
    pub standing: &'a [StandingGroup],
    /// Measured loads.
    pub loads: &'a Loads,
    /// Releases reported by dispatchers.
    pub releases: &'a IndexMap<ShardId, ShardReleased>,
    /// Releases of shards that were not asked back: their dispatchers never
    /// grant them again under the present epochs.
    pub given_up: &'a IndexMap<ShardId, ShardReleased>,
    /// Shards that are not to be moved for balance.
    pub resting: &'a IndexSet<ShardId>,
    /// Bounds.
    pub limits: Limits,
    /// How long a move lately took, in milliseconds.
    pub move_ms: u64,
    /// Epoch of the planner.
    pub planner_epoch: Epoch,
    /// Floor for new owners.
    pub floor: Wall,
}

/// An assignment without any key.
#[must_use]
pub fn empty(service: &ServiceName) -> Assignment {
    Assignment {
        service: service.clone(),
        planner_epoch: Epoch(0),
        next_shard: ShardId(1),
        partition: Vec::new(),
        shards: IndexMap::new(),
        hot: Vec::new(),
    }
}

/// Makes the next assignment; it equals the present one if nothing has to change.
///
/// # Errors
///
/// A step does not fit, or the result does not cover each key once. The present
/// assignment then stands.
pub fn propose(present: &Assignment, input: &ProposeInput<'_>) -> Result<Assignment, ProposeError> {
    let changing = affected(present, &input.wanted.groups);
    let mut next = end_moves(present, input, &changing)?;
    next = ask_back(&next, input.given_up);
    let mut frozen = changing;
    if !frozen.is_empty() {
        next = release(&next, &frozen);
        let releases = epochs(input.releases);
        if let Ok(swapped) = swap(&next, &input.wanted.groups, &releases, input.floor) {
            next = swapped;
            frozen.clear();
        }
    }
    let groups = unfrozen(input.standing, &frozen);
    let plan = plan(&PlanInput {
        assignment: &next,
        groups: &groups,
        loads: input.loads,
        weights: input.wanted.weights,
        limits: input.limits,
        move_ms: input.move_ms,
        resting: input.resting,
    });
    next = apply(&next, &plan)?;
    if next == *present {
        return Ok(next);
    }
    check(&next)?;
    next.planner_epoch = input.planner_epoch;
    Ok(next)
}

/// Ends moves whose shards are released, except where the partition changes:
/// there the releases wait for the swap.
fn end_moves(
    present: &Assignment,
    input: &ProposeInput<'_>,
    changing: &IndexSet<GroupName>,
) -> Result<Assignment, MoveError> {
    let mut ended = Vec::new();
    for report in input.releases.values() {
        let Some(shard) = present.shards.get(&report.shard) else {
            continue;
        };
        let Ownership::Moving { to, .. } = &shard.ownership else {
            continue;
        };
        if shard.epoch != report.epoch || changing.contains(&shard.group) {
            continue;
        }
        // The next owner was lost or left in the meantime: the plan redirects
        // the move first. Where nobody else could take the shard, the old owner
        // gets it back under a new epoch, for when it returns.
        let group = group(input.standing, &shard.group);
        let redirected = group.is_some_and(takes_any) && !group.is_some_and(|it| takes(it, to));
        if redirected {
            continue;
        }
        ended.push(report);
    }
    let freed = released_all(present, ended.iter().copied(), input.floor)?;
    give_back(&freed, &ended)
}

/// Gives shards that were released without a next owner to their old one.
fn give_back(freed: &Assignment, ended: &[&ShardReleased]) -> Result<Assignment, MoveError> {
    let mut plan = Plan::default();
    for report in ended {
        if freed.shards[&report.shard].ownership != Ownership::Unowned {
            continue;
        }
        plan.moves.push(Move {
            shard: report.shard,
            from: None,
            to: report.from.clone(),
            cause: Cause::Unowned,
        });
    }
    apply(freed, &plan)
}

/// Failure: an endpoint is lost and its dispatcher gives its shards up, but no
/// planner hears of the loss before the endpoint is back; the dispatcher never
/// grants them again under their epochs, so their keys stay without service.
/// Guard: the release of a shard that does not move begins a move. It does not
/// end it: the dispatcher may have been replaced by one that knows nothing of
/// the release, and has to see the move first.
fn ask_back(present: &Assignment, given_up: &IndexMap<ShardId, ShardReleased>) -> Assignment {
    let mut next = present.clone();
    for report in given_up.values() {
        let Some(shard) = next.shards.get_mut(&report.shard) else {
            continue;
        };
        let owned = matches!(&shard.ownership, Ownership::Owned { owner } if *owner == report.from);
        if !owned || shard.epoch != report.epoch {
            continue;
        }
        shard.ownership = Ownership::Moving {
            from: report.from.clone(),
            to: report.from.clone(),
        };
    }
    next
}

fn group<'a>(groups: &'a [StandingGroup], name: &GroupName) -> Option<&'a StandingGroup> {
    groups.iter().find(|group| group.group == *name)
}

fn takes(group: &StandingGroup, endpoint: &EndpointName) -> bool {
    group
        .members
        .iter()
        .any(|member| member.endpoint == *endpoint && member.state.takes_shards())
}

fn takes_any(group: &StandingGroup) -> bool {
    group
        .members
        .iter()
        .any(|member| member.state.takes_shards())
}

fn epochs(releases: &IndexMap<ShardId, ShardReleased>) -> Releases {
    let mut epochs = Releases::new();
    for report in releases.values() {
        epochs.insert(report.shard, report.epoch);
    }
    epochs
}

fn unfrozen(groups: &[StandingGroup], frozen: &IndexSet<GroupName>) -> Vec<StandingGroup> {
    let mut unfrozen = Vec::new();
    for group in groups {
        if !frozen.contains(&group.group) {
            unfrozen.push(group.clone());
        }
    }
    unfrozen
}
