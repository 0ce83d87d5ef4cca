//! Demand for one queue, and its sum over instances.

use std::cmp::Reverse;

use indexmap::IndexMap;

use super::{CLASSES, RANKS, RETURN_STEPS};
use crate::gateway::pace::EndpointTag;

/// Unit of an arrival rate: this part of a request a second. One of 80 instances sees 0.06
/// requests a second for an endpoint that gets five.
pub const ARRIVAL_PARTS: u32 = 16;

/// Most queues whose demand is sent at once: 19 KB of a datagram of 48 KB.
pub const MAX_QUEUES: usize = 400;

/// Demand of one or more instances for a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QueueDemand {
    /// Tag of the endpoint, or of the name of a service without keys.
    pub queue: EndpointTag,
    /// Number of waiting requests, by class.
    pub waiting: [u32; CLASSES],
    /// Requests that arrive for the first time, by rank, in [`ARRIVAL_PARTS`] of one a second.
    pub arrivals: [u32; RANKS],
    /// Refused callers that were told to come back, by the step in which they do.
    pub returns: [u32; RETURN_STEPS],
}

impl QueueDemand {
    /// Number of waiting requests of all classes.
    #[must_use]
    pub fn all_waiting(&self) -> u32 {
        self.waiting.iter().fold(0, |sum, n| sum.saturating_add(*n))
    }

    /// Whether requests wait, or callers were told to come back.
    #[must_use]
    pub fn is_contended(&self) -> bool {
        self.waiting.iter().chain(&self.returns).any(|n| *n > 0)
    }

    /// Adds the demand of another instance for the same queue.
    pub fn add(&mut self, other: &Self) {
        self.combine(other, u32::saturating_add);
    }

    /// Takes off what one instance reported itself.
    pub fn subtract(&mut self, own: &Self) {
        self.combine(own, u32::saturating_sub);
    }

    fn combine(&mut self, other: &Self, by: fn(u32, u32) -> u32) {
        let counts = self.waiting.iter_mut().zip(other.waiting);
        let counts = counts.chain(self.arrivals.iter_mut().zip(other.arrivals));
        for (count, other) in counts.chain(self.returns.iter_mut().zip(other.returns)) {
            *count = by(*count, other);
        }
    }
}

/// Sum of the demand of several instances, by queue.
#[must_use]
pub fn add_up<'a>(
    demands: impl IntoIterator<Item = &'a QueueDemand>,
) -> IndexMap<EndpointTag, QueueDemand> {
    let mut sums = IndexMap::<_, QueueDemand>::new();
    for demand in demands {
        let sum = sums.entry(demand.queue).or_default();
        sum.queue = demand.queue;
        sum.add(demand);
    }
    sums
}

/// The queues with the most waiting requests, as many as are sent at once.
#[must_use]
pub fn largest(sums: IndexMap<EndpointTag, QueueDemand>) -> Vec<QueueDemand> {
    let mut all: Vec<_> = sums.into_values().collect();
    all.sort_by_key(|demand| Reverse(demand.all_waiting()));
    all.truncate(MAX_QUEUES);
    all
}
