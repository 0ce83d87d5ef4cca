//! Which shards an endpoint has, from all assignments.

use crate::dispatch::{DispatchEvent, OwnedShard, ShardRef};
use crate::ids::EndpointName;
use crate::shard::Ownership;
use crate::time::Now;

use super::Node;
use super::events::Action;
use super::view::View;

impl View {
    /// Shards that the assignments give to an endpoint, or that it has to release.
    #[must_use]
    pub fn shards_of(&self, endpoint: &EndpointName) -> Vec<OwnedShard> {
        let mut owned = Vec::new();
        for (service, known) in self.assignments() {
            for shard in known.value.assignment.shards.values() {
                let moving = match &shard.ownership {
                    Ownership::Owned { owner } if owner == endpoint => false,
                    Ownership::Moving { from, .. } if from == endpoint => true,
                    _ => continue,
                };
                owned.push(OwnedShard {
                    at: ShardRef {
                        service: service.clone(),
                        shard: shard.id,
                    },
                    epoch: shard.epoch,
                    range: shard.range,
                    floor: shard.floor,
                    moving,
                });
            }
        }
        owned
    }
}

impl Node {
    /// Tells the endpoint's dispatcher which shards the endpoint has.
    pub(super) fn give_shards(&mut self, endpoint: &EndpointName, now: Now, out: &mut Vec<Action>) {
        let shards = self.view.shards_of(endpoint);
        self.tell_dispatcher(endpoint, DispatchEvent::SetShards { shards }, now, out);
    }

    /// The same for every endpoint.
    pub(super) fn give_all_shards(&mut self, now: Now, out: &mut Vec<Action>) {
        for endpoint in self.seats.endpoints() {
            self.give_shards(&endpoint, now, out);
        }
    }
}
