//! Load of each key of a service, from samples of all instances.

use crate::gateway::keeper::Span;
use crate::time::Mono;

/// Keys of a service.
const KEYS: usize = 1 << 16;

/// Fading load of all keys; the unit is requests in about a half-life and a half.
#[derive(Debug)]
pub struct KeyLoad {
    weight: Vec<f32>,
    faded_at: Mono,
    half_life_ms: f64,
}

impl KeyLoad {
    /// No load; old samples lose half of their weight in `half_life_ms`.
    #[must_use]
    pub fn new(now: Mono, half_life_ms: f64) -> Self {
        Self {
            weight: vec![0.0; KEYS],
            faded_at: now,
            half_life_ms,
        }
    }

    /// Factor from the load's unit to requests a second: the weight of a steady
    /// stream is its rate times the half-life over ln 2.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        std::f64::consts::LN_2 / (self.half_life_ms / 1_000.0)
    }

    /// Takes a request for a key.
    pub fn add(&mut self, key: u16) {
        self.weight[usize::from(key)] += 1.0;
    }

    /// Lets old samples fade.
    pub fn fade(&mut self, now: Mono) {
        let by = (-(now.since(self.faded_at) as f64) / self.half_life_ms).exp2();
        self.faded_at = now;
        #[expect(clippy::cast_possible_truncation, reason = "a factor between 0 and 1")]
        let by_key = by as f32;
        for weight in &mut self.weight {
            *weight *= by_key;
        }
    }

    /// Load of a span.
    #[must_use]
    pub fn of(&self, span: Span) -> f64 {
        let keys = usize::from(span.first)..=usize::from(span.last);
        self.weight[keys].iter().map(|w| f64::from(*w)).sum()
    }

    /// The key of a span that is asked for most, and its load.
    #[must_use]
    pub fn heaviest(&self, span: Span) -> (u16, f64) {
        let mut found = (span.first, 0.0);
        for key in span.first..=span.last {
            let weight = f64::from(self.weight[usize::from(key)]);
            if weight > found.1 {
                found = (key, weight);
            }
        }
        found
    }

    /// The shortest start of `span` whose load is at least `wanted`.
    ///
    /// Returns its last key and its load; the whole span if it has less.
    #[must_use]
    pub fn prefix(&self, span: Span, wanted: f64) -> (u16, f64) {
        let mut sum = 0.0;
        for key in span.first..=span.last {
            sum += f64::from(self.weight[usize::from(key)]);
            if sum >= wanted {
                return (key, sum);
            }
        }
        (span.last, sum)
    }
}
