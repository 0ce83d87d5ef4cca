//! Demand of the other instances, as an instance knows it.

use indexmap::IndexMap;

use super::{CLASSES, QueueDemand, add_up};
use crate::gateway::pace::EndpointTag;
use crate::time::Mono;

/// Age from which sums are no longer used, in milliseconds: five totals are missing by then.
pub const MAX_AGE_MS: u64 = 1_000;

/// Demand of all other instances, by queue.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetDemand {
    /// When the newest part of it was heard.
    pub at: Mono,
    queues: IndexMap<EndpointTag, QueueSums>,
}

/// Demand of all other instances for one queue.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct QueueSums {
    /// Sum over all other instances.
    pub others: QueueDemand,
    /// What each of them has, where all report to all; empty where only sums are known.
    pub instances: Vec<InstanceDemand>,
}

/// Waiting requests of one other instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceDemand {
    /// Rank of the instance among all.
    pub instance: u64,
    /// Waiting requests by class.
    pub waiting: [u32; CLASSES],
}

impl FleetDemand {
    /// Demand by the leader's sums, heard at `at`, less what this instance reported itself.
    #[must_use]
    pub fn from_sums(at: Mono, sums: &[QueueDemand], own: &[QueueDemand]) -> Self {
        let own: IndexMap<_, _> = own.iter().map(|own| (own.queue, own)).collect();
        let queues = sums.iter().map(|sum| {
            let mut others = *sum;
            if let Some(own) = own.get(&sum.queue) {
                others.subtract(own);
            }
            let instances = Vec::new();
            (sum.queue, QueueSums { others, instances })
        });
        Self {
            at,
            queues: queues.collect(),
        }
    }

    /// Demand by the reports of each other instance, named by its rank; the newest was heard at
    /// `at`.
    #[must_use]
    pub fn from_reports(at: Mono, reports: &[(u64, &[QueueDemand])]) -> Self {
        let sums = add_up(reports.iter().flat_map(|(_, demands)| *demands));
        let new_queue = |(tag, others)| {
            let instances = Vec::new();
            (tag, QueueSums { others, instances })
        };
        let mut queues: IndexMap<_, _> = sums.into_iter().map(new_queue).collect();
        for (instance, demands) in reports {
            for demand in *demands {
                let Some(queue) = queues.get_mut(&demand.queue) else {
                    continue;
                };
                queue.instances.push(InstanceDemand {
                    instance: *instance,
                    waiting: demand.waiting,
                });
            }
        }
        Self { at, queues }
    }

    /// Whether it is young enough to decide by.
    #[must_use]
    pub fn is_fresh(&self, now: Mono) -> bool {
        now.since(self.at) < MAX_AGE_MS
    }

    /// Demand for a queue; `None` if no other instance has any.
    #[must_use]
    pub fn queue(&self, tag: EndpointTag) -> Option<&QueueSums> {
        self.queues.get(&tag)
    }

    /// Queues for which other instances have waiting requests.
    pub fn contended(&self) -> impl Iterator<Item = EndpointTag> {
        let queues = self.queues.iter();
        queues.filter_map(|(tag, queue)| (queue.others.all_waiting() > 0).then_some(*tag))
    }
}
