//! Counts what full rings did not take.

use std::sync::Arc;

use citronway_core::time::Mono;
use indexmap::IndexMap;

use crate::metrics::Metrics;

/// Least time between two log lines of one ring, in milliseconds.
const LOG_EVERY_MS: u64 = 1_000;

/// Counts what full rings did not take, and logs it now and then.
///
/// Failure guarded against: the process is overloaded, each dropped action
/// becomes a line of the logs, and writing them is what keeps it overloaded.
#[derive(Debug)]
pub struct Drops {
    metrics: Arc<Metrics>,
    by_ring: IndexMap<&'static str, Unlogged>,
}

#[derive(Debug, Default)]
struct Unlogged {
    dropped: u64,
    logged: Option<Mono>,
}

impl Drops {
    /// Counts into `metrics`.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            metrics,
            by_ring: IndexMap::new(),
        }
    }

    /// Counts an item that a ring did not take.
    pub fn count(&mut self, ring: &'static str) {
        self.metrics.control.dropped(ring);
        self.by_ring.entry(ring).or_default().dropped += 1;
    }

    /// Logs what was dropped since the last line, at most one line a second for
    /// each ring.
    pub fn log(&mut self, now: Mono) {
        for (ring, unlogged) in &mut self.by_ring {
            let early = |at: Mono| now.since(at) < LOG_EVERY_MS;
            if unlogged.dropped == 0 || unlogged.logged.is_some_and(early) {
                continue;
            }
            log::warn!(ring, dropped = unlogged.dropped; "a ring is full, items were dropped");
            unlogged.dropped = 0;
            unlogged.logged = Some(now);
        }
    }
}
