//! What the endpoints' runs, taken together, say about the promises.

use citronway_core::ids::{EndpointName, Epoch, Key, RequestId, ServiceName, ShardId};
use citronway_core::request::Repeat;
use citronway_core::time::Wall;
use indexmap::{IndexMap, IndexSet};

use crate::endpoint::Run;

/// Runs that broke a promise.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Non-idempotent requests that ran more than once, anywhere.
    pub ran_twice: Vec<RequestId>,
    /// Runs of a key that began at one endpoint before an earlier owner was done.
    pub overlaps: Vec<Overlap>,
    /// Requests that ran at all.
    pub ran: IndexSet<RequestId>,
}

/// Two endpoints worked on one key at the same time, or in the wrong order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Overlap {
    /// Service.
    pub service: ServiceName,
    /// Key.
    pub key: Key,
    /// Endpoint whose run began first.
    pub first: EndpointName,
    /// Endpoint whose run began before the first was done, or under a lower epoch.
    pub second: EndpointName,
    /// Shard that the first run was for.
    pub first_shard: ShardId,
    /// Shard that the second run was for.
    pub second_shard: ShardId,
    /// When the second run began.
    pub at: Wall,
}

/// What is known of a key so far.
#[derive(Debug)]
struct LastRun<'a> {
    run: &'a Run,
    end: Wall,
    epoch: Epoch,
}

impl Evidence {
    /// Weighs the runs of all endpoints.
    #[must_use]
    pub fn weigh(runs: &[Run]) -> Self {
        let mut evidence = Self::default();
        let mut in_order = runs.iter().collect::<Vec<_>>();
        in_order.sort_by_key(|run| run.start);
        let mut last_runs = IndexMap::new();
        for run in in_order {
            let first_time = evidence.ran.insert(run.id);
            if !first_time && run.repeat == Repeat::NonIdempotent {
                evidence.ran_twice.push(run.id);
            }
            evidence.overlaps.extend(follow(&mut last_runs, run));
        }
        evidence
    }
}

/// Compares a run with the earlier ones of its key and takes note of it.
fn follow<'a>(
    last_runs: &mut IndexMap<(&'a ServiceName, &'a Key), LastRun<'a>>,
    run: &'a Run,
) -> Option<Overlap> {
    let fresh = LastRun {
        run,
        end: run.end,
        epoch: run.shard_epoch,
    };
    let Some(last) = last_runs.get_mut(&(&run.service, &run.key)) else {
        last_runs.insert((&run.service, &run.key), fresh);
        return None;
    };
    if last.run.endpoint == run.endpoint {
        last.end = last.end.max(run.end);
        last.epoch = last.epoch.max(run.shard_epoch);
        return None;
    }
    // Epochs of different shards do not compare: a hot key gets a shard of its own.
    let backwards = run.shard == last.run.shard && run.shard_epoch < last.epoch;
    let overlaps = run.start < last.end || backwards;
    let overlap = overlaps.then(|| Overlap {
        service: run.service.clone(),
        key: run.key.clone(),
        first: last.run.endpoint.clone(),
        second: run.endpoint.clone(),
        first_shard: last.run.shard,
        second_shard: run.shard,
        at: run.start,
    });
    *last = fresh;
    overlap
}
