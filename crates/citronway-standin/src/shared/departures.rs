//! Whether instances that were told that an endpoint leaves stop sending to it.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Time after which an instance that was told that an endpoint leaves must send it nothing.
pub const DRAIN: Duration = Duration::from_secs(2);

/// A request that reached an endpoint too late.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LateArrival {
    /// Instance that sent it.
    pub sender: String,
    /// When it arrived.
    pub at: Instant,
    /// Time since the instance was told.
    pub after: Duration,
}

/// What a leaving endpoint told instances, and what reached it.
#[derive(Debug, Clone, Default)]
pub struct DepartureLog {
    /// When each instance was told.
    told: IndexMap<String, Vec<Instant>>,
    arrivals: Vec<(Instant, String)>,
}

impl DepartureLog {
    /// Records a request that an instance sent.
    pub(super) fn arrive(&mut self, at: Instant, sender: &str) {
        if self.told.is_empty() {
            return;
        }
        self.arrivals.push((at, sender.to_owned()));
    }

    /// Records an answer to an instance that said so.
    pub(super) fn tell(&mut self, at: Instant, sender: &str) {
        self.told.entry(sender.to_owned()).or_default().push(at);
    }

    /// Number of instances that were told.
    #[must_use]
    pub fn told_count(&self) -> usize {
        self.told.len()
    }

    /// Number of requests that arrived since a moment.
    #[must_use]
    pub fn arrived_since(&self, from: Instant) -> usize {
        let arrivals = self.arrivals.iter();
        arrivals.filter(|(at, _)| *at >= from).count()
    }

    /// Requests that arrived later than [`DRAIN`] after their senders were told.
    #[must_use]
    pub fn late(&self) -> Vec<LateArrival> {
        self.late_unless(|_, _, _| false)
    }

    /// The same without those that are excused, by their sender, when it was told, and when they
    /// arrived.
    #[must_use]
    pub fn late_unless(
        &self,
        is_excused: impl Fn(&str, Instant, Instant) -> bool,
    ) -> Vec<LateArrival> {
        let mut late = Vec::new();
        for (at, sender) in &self.arrivals {
            let told = self.told.get(sender).into_iter().flatten();
            let mut bound = told.filter(|told| **told + DRAIN < *at);
            let Some(told) = bound.find(|told| !is_excused(sender, **told, *at)) else {
                continue;
            };
            late.push(LateArrival {
                sender: sender.clone(),
                at: *at,
                after: at.duration_since(*told),
            });
        }
        late
    }
}
