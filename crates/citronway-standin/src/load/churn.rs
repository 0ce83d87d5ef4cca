//! How keys are spread over endpoints, and how many change owner.

use citronway_core::ids::EndpointName;
use citronway_core::shard::{Assignment, Ownership, Shard};
use indexmap::IndexMap;

/// Part of the shards whose owner or epoch differs between two times.
#[must_use]
pub fn moved(before: &[Assignment], after: &[Assignment]) -> f64 {
    let (mut all, mut moved) = (0_u32, 0_u32);
    for assignment in after {
        let same_service = |earlier: &&Assignment| earlier.service == assignment.service;
        let Some(earlier) = before.iter().find(same_service) else {
            continue;
        };
        for (id, shard) in &assignment.shards {
            all += 1;
            let unchanged = earlier
                .shards
                .get(id)
                .is_some_and(|old| old.epoch == shard.epoch);
            moved += u32::from(!unchanged);
        }
    }
    f64::from(moved) / f64::from(all.max(1))
}

/// Most shards of an endpoint as a multiple of the mean, the worst service.
#[must_use]
pub fn imbalance(assignments: &[Assignment]) -> f64 {
    let mut worst = 0.0_f64;
    for assignment in assignments {
        let mut owned: IndexMap<&EndpointName, u32> = IndexMap::new();
        for shard in assignment.shards.values() {
            let Some(owner) = owner(shard) else {
                continue;
            };
            *owned.entry(owner).or_default() += 1;
        }
        let counts = owned.values().map(|count| f64::from(*count));
        worst = worst.max(max_over_mean(counts));
    }
    worst
}

/// The greatest number as a multiple of the mean; 0 without numbers.
pub fn max_over_mean(numbers: impl Iterator<Item = f64> + Clone) -> f64 {
    let count = numbers.clone().count();
    let sum: f64 = numbers.clone().sum();
    if sum == 0.0 {
        return 0.0;
    }
    numbers.fold(0.0, f64::max) * count as f64 / sum
}

const fn owner(shard: &Shard) -> Option<&EndpointName> {
    match &shard.ownership {
        Ownership::Owned { owner } => Some(owner),
        Ownership::Moving { from, .. } => Some(from),
        Ownership::Unowned => None,
    }
}
