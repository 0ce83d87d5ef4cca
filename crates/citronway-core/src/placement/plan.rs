//! What should change in an assignment: capacity-bounded, with few moves.
//!
//! Three passes over the groups. Shards that have to go anywhere (no owner, the
//! owner leaves or is lost) go to the endpoint that is least utilised with them,
//! the heaviest first. Hot keys are split off or folded back. Then shards are
//! moved for balance, the best move first, while it gains more over the horizon
//! than it costs under the service's weights.
//!
//! The plan depends on nothing but its input, and not on the input's order of
//! members.

use std::cmp::Reverse;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::balance::{Balance, balance};
use super::burden::Burdens;
use super::keys::{Keys, fold_or_split};
use super::loads::Loads;
use super::members::Standing;
use super::tally::Tally;
use crate::config::Weights;
use crate::ids::{EndpointName, GroupName, ShardId};
use crate::shard::{Assignment, KeyHash, Ownership, Shard};

/// Why a shard moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Nobody owns it.
    Unowned,
    /// Its owner is lost.
    Lost,
    /// Its owner drains, or the labels do not put it into the group any more.
    Leaving,
    /// The endpoint it was moving to does not take shards any more.
    Redirected,
    /// Its hot key has cooled and goes back to the range around it.
    Cooled,
    /// Load is uneven.
    Balance,
}

/// One shard that gets another owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The shard.
    pub shard: ShardId,
    /// Present owner, if any.
    pub from: Option<EndpointName>,
    /// Next owner.
    pub to: EndpointName,
    /// Why.
    pub cause: Cause,
}

/// A hot key that gets its own shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    /// Group of the key.
    pub group: GroupName,
    /// Hash of the key.
    pub hash: KeyHash,
}

/// What should change.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Hot keys' shards to take back.
    pub folds: Vec<ShardId>,
    /// Hot keys to give their own shard.
    pub splits: Vec<Split>,
    /// Shards to move.
    pub moves: Vec<Move>,
}

impl Plan {
    /// Whether nothing should change.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.folds.is_empty() && self.splits.is_empty() && self.moves.is_empty()
    }
}

/// Bounds and expectations of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Most shards of the service in motion at once. Shards without owner and
    /// shards of lost endpoints do not count: they are not served anyway.
    pub max_moving: u32,
    /// Time over which a move has to pay, in milliseconds.
    pub horizon_ms: u64,
    /// Most hot keys of the service with their own shard.
    pub max_hot: u32,
    /// How long a lost endpoint's keys are without owner, in milliseconds.
    pub loss_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_moving: 16,
            horizon_ms: 600_000,
            max_hot: 64,
            loss_ms: 2_000,
        }
    }
}

/// A group with its members as they stand now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StandingGroup {
    /// Name.
    pub group: GroupName,
    /// Endpoints that the labels put into it.
    pub members: Vec<Standing>,
}

/// Everything that a plan depends on.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// Present assignment.
    pub assignment: &'a Assignment,
    /// Groups to plan for; shards of other groups are left alone.
    pub groups: &'a [StandingGroup],
    /// Measured loads.
    pub loads: &'a Loads,
    /// What the service weighs.
    pub weights: Weights,
    /// Bounds.
    pub limits: Limits,
    /// How long a move lately took, in milliseconds.
    pub move_ms: u64,
    /// Shards that moved lately and are not to be moved for balance.
    pub resting: &'a IndexSet<ShardId>,
}

/// Makes a plan.
#[must_use]
pub fn plan(input: &PlanInput<'_>) -> Plan {
    let mut plan = Plan::default();
    let mut budget = Budget::of(input);
    let by_group = shards_by_group(input);
    let mut tallies = Vec::with_capacity(input.groups.len());
    for group in input.groups {
        let mut tally = Tally::new(&group.members);
        let shards = by_group.get(&group.group).map_or(&[][..], Vec::as_slice);
        let burdens = Burdens::new(input.loads, &group.members);
        place(
            &Balance {
                input,
                shards,
                burdens,
            },
            &mut tally,
            &mut budget,
            &mut plan,
        );
        tallies.push(tally);
    }
    fold_or_split(
        &Keys {
            input,
            by_group: &by_group,
        },
        &mut tallies,
        &mut budget,
        &mut plan,
    );
    for (group, tally) in input.groups.iter().zip(&mut tallies) {
        let shards = by_group.get(&group.group).map_or(&[][..], Vec::as_slice);
        let burdens = Burdens::new(input.loads, &group.members);
        balance(
            &Balance {
                input,
                shards,
                burdens,
            },
            tally,
            &mut budget,
            &mut plan,
        );
    }
    plan
}

