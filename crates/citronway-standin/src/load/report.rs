//! What a trial found.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use super::deployment::Deployment;
use super::scenario::Scenario;
use super::sender::Sample;
use crate::measure::{Gaps, Promises, Record, Tally};

/// What a trial found.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Deployment.
    pub deployment: Deployment,
    /// Policy that entries were told, if any.
    pub policy: Option<&'static str>,
    /// What happened.
    pub scenario: Scenario,
    /// Seed of arrivals and keys.
    pub seed: u64,
    /// Length of the trial, in seconds.
    pub seconds: f64,
    /// Figures by class.
    pub classes: IndexMap<&'static str, ClassFigures>,
    /// Figures of the whole.
    pub whole: WholeFigures,
    /// Promises broken, by count.
    pub broken: Broken,
}

/// Figures of a class of work.
#[derive(Debug, Clone, Serialize)]
pub struct ClassFigures {
    /// Time from the intended start to the answer, answered calls only.
    pub latency_ms: Latency,
    /// Answers within the deadline, a second.
    pub goodput: f64,
    /// Calls, a second.
    pub offered: f64,
    /// Outcomes.
    pub tally: Tally,
}

/// Latency at parts of the calls, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Latency {
    /// At 50 in 100.
    pub p50: f64,
    /// At 99 in 100.
    pub p99: f64,
    /// At 99.9 in 100.
    pub p999: f64,
}

/// Figures of the whole deployment.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct WholeFigures {
    /// Most work at once at an endpoint above its slots.
    pub peak_above_slots: u32,
    /// Orders that endpoints shed.
    pub shed: u64,
    /// Most shards of an endpoint as a multiple of the mean.
    pub shard_imbalance: f64,
    /// Most runs of an endpoint as a multiple of the mean.
    pub run_imbalance: f64,
    /// Part of the shards that changed owner.
    pub moved: f64,
    /// Longest time that a key stayed unserved, in seconds.
    pub longest_gap_s: f64,
    /// Time that keys stayed unserved, all keys together, in seconds.
    pub gaps_s: f64,
    /// Keys that stayed unserved for a time.
    pub keys_hit: usize,
    /// Bytes to and from the platform.
    pub store_bytes: u64,
    /// Reads from the platform, a second.
    pub store_reads: f64,
    /// Writes to the platform.
    pub store_writes: u64,
    /// Bytes of control messages that an entry sends and receives a second, mean;
    /// `None` if the entries do not tell.
    pub control_bytes: Option<f64>,
    /// CPU time of an entry as a part of one core, mean of those that ran
    /// throughout; `None` if none did.
    pub cpu_mean: Option<f64>,
    /// The same, of the busiest entry.
    pub cpu_max: Option<f64>,
}

/// Promises broken, by count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// Non-idempotent requests that ran more than once.
    pub ran_twice: usize,
    /// Keys with two owners at once.
    pub overlaps: usize,
    /// Told "not run" but ran.
    pub not_run_but_ran: usize,
    /// Wrong answers.
    pub wrong_answers: usize,
    /// Answered, but no endpoint ran them.
    pub answered_but_not_ran: usize,
}

impl Broken {
    /// Whether any promise was broken.
    #[must_use]
    pub const fn any(&self) -> bool {
        self.ran_twice
            + self.overlaps
            + self.not_run_but_ran
            + self.wrong_answers
            + self.answered_but_not_ran
            > 0
    }
}

impl From<&Promises> for Broken {
    fn from(promises: &Promises) -> Self {
        Self {
            ran_twice: promises.ran_twice.len(),
            overlaps: promises.overlaps.len(),
            not_run_but_ran: promises.not_run_but_ran.len(),
            wrong_answers: promises.wrong_answers.len(),
            answered_but_not_ran: promises.answered_but_not_ran.len(),
        }
    }
}

impl WholeFigures {
    /// Adds how long keys stayed unserved.
    pub fn add_gaps(&mut self, records: &[Record], length: Duration) {
        let gaps = Gaps::of(records);
        self.longest_gap_s = gaps.longest(length).as_secs_f64();
        self.gaps_s = gaps.total(length).as_secs_f64();
        self.keys_hit = gaps.keys();
    }
}

/// Figures of each class.
#[must_use]
pub fn by_class(samples: &[Sample], length: Duration) -> IndexMap<&'static str, ClassFigures> {
    let mut classes: IndexMap<_, Vec<_>> = IndexMap::new();
    for sample in samples {
        classes.entry(sample.class).or_default().push(sample);
    }
    let figures = classes.into_iter();
    figures
        .map(|(class, samples)| (class, class_figures(&samples, length)))
        .collect()
}

fn class_figures(samples: &[&Sample], length: Duration) -> ClassFigures {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are allowed");
    let mut in_time = 0_u32;
    for sample in samples {
        if !sample.record.is_answered() {
            continue;
        }
        let latency = sample.record.latency();
        in_time += u32::from(latency <= sample.deadline);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        histogram
            .record(micros)
            .expect("the histogram grows with what is recorded");
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    ClassFigures {
        latency_ms: Latency {
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
        },
        goodput: f64::from(in_time) / length.as_secs_f64(),
        offered: samples.len() as f64 / length.as_secs_f64(),
        tally: Tally::of(samples.iter().map(|sample| &sample.record)),
    }
}
