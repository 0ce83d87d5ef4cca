//! Estimates of how slow endpoints are and how often they fail, from their answers.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::gateway::report::EndpointPace;
use crate::ids::EndpointStart;
use crate::time::Mono;

/// Half-life of the weight of old answers, in milliseconds.
///
/// Disturbances of endpoints last a few seconds; their normal speeds differ.
const HALF_LIFE_MS: f64 = 2_000.0;

/// Weight of the prior estimate, as a number of answers.
const PRIOR_ANSWERS: f64 = 3.0;

/// Assumed spread of the times of an endpoint before its answers show it, relative to its mean. Work
/// varies by half of its mean.
const PRIOR_SPREAD: f64 = 0.5;

/// Bounds of the spread estimate, relative to the mean.
const SPREAD_BOUNDS: (f64, f64) = (0.2, 2.0);

/// Bounds of the slowness estimate, so that a single fast or stuck answer has little effect.
const BOUNDS: (f64, f64) = (0.3, 20.0);

/// Hash that identifies a start of an endpoint in reports.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct EndpointTag(pub u32);

impl EndpointTag {
    /// Tag of one start of an endpoint, so that estimates of an earlier start do not apply to it.
    #[must_use]
    pub fn of(start: &EndpointStart) -> Self {
        Self::of_parts(start.name().as_str(), start.born_ms().unwrap_or_default())
    }

    /// Tag of any name.
    #[must_use]
    pub fn of_text(name: &str) -> Self {
        Self::of_parts(name, 0)
    }

    fn of_parts(name: &str, born_ms: u64) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), born_ms);
        Self(u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default())
    }
}

/// Answers of one endpoint since the last report.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Answers {
    /// Number of requests served.
    pub served: f64,
    /// Sum of the times of the served requests, each relative to the mean of its route.
    pub relative: f64,
    /// Number of requests that failed or were refused.
    pub failed: f64,
}

impl Answers {
    /// Adds the answers of another report.
    pub fn add(&mut self, other: &Self) {
        self.served += other.served;
        self.relative += other.relative;
        self.failed += other.failed;
    }

    fn decay(&mut self, by: f64) {
        self.served *= by;
        self.relative *= by;
        self.failed *= by;
    }
}

/// How fast an endpoint is and how much its times vary.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Time that it takes for a request, relative to an average endpoint.
    pub slowness: f64,
    /// Standard deviation of this time, relative to it.
    pub spread: f64,
    /// Share of its requests that it fails or refuses.
    pub failing: f64,
}

impl Pace {
    /// Pace of an endpoint of which nothing is known.
    pub const UNKNOWN: Self = Self {
        slowness: 1.0,
        spread: PRIOR_SPREAD,
        failing: 0.0,
    };
}

/// Deviations of answers from what was expected of their endpoint, which show its spread.
///
/// Reports carry the sum of several times, not each of them. The square of the difference of their
/// mean from the expected one, times their number, is on average the variance of one of them.
#[derive(Debug, Clone, Copy, Default)]
struct Deviations {
    squares: f64,
    count: f64,
}

/// Pace estimates of all endpoints.
#[derive(Debug, Default)]
pub struct EndpointPaces {
    endpoints: IndexMap<EndpointTag, (Answers, Mono)>,
    deviations: IndexMap<EndpointTag, (Deviations, Mono)>,
    /// Estimates of the leader and the time of their receipt.
    leader_estimates: IndexMap<EndpointTag, (EndpointPace, Mono)>,
}

/// Validity of an estimate of the leader, in milliseconds. The leader sends each estimate every
/// second.
const LEADER_ESTIMATE_MS: u64 = 5_000;

/// Difference from an average endpoint up to which the leader sends no estimate.
const MIN_DIFFERENCE: f64 = 0.05;

impl EndpointPaces {
    /// Adds answers of an endpoint.
    pub fn add(&mut self, now: Mono, tag: EndpointTag, answers: &Answers) {
        self.add_deviation(now, tag, answers);
        let (sum, at) = self
            .endpoints
            .entry(tag)
            .or_insert((Answers::default(), now));
        sum.decay(decay_factor(now, *at));
        sum.add(answers);
        *at = now;
    }

    fn add_deviation(&mut self, now: Mono, tag: EndpointTag, answers: &Answers) {
        if answers.served <= 0.0 {
            return;
        }
        let expected = self.slowness(now, tag);
        let difference = answers.relative / answers.served - expected;
        let entry = self.deviations.entry(tag);
        let (sum, at) = entry.or_insert((Deviations::default(), now));
        let by = decay_factor(now, *at);
        sum.squares = sum.squares.mul_add(by, difference.powi(2) * answers.served);
        sum.count = sum.count.mul_add(by, 1.0);
        *at = now;
    }

