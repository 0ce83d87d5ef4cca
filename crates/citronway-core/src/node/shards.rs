//! Which shards an endpoint has, from all assignments.

use indexmap::IndexMap;

use crate::dispatch::{DispatchEvent, OwnedShard, ShardRef};
use crate::ids::{EndpointName, ServiceName};
use crate::shard::{Ownership, Shard};
use crate::time::Now;

use super::Node;
use super::events::Action;
use super::view::View;

impl View {
    /// Shards that the assignments give to an endpoint, or that it has to release.
    #[must_use]
    pub fn shards_of(&self, endpoint: &EndpointName) -> Vec<OwnedShard> {
        let mut owned = Vec::new();
        for (service, shard) in self.shards() {
            if shard.server() == Some(endpoint) {
                owned.push(owned_shard(service, shard));
            }
        }
        owned
    }

    /// The same for several endpoints, in one pass over the assignments.
    fn shards_of_each(
        &self,
        endpoints: &[EndpointName],
    ) -> IndexMap<EndpointName, Vec<OwnedShard>> {
        let mut owned: IndexMap<_, _> = endpoints
            .iter()
            .map(|endpoint| (endpoint.clone(), Vec::new()))
            .collect();
        for (service, shard) in self.shards() {
            let Some(shards) = shard.server().and_then(|server| owned.get_mut(server)) else {
                continue;
            };
            shards.push(owned_shard(service, shard));
        }
        owned
    }

    fn shards(&self) -> impl Iterator<Item = (&ServiceName, &Shard)> {
        self.assignments().iter().flat_map(|(service, known)| {
            let shards = known.value.assignment.shards.values();
            shards.map(move |shard| (service, shard))
        })
    }
}

fn owned_shard(service: &ServiceName, shard: &Shard) -> OwnedShard {
    OwnedShard {
        at: ShardRef {
            service: service.clone(),
            shard: shard.id,
        },
        epoch: shard.epoch,
        range: shard.range,
        floor: shard.floor,
        moving: matches!(shard.ownership, Ownership::Moving { .. }),
    }
}

impl Node {
    /// Tells the endpoint's dispatcher which shards the endpoint has.
    pub(super) fn give_shards(&mut self, endpoint: &EndpointName, now: Now, out: &mut Vec<Action>) {
        let shards = self.view.shards_of(endpoint);
        self.tell_dispatcher(endpoint, DispatchEvent::SetShards { shards }, now, out);
    }

    /// The same for every endpoint that is dispatched here.
    ///
    /// The assignments are gone through once, however many endpoints there are.
    pub(super) fn give_all_shards(&mut self, now: Now, out: &mut Vec<Action>) {
        let dispatched = self.seats.dispatched();
        for (endpoint, shards) in self.view.shards_of_each(&dispatched) {
            self.tell_dispatcher(&endpoint, DispatchEvent::SetShards { shards }, now, out);
        }
    }
}
