//! Metrics of divisions of hot ranges.

use citronway_core::gateway::leader::{DivisionProgress, DivisionStep};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Buckets of the times to each step, in seconds; a division is to hold within one.
const BOUNDS: [f64; 9] = [0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.0, 2.0, 5.0];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StepLabels {
    step: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    end: &'static str,
}

/// Metrics of divisions of hot ranges; clones share their values.
#[derive(Debug, Clone)]
pub struct DivisionMetrics {
    steps: Family<StepLabels, Histogram>,
    ended: Family<EndLabels, Counter>,
    moves: Counter,
    hot_keys: Counter,
}

impl DivisionMetrics {
    /// Creates the metrics and registers them.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let histogram: fn() -> Histogram = || Histogram::new(BOUNDS);
        let steps = Family::new_with_constructor(histogram);
        let help = "Time from the first requests of a hot range to each step of its division";
        registry.register("division_seconds", help, steps.clone());
        let ended = Family::default();
        let help = "Divisions of hot ranges, by whether all of their moves ended";
        registry.register("divisions", help, ended.clone());
        let moves = Counter::default();
        let help = "Moves of keys for divisions of hot ranges";
        registry.register("division_moves", help, moves.clone());
        let hot_keys = Counter::default();
        let help = "Divisions around a key that no endpoint can serve";
        registry.register("division_hot_keys", help, hot_keys.clone());
        Self {
            steps,
            ended,
            moves,
            hot_keys,
        }
    }

    /// Counts a division that has ended.
    pub(super) fn observe(&self, progress: &DivisionProgress) {
        for step in DivisionStep::ALL {
            let Some(ms) = progress.ms_to(step) else {
                continue;
            };
            let labels = StepLabels {
                step: step.as_str(),
            };
            let seconds = ms as f64 / 1_000.0;
            self.steps.get_or_create(&labels).observe(seconds);
        }
        let end = if progress.is_whole() {
            "whole"
        } else {
            "partial"
        };
        self.ended.get_or_create(&EndLabels { end }).inc();
        self.moves.inc_by(progress.division.moves.len() as u64);
        if progress.division.hot_key.is_some() {
            self.hot_keys.inc();
        }
    }
}