/// Moves that may still be begun.
#[derive(Debug, Clone, Copy)]
pub(super) struct Budget {
    left: u32,
}

impl Budget {
    fn of(input: &PlanInput<'_>) -> Self {
        let mut left = input.limits.max_moving;
        let lost = lost_members(input.groups);
        for shard in input.assignment.shards.values() {
            let Ownership::Moving { from, .. } = &shard.ownership else {
                continue;
            };
            if !lost.contains(from) {
                left = left.saturating_sub(1);
            }
        }
        Self { left }
    }

    /// Takes one move, if there is one left.
    pub(super) fn take(&mut self) -> bool {
        let taken = self.left > 0;
        self.left = self.left.saturating_sub(1);
        taken
    }

    pub(super) const fn is_spent(self) -> bool {
        self.left == 0
    }
}

fn lost_members(groups: &[StandingGroup]) -> IndexSet<&EndpointName> {
    let mut lost = IndexSet::new();
    for group in groups {
        for member in &group.members {
            if member.state == super::wanted::MemberState::Lost {
                lost.insert(&member.endpoint);
            }
        }
    }
    lost
}

/// Shards of each group, the heaviest first.
fn shards_by_group<'a>(input: &PlanInput<'a>) -> IndexMap<&'a GroupName, Vec<&'a Shard>> {
    let mut by_group: IndexMap<&GroupName, Vec<&Shard>> = IndexMap::new();
    for shard in input.assignment.shards.values() {
        by_group.entry(&shard.group).or_default().push(shard);
    }
    for shards in by_group.values_mut() {
        shards.sort_by_key(|shard| (Reverse(input.loads.of(shard.id)), shard.id));
    }
    by_group
}

/// Counts the shards that stay, then places those that cannot stay.
fn place(group: &Balance<'_>, tally: &mut Tally<'_>, budget: &mut Budget, plan: &mut Plan) {
    let input = group.input;
    let mut homeless = Vec::new();
    for shard in group.shards {
        let burden = group.burdens.of(shard);
        let holder = match &shard.ownership {
            Ownership::Unowned => None,
            Ownership::Owned { owner } => tally.seat(owner),
            Ownership::Moving { to, .. } => tally.seat(to),
        };
        let stays = holder.filter(|seat| tally.at(*seat).standing.state.takes_shards());
        let Some(seat) = stays else {
            homeless.push(*shard);
            continue;
        };
        tally.add(seat, burden);
        let owned = matches!(shard.ownership, Ownership::Owned { .. });
        if owned && !input.resting.contains(&shard.id) {
            tally.note_movable(seat, shard.id);
        }
    }
    for shard in homeless {
        let burden = group.burdens.of(shard);
        let Some(seat) = tally.best(burden.load) else {
            continue;
        };
        let to = tally.at(seat).standing.endpoint.clone();
        let Some(step) = forced(shard, to, tally, budget) else {
            continue;
        };
        tally.add(seat, burden);
        plan.moves.push(step);
    }
}

/// The move of a shard that cannot stay, or `None` if too many are in motion.
fn forced(shard: &Shard, to: EndpointName, tally: &Tally<'_>, budget: &mut Budget) -> Option<Move> {
    let (from, cause) = match &shard.ownership {
        Ownership::Unowned => (None, Cause::Unowned),
        Ownership::Moving { from, .. } => (Some(from), Cause::Redirected),
        Ownership::Owned { owner } if is_lost(tally, owner) => (Some(owner), Cause::Lost),
        Ownership::Owned { owner } => {
            if !budget.take() {
                return None;
            }
            (Some(owner), Cause::Leaving)
        }
    };
    Some(Move {
        shard: shard.id,
        from: from.cloned(),
        to,
        cause,
    })
}

fn is_lost(tally: &Tally<'_>, endpoint: &EndpointName) -> bool {
    tally
        .seat(endpoint)
        .is_some_and(|seat| tally.at(seat).standing.state == super::wanted::MemberState::Lost)
}
