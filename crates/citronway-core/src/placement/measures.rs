//! Measures of placement: imbalance, churn and unavailable time.

use indexmap::{IndexMap, IndexSet};

use super::loads::Loads;
use super::members::Standing;
use super::plan::StandingGroup;
use super::ranges::{range_shards, share};
use crate::ids::{EndpointName, GroupName};
use crate::shard::{Assignment, Ownership, Shard};
use crate::time::Mono;

/// How unevenly load is spread over the endpoints of a group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Imbalance {
    /// Utilisation of the most utilised endpoint over the mean, less 1.
    pub peak: f64,
    /// Coefficient of variation of utilisation, weighted by capacity.
    pub variation: f64,
}

/// Imbalance of a group; zero for a group without load or capacity.
///
/// A moving shard counts for its next owner. Endpoints that take no shards, such
/// as lost ones, do not count.
#[must_use]
pub fn imbalance(assignment: &Assignment, group: &StandingGroup, loads: &Loads) -> Imbalance {
    let by_endpoint = load_by_endpoint(assignment, &group.group, loads);
    let mut load = 0.0;
    let mut capacity = 0.0;
    for member in taking(group) {
        load += of(&by_endpoint, &member.endpoint);
        capacity += member.capacity() as f64;
    }
    let mut imbalance = Imbalance {
        peak: 0.0,
        variation: 0.0,
    };
    if load == 0.0 || capacity == 0.0 {
        return imbalance;
    }
    let mean = load / capacity;
    for member in taking(group) {
        let share = member.capacity() as f64;
        if share == 0.0 {
            continue;
        }
        let relative = of(&by_endpoint, &member.endpoint) / share / mean - 1.0;
        imbalance.peak = imbalance.peak.max(relative);
        imbalance.variation += relative * relative * share / capacity;
    }
    imbalance.variation = imbalance.variation.sqrt();
    imbalance
}

fn taking(group: &StandingGroup) -> impl Iterator<Item = &Standing> {
    group
        .members
        .iter()
        .filter(|member| member.state.takes_shards())
}

fn load_by_endpoint<'a>(
    assignment: &'a Assignment,
    group: &GroupName,
    loads: &Loads,
) -> IndexMap<&'a EndpointName, u64> {
    let mut by_endpoint: IndexMap<&EndpointName, u64> = IndexMap::new();
    for shard in assignment.shards.values() {
        if shard.group != *group {
            continue;
        }
        let Some(owner) = next_owner(shard) else {
            continue;
        };
        *by_endpoint.entry(owner).or_default() += loads.of(shard.id);
    }
    by_endpoint
}

fn of(by_endpoint: &IndexMap<&EndpointName, u64>, endpoint: &EndpointName) -> f64 {
    by_endpoint.get(endpoint).copied().unwrap_or(0) as f64
}

/// How many keys changed owner between two assignments.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Churn {
    /// Share of the key space whose owner changed, as mean over the groups of
    /// the later assignment.
    pub keys: f64,
    /// Keys with their own shard, before or after, whose owner changed.
    pub hot_keys: u32,
}

/// Churn between two assignments; a key that had no owner does not count.
#[must_use]
pub fn churn(before: &Assignment, after: &Assignment) -> Churn {
    let mut churn = Churn {
        keys: 0.0,
        hot_keys: 0,
    };
    for part in &after.partition {
        churn.keys += group_churn(before, after, &part.group) / after.partition.len() as f64;
    }
    for hot in &after.hot {
        let old = before.shards.get(&hot.shard).and_then(next_owner);
        let new = after.shards.get(&hot.shard).and_then(next_owner);
        churn.hot_keys += u32::from(old.is_some() && old != new);
    }
    churn
}

fn group_churn(before: &Assignment, after: &Assignment, group: &GroupName) -> f64 {
    let old = range_shards(before, group);
    let new = range_shards(after, group);
    let (mut left, mut right) = (0, 0);
    let mut changed = 0.0;
    while let (Some(a), Some(b)) = (old.get(left), new.get(right)) {
        let first = a.range.first.max(b.range.first);
        let last = a.range.last.min(b.range.last);
        let owner = next_owner(a);
        if owner.is_some() && owner != next_owner(b) {
            changed += share(first, last);
        }
        left += usize::from(a.range.last <= last);
        right += usize::from(b.range.last <= last);
    }
    changed
}

/// Owner, or the one that the shard moves to.
fn next_owner(shard: &Shard) -> Option<&EndpointName> {
    match &shard.ownership {
        Ownership::Unowned => None,
        Ownership::Owned { owner } => Some(owner),
        Ownership::Moving { to, .. } => Some(to),
    }
}

/// Share of the key space that is not served: moving, without owner, or owned
/// by an endpoint that is down; as mean over the groups.
#[must_use]
pub fn unavailable(assignment: &Assignment, down: &IndexSet<EndpointName>) -> f64 {
    let mut sum = 0.0;
    for part in &assignment.partition {
        for shard in range_shards(assignment, &part.group) {
            let served = match &shard.ownership {
                Ownership::Owned { owner } => !down.contains(owner),
                Ownership::Unowned | Ownership::Moving { .. } => false,
            };
            if !served {
                sum += share(shard.range.first, shard.range.last);
            }
        }
    }
    if sum == 0.0 {
        return 0.0;
    }
    sum / assignment.partition.len() as f64
}

/// Sums unavailable time up over a run.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct UnavailableTime {
    since: Mono,
    share: f64,
    total_ms: f64,
}

impl UnavailableTime {
    /// From now on this share of the key space is not served.
    pub fn note(&mut self, share: f64, now: Mono) {
        self.total_ms += self.share * now.since(self.since) as f64;
        self.since = now;
        self.share = share;
    }

    /// Milliseconds for which a key was not served, as mean over all keys, up
    /// to the last note.
    #[must_use]
    pub const fn mean_ms(&self) -> f64 {
        self.total_ms
    }
}
