//! Follows which endpoint serves which shard.

use citronway_core::config::CompiledConfig;
use citronway_core::ids::{EndpointName, GroupName, ServiceName, ShardId, Version};
use citronway_core::shard::{Assignment, Ownership};
use indexmap::IndexMap;

use crate::metrics::ServiceReading;

type Shards<'a> = IndexMap<&'a EndpointName, u32>;

/// Last owner of each shard, to count moves.
#[derive(Debug, Default)]
pub struct Owners {
    by_service: IndexMap<ServiceName, Known>,
}

#[derive(Debug, Default)]
struct Known {
    version: Version,
    owners: IndexMap<ShardId, EndpointName>,
}

impl Owners {
    /// Takes an assignment; returns how many shards have another owner than the
    /// last one they had.
    pub fn moved(&mut self, version: Version, assignment: &Assignment) -> u64 {
        let service = assignment.service.clone();
        let known = self.by_service.entry(service).or_default();
        if version <= known.version {
            return 0;
        }
        known.version = version;
        let mut moved = 0;
        for (id, shard) in &assignment.shards {
            let Some(owner) = shard.server() else {
                continue;
            };
            let was = known.owners.insert(*id, owner.clone());
            moved += u64::from(was.is_some_and(|was| was != *owner));
        }
        known
            .owners
            .retain(|id, _| assignment.shards.contains_key(id));
        moved
    }
}

/// Reads how the shards of a service are spread.
pub fn service_reading(assignment: &Assignment, config: Option<&CompiledConfig>) -> ServiceReading {
    let mut reading = ServiceReading::default();
    let mut groups: IndexMap<&GroupName, Shards<'_>> = IndexMap::new();
    for shard in assignment.shards.values() {
        match &shard.ownership {
            Ownership::Unowned => reading.unowned += 1,
            Ownership::Moving { .. } => reading.moving += 1,
            Ownership::Owned { .. } => {}
        }
        let group = groups.entry(&shard.group).or_default();
        if let Some(owner) = shard.server() {
            *group.entry(owner).or_default() += 1;
        }
    }
    for (group, mut shards) in groups {
        add_idle(&mut shards, group, config);
        reading.imbalance = reading.imbalance.max(imbalance(&shards));
    }
    reading
}

/// Members that own nothing count as well, but for those that are to own nothing.
fn add_idle<'a>(shards: &mut Shards<'a>, group: &GroupName, config: Option<&'a CompiledConfig>) {
    let Some(config) = config else {
        return;
    };
    for member in config.members(group) {
        let drained = config
            .config()
            .endpoints
            .get(member)
            .is_some_and(|it| it.drain);
        if !drained {
            shards.entry(member).or_default();
        }
    }
}

/// Most shards of an endpoint over the mean; 0 if there are none.
fn imbalance(shards: &Shards<'_>) -> f64 {
    let most = shards.values().copied().max().unwrap_or_default();
    let all: u32 = shards.values().sum();
    if all == 0 {
        return 0.0;
    }
    f64::from(most) * shards.len() as f64 / f64::from(all)
}