    /// Sets the leader's estimate, which is based on the answers to all instances.
    pub fn set_leader_estimate(&mut self, now: Mono, pace: EndpointPace) {
        self.leader_estimates.insert(pace.tag, (pace, now));
    }

    /// Time that the endpoint takes, relative to an average endpoint.
    #[must_use]
    pub fn slowness(&self, now: Mono, tag: EndpointTag) -> f64 {
        let prior = self
            .leader_estimate(now, tag)
            .map_or(1.0, |pace| pace.slowness);
        let Some((sum, at)) = self.endpoints.get(&tag) else {
            return prior;
        };
        let by = decay_factor(now, *at);
        let known = sum.relative.mul_add(by, PRIOR_ANSWERS * prior);
        let estimate = known / sum.served.mul_add(by, PRIOR_ANSWERS);
        estimate.clamp(BOUNDS.0, BOUNDS.1)
    }

    /// Standard deviation of the time that the endpoint takes, relative to its mean.
    #[must_use]
    pub fn spread(&self, now: Mono, tag: EndpointTag) -> f64 {
        let prior = self.leader_estimate(now, tag);
        let prior = prior.map_or(PRIOR_SPREAD, |pace| pace.spread);
        let Some((sum, at)) = self.deviations.get(&tag) else {
            return prior;
        };
        let by = decay_factor(now, *at);
        let mean = self.slowness(now, tag);
        let squares = (PRIOR_ANSWERS * (prior * mean).powi(2)) + sum.squares * by;
        let variance = squares / sum.count.mul_add(by, PRIOR_ANSWERS);
        (variance.sqrt() / mean).clamp(SPREAD_BOUNDS.0, SPREAD_BOUNDS.1)
    }

    /// Paces of all endpoints of which anything is known.
    #[must_use]
    pub fn estimates(&self, now: Mono) -> IndexMap<EndpointTag, Pace> {
        let known = self.endpoints.keys().chain(self.leader_estimates.keys());
        let pace = |tag: &EndpointTag| Pace {
            slowness: self.slowness(now, *tag),
            spread: self.spread(now, *tag),
            failing: self.failing(now, *tag),
        };
        known.map(|tag| (*tag, pace(tag))).collect()
    }

    /// Share of its requests that the endpoint fails or refuses.
    #[must_use]
    pub fn failing(&self, now: Mono, tag: EndpointTag) -> f64 {
        let prior = self
            .leader_estimate(now, tag)
            .map_or(0.0, |pace| pace.failing);
        let Some((sum, at)) = self.endpoints.get(&tag) else {
            return prior;
        };
        let by = decay_factor(now, *at);
        let failed = sum.failed.mul_add(by, PRIOR_ANSWERS * prior);
        failed / (sum.failed + sum.served).mul_add(by, PRIOR_ANSWERS)
    }

    /// Estimates that differ from an average endpoint, for one of `parts` parts of all endpoints;
    /// consecutive values of `turn` select the parts in rotation.
    #[must_use]
    pub fn estimates_to_send(&self, now: Mono, turn: u64, parts: u64) -> Vec<EndpointPace> {
        let of_turn = |tag: &&EndpointTag| u64::from(tag.0) % parts == turn % parts;
        let paces = self
            .endpoints
            .keys()
            .filter(of_turn)
            .map(|tag| EndpointPace {
                tag: *tag,
                slowness: self.slowness(now, *tag),
                failing: self.failing(now, *tag),
                spread: self.spread(now, *tag),
            });
        paces
            .filter(|pace| {
                (pace.slowness - 1.0).abs() > MIN_DIFFERENCE || pace.failing > MIN_DIFFERENCE
            })
            .collect()
    }

    /// The leader's estimate if it is still valid.
    fn leader_estimate(&self, now: Mono, tag: EndpointTag) -> Option<EndpointPace> {
        let (pace, at) = self.leader_estimates.get(&tag)?;
        (now.since(*at) < LEADER_ESTIMATE_MS).then_some(*pace)
    }

    /// Removes endpoints without new answers or estimates for a minute.
    pub fn prune(&mut self, now: Mono) {
        const KEPT_MS: u64 = 60_000;
        self.endpoints.retain(|_, (_, at)| now.since(*at) < KEPT_MS);
        self.deviations
            .retain(|_, (_, at)| now.since(*at) < KEPT_MS);
        self.leader_estimates
            .retain(|_, (_, at)| now.since(*at) < KEPT_MS);
    }
}

/// Factor by which weights have decayed between `at` and `now`.
fn decay_factor(now: Mono, at: Mono) -> f64 {
    (-(now.since(at) as f64) / HALF_LIFE_MS).exp2()
}

/// Rank of an instance among all: a hash of its name, the same on every instance.
#[must_use]
pub fn rank_of(instance: &crate::ids::InstanceName) -> u64 {
    xxhash_rust::xxh3::xxh3_64(instance.as_str().as_bytes())
}
