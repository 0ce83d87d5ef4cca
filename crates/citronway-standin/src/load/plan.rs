//! Arrivals, drawn before the trial: the same seed gives the same arrivals.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::deployment::{Deployment, Size, WorkClass};
use super::scenario::Scenario;

/// Exponent of the Zipf distribution of keys.
const SKEW: f64 = 0.8;
/// Part of the calls that go to the hot key.
const HOT_SHARE: f64 = 0.1;

/// One call to come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// When it is meant to be sent.
    pub at: Duration,
    /// What kind of work it is.
    pub work: &'static WorkClass,
    /// Number of its key.
    pub key: u32,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// All calls of a trial, in order of time.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The calls.
    pub arrivals: Vec<Arrival>,
    /// Length of the trial.
    pub length: Duration,
}

impl Plan {
    /// Draws the arrivals of a trial.
    #[must_use]
    pub fn draw(deployment: Deployment, scenario: Scenario, length: Duration, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for work in deployment.work() {
            for size in deployment.sizes() {
                if size.service != work.service {
                    continue;
                }
                let stream = Stream::new(work, size, scenario, length);
                stream.draw(&mut rng, &mut arrivals);
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        Self { arrivals, length }
    }
}

/// Poisson arrivals of one class.
struct Stream {
    work: &'static WorkClass,
    rate: f64,
    length: Duration,
    hot_from: Option<Duration>,
    keys: Zipf,
}

impl Stream {
    fn new(work: &'static WorkClass, size: &Size, scenario: Scenario, length: Duration) -> Self {
        Self {
            work,
            rate: size.capacity() * work.share * scenario.load(),
            length,
            hot_from: (scenario == Scenario::HotKey).then(|| scenario.event_at(length)),
            keys: Zipf::new(size.keys),
        }
    }

    fn draw(&self, rng: &mut StdRng, arrivals: &mut Vec<Arrival>) {
        let mut at = Duration::ZERO;
        loop {
            let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            at += Duration::from_secs_f64(-uniform.ln() / self.rate);
            if at >= self.length {
                return;
            }
            arrivals.push(Arrival {
                at,
                work: self.work,
                key: self.key(rng, at),
                idempotent: rng.random_bool(self.work.idempotent),
            });
        }
    }

    fn key(&self, rng: &mut StdRng, at: Duration) -> u32 {
        let is_hot = self.hot_from.is_some_and(|from| from <= at);
        if is_hot && rng.random_bool(HOT_SHARE) {
            return 0;
        }
        self.keys.draw(rng)
    }
}

/// Zipf distribution over numbers from 0.
struct Zipf {
    cumulated: Vec<f64>,
}

impl Zipf {
    fn new(count: u32) -> Self {
        let mut sum = 0.0;
        let weights = (1..=count).map(|rank| {
            sum += f64::from(rank).powf(-SKEW);
            sum
        });
        Self {
            cumulated: weights.collect(),
        }
    }

    fn draw(&self, rng: &mut StdRng) -> u32 {
        let all = self.cumulated.last().copied().unwrap_or_default();
        let point = rng.random_range(0.0..all);
        let index = self.cumulated.partition_point(|sum| *sum <= point);
        u32::try_from(index).unwrap_or(u32::MAX)
    }
}
