//! How fast endpoints work and how often they fail, from the answers they give.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::gateway::report::EndpointPace;
use crate::ids::EndpointStart;
use crate::time::Mono;

/// Time in which old answers lose half of their weight, in milliseconds.
///
/// Troubles of endpoints last a few seconds; their speed is unequal by nature.
const HALF_LIFE_MS: f64 = 2_000.0;

/// Weight of the belief that an endpoint is average, in answers.
const PRIOR: f64 = 3.0;

/// Bounds of the estimate; one lucky or stuck answer decides nothing.
const BOUNDS: (f64, f64) = (0.3, 20.0);

/// Number that stands for a start of an endpoint in reports: a hash of it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct EndpointTag(pub u32);

impl EndpointTag {
    /// Tag of one start of an endpoint: what was learnt of an earlier one is not its own.
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
    /// Requests that it served.
    pub served: f64,
    /// Sum over these of the time taken, relative to the mean of the route.
    pub relative: f64,
    /// Requests that it failed or refused.
    pub failed: f64,
}

impl Answers {
    /// Adds those of another report.
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

/// Estimates for all endpoints.
#[derive(Debug, Default)]
pub struct EndpointPaces {
    endpoints: IndexMap<EndpointTag, (Answers, Mono)>,
    /// What the leader told of endpoints, and when.
    told: IndexMap<EndpointTag, (EndpointPace, Mono)>,
}

/// How long the leader's estimate of an endpoint counts, in milliseconds: it tells each one
/// every second.
const TOLD_MS: u64 = 5_000;

/// Difference from an average endpoint below which nothing is told.
const WORTH_TELLING: f64 = 0.05;

impl EndpointPaces {
    /// Takes answers of an endpoint.
    pub fn add(&mut self, now: Mono, tag: EndpointTag, answers: &Answers) {
        let (sum, at) = self
            .endpoints
            .entry(tag)
            .or_insert((Answers::default(), now));
        sum.decay(fading(now, *at));
        sum.add(answers);
        *at = now;
    }

    /// Takes the leader's estimate, which rests on the answers that all instances got.
    pub fn set_leader_estimate(&mut self, now: Mono, pace: EndpointPace) {
        self.told.insert(pace.tag, (pace, now));
    }

    /// Time the endpoint takes, relative to an average one.
    #[must_use]
    pub fn slowness(&self, now: Mono, tag: EndpointTag) -> f64 {
        let told = self.fresh(now, tag).map_or(1.0, |pace| pace.slowness);
        let Some((sum, at)) = self.endpoints.get(&tag) else {
            return told;
        };
        let by = fading(now, *at);
        let known = sum.relative.mul_add(by, PRIOR * told);
        let estimate = known / sum.served.mul_add(by, PRIOR);
        estimate.clamp(BOUNDS.0, BOUNDS.1)
    }

    /// Share of its requests that the endpoint fails or refuses.
    #[must_use]
    pub fn failing(&self, now: Mono, tag: EndpointTag) -> f64 {
        let told = self.fresh(now, tag).map_or(0.0, |pace| pace.failing);
        let Some((sum, at)) = self.endpoints.get(&tag) else {
            return told;
        };
        let by = fading(now, *at);
        let failed = sum.failed.mul_add(by, PRIOR * told);
        failed / (sum.failed + sum.served).mul_add(by, PRIOR)
    }

    /// Estimates that differ from those of an average endpoint: a part of them, another one
    /// in each of `parts` turns.
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
            });
        paces
            .filter(|pace| {
                (pace.slowness - 1.0).abs() > WORTH_TELLING || pace.failing > WORTH_TELLING
            })
            .collect()
    }

    fn fresh(&self, now: Mono, tag: EndpointTag) -> Option<EndpointPace> {
        let (pace, at) = self.told.get(&tag)?;
        (now.since(*at) < TOLD_MS).then_some(*pace)
    }

    /// Forgets endpoints that were not heard of for a minute.
    pub fn prune(&mut self, now: Mono) {
        const KEPT_MS: u64 = 60_000;
        self.endpoints.retain(|_, (_, at)| now.since(*at) < KEPT_MS);
        self.told.retain(|_, (_, at)| now.since(*at) < KEPT_MS);
    }
}

fn fading(now: Mono, at: Mono) -> f64 {
    (-(now.since(at) as f64) / HALF_LIFE_MS).exp2()
}

/// Order of an instance among all, the same everywhere: a hash of its name.
#[must_use]
pub fn rank_of(instance: &crate::ids::InstanceName) -> u64 {
    xxhash_rust::xxh3::xxh3_64(instance.as_str().as_bytes())
}
