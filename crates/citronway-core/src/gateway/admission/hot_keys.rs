//! Keys with more requests than their owner can serve.
//!
//! Load: one key gets 16 % of the requests of a route, ten times what one endpoint can serve. All
//! requests of an owner wait in one queue, so that its other keys wait behind those of this key
//! until their deadlines.

use indexmap::IndexMap;

use crate::gateway::admission::{Admission, Job, View, choose};
use crate::gateway::pace::EndpointTag;
use crate::ids::ServiceName;
use crate::time::Mono;

/// Half-life of the weight of arrivals, in milliseconds.
const HALF_LIFE_MS: f64 = 500.0;

/// Minimum weight of a key's arrivals for it to be hot.
const MIN_ARRIVALS: f64 = 3.0;

/// Part of the arrivals for an owner above which one key is hot.
const HOT_SHARE: f64 = 0.5;

/// Weight below which a key is forgotten.
const FORGOTTEN: f64 = 0.1;

/// Arrivals for the keys of owners that have a queue here.
#[derive(Debug, Default)]
pub(super) struct KeyArrivals {
    by_owner: IndexMap<EndpointTag, OwnerArrivals>,
}

#[derive(Debug)]
struct OwnerArrivals {
    at: Mono,
    keys: IndexMap<u16, f64>,
}

impl KeyArrivals {
    fn add(&mut self, now: Mono, owner: EndpointTag, key: u16) {
        let arrivals = self.by_owner.entry(owner).or_insert(OwnerArrivals {
            at: now,
            keys: IndexMap::new(),
        });
        let by = (-(now.since(arrivals.at) as f64) / HALF_LIFE_MS).exp2();
        arrivals.at = now;
        arrivals.keys.retain(|_, weight| {
            *weight *= by;
            *weight >= FORGOTTEN
        });
        *arrivals.keys.entry(key).or_default() += 1.0;
    }

    /// The key with most of the recent arrivals for an owner; `None` if there is none.
    fn hot_key(&self, owner: EndpointTag) -> Option<u16> {
        let keys = &self.by_owner.get(&owner)?.keys;
        let all = keys.values().sum::<f64>();
        let is_hot = |weight: f64| weight >= MIN_ARRIVALS && weight > all * HOT_SHARE;
        let found = keys.iter().find(|(_, weight)| is_hot(**weight));
        found.map(|(key, _)| *key)
    }

    /// Removes owners without arrivals for some time.
    pub(super) fn prune(&mut self, now: Mono) {
        const KEPT_MS: u64 = 5_000;
        self.by_owner
            .retain(|_, arrivals| now.since(arrivals.at) < KEPT_MS);
    }
}

impl View {
    /// Whether hot ranges of a service are divided at once, so that a key that is still too hot for
    /// its owner has been left by its neighbours.
    fn divides_fast(&self, service: &ServiceName) -> bool {
        self.divided_fast.contains(service)
    }
}

impl Admission {
    /// Counts the arrival of a request that finds others before it in its queue.
    pub(super) fn record_key_arrival(&mut self, now: Mono, view: &View, job: &Job) {
        if !view.divides_fast(&job.service) {
            return;
        }
        if let (Some(range), Some(key)) = (choose::range_of(view, job), job.key) {
            let owner = EndpointTag::of(&range.holder.endpoint);
            self.key_arrivals.add(now, owner, key);
        }
    }

    /// Whether a request is for a key with most of the recent arrivals for its owner.
    pub(super) fn is_for_hot_key(&self, view: &View, job: &Job) -> bool {
        if !view.divides_fast(&job.service) {
            return false;
        }
        let (Some(range), Some(key)) = (choose::range_of(view, job), job.key) else {
            return false;
        };
        let owner = EndpointTag::of(&range.holder.endpoint);
        self.key_arrivals.hot_key(owner) == Some(key)
    }

    /// Number of waiting requests for the hot key of a queue, which other requests of the queue do
    /// not wait for.
    pub(super) fn hot_ahead(&self, view: &View, queue_key: EndpointTag, job: &Job) -> u32 {
        let hot = self.key_arrivals.hot_key(queue_key);
        if !view.divides_fast(&job.service) || hot.is_none() || hot == job.key {
            return 0;
        }
        let before = self.waiting.iter().filter(|other| {
            other.key == hot && other.service == job.service && other.priority <= job.priority
        });
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Time by which the answer to a request must be expected for it to wait.
    ///
    /// The requests for a hot key never become fewer by waiting. What would miss its objective is
    /// refused at once, so that those that are served are in time.
    pub(super) fn must_end_by(&self, view: &View, job: &Job) -> Mono {
        if self.is_for_hot_key(view, job) {
            return job.objective_at.min(job.deadline);
        }
        job.deadline
    }
}
