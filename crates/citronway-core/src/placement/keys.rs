//! Which hot keys get their own shard, and which lose it again.

use indexmap::{IndexMap, IndexSet};

use super::burden::Burden;
use super::plan::{Budget, Cause, Move, Plan, PlanInput, Split};
use super::ranges::range_around;
use super::tally::Tally;
use crate::ids::{GroupName, ShardId};
use crate::shard::{HotShard, Ownership, Shard};

/// Least load of a key with its own shard, in thousandths of a slot.
pub const LEAST_HOT: u64 = 200;

/// A key is hot from this part of an endpoint's mean load.
const HOT_PART: u64 = 4;

/// A hot key has cooled below this part of the load that made it hot, so that
/// a key near the threshold is not split off and folded back in turn.
const COOLED_PART: u64 = 4;

/// What the decision depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Keys<'a> {
    /// Input of the plan.
    pub(super) input: &'a PlanInput<'a>,
    /// Shards of each group.
    pub(super) by_group: &'a IndexMap<&'a GroupName, Vec<&'a Shard>>,
}

/// Folds cooled keys back and splits hot ones off.
pub(super) fn fold_or_split(
    keys: &Keys<'_>,
    tallies: &mut [Tally<'_>],
    budget: &mut Budget,
    plan: &mut Plan,
) {
    let moved: IndexSet<ShardId> = plan.moves.iter().map(|step| step.shard).collect();
    for (group, tally) in keys.input.groups.iter().zip(tallies) {
        let threshold = threshold(keys, &group.group, tally);
        for hot in &keys.input.assignment.hot {
            if hot.group != group.group || moved.contains(&hot.shard) {
                continue;
            }
            fold(keys, hot, threshold / COOLED_PART, tally, budget, plan);
        }
        split(keys, &group.group, threshold, &moved, tally, plan);
    }
}

fn threshold(keys: &Keys<'_>, group: &GroupName, tally: &Tally<'_>) -> u64 {
    let members = tally.taking_members().max(1);
    let mut whole = 0;
    for shard in keys.by_group.get(group).into_iter().flatten() {
        whole += keys.input.loads.of(shard.id);
    }
    (whole / members / HOT_PART).max(LEAST_HOT)
}

fn fold(
    keys: &Keys<'_>,
    hot: &HotShard,
    cooled: u64,
    tally: &mut Tally<'_>,
    budget: &mut Budget,
    plan: &mut Plan,
) {
    let input = keys.input;
    let load = input.loads.of(hot.shard);
    if load.max(input.loads.of_key(hot.hash)) >= cooled {
        return;
    }
    let range = range_around(input.assignment, &hot.group, hot.hash);
    let own = input.assignment.shards.get(&hot.shard);
    let (Some(range), Some(own)) = (range, own) else {
        return;
    };
    let (Ownership::Owned { owner: to }, Ownership::Owned { owner: from }) =
        (&range.ownership, &own.ownership)
    else {
        return;
    };
    let (Some(seat), Some(to_seat)) = (tally.seat(from), tally.seat(to)) else {
        return;
    };
    if plan.moves.iter().any(|step| step.shard == range.id) {
        return;
    }
    if from == to {
        plan.folds.push(hot.shard);
        tally.drop_movable(seat, hot.shard);
        tally.drop_movable(seat, range.id);
        return;
    }
    // The range waits for its key, or the key would go after it for ever.
    tally.drop_movable(to_seat, range.id);
    if input.resting.contains(&hot.shard) || !budget.take() {
        return;
    }
    let burden = Burden::measured(input.loads, hot.shard);
    plan.moves.push(Move {
        shard: hot.shard,
        from: Some(from.clone()),
        to: to.clone(),
        cause: Cause::Cooled,
    });
    tally.drop_movable(seat, hot.shard);
    tally.take(seat, burden);
    tally.add(to_seat, burden);
}

fn split(
    keys: &Keys<'_>,
    group: &GroupName,
    threshold: u64,
    moved: &IndexSet<ShardId>,
    tally: &mut Tally<'_>,
    plan: &mut Plan,
) {
    let input = keys.input;
    let mut free = room(input, plan);
    for hot in input.loads.hottest() {
        if free == 0 || hot.load < threshold {
            return;
        }
        if hot.sure_load() < threshold {
            continue;
        }
        if is_split(&input.assignment.hot, group, hot.hash) {
            continue;
        }
        let Some(range) = range_around(input.assignment, group, hot.hash) else {
            continue;
        };
        // A report names no group; the key is in this one if its load is.
        if input.loads.of(range.id) < hot.load / 2 || moved.contains(&range.id) {
            continue;
        }
        let Ownership::Owned { owner } = &range.ownership else {
            continue;
        };
        let Some(seat) = tally.seat(owner) else {
            continue;
        };
        // Its load counts for the range until the split stands.
        tally.drop_movable(seat, range.id);
        plan.splits.push(Split {
            group: group.clone(),
            hash: hot.hash,
        });
        free -= 1;
    }
}

fn room(input: &PlanInput<'_>, plan: &Plan) -> usize {
    let most = usize::try_from(input.limits.max_hot).unwrap_or(usize::MAX);
    most.saturating_sub(input.assignment.hot.len() + plan.splits.len())
}

fn is_split(hot: &[HotShard], group: &GroupName, hash: crate::shard::KeyHash) -> bool {
    hot.iter()
        .any(|other| other.group == *group && other.hash == hash)
}
