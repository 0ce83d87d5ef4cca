//! The limit that an endpoint states, and whether instances that were told keep to it.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Time after which a stated limit must be kept.
pub const STABLE: Duration = Duration::from_secs(3);

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Factor and number by which requests in a window may exceed the limit.
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Time after which an instance that passed on a limit has to know it.
const TOLD: Duration = Duration::from_millis(500);

/// A window with more requests than the limit allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Excess {
    /// End of the window.
    pub at: Instant,
    /// Requests in it from instances that were told.
    pub got: usize,
    /// Requests that the limit allows.
    pub allowed: f64,
}

/// What an endpoint stated and got since its start.
#[derive(Debug, Clone, Default)]
pub struct LimitLog {
    /// Limits and when each was first stated; `None` from when on no limit was.
    changes: Vec<(Instant, Option<f64>)>,
    /// When each instance first passed on an answer with a limit.
    told: IndexMap<String, Instant>,
    arrivals: Vec<(Instant, String)>,
}

impl LimitLog {
    /// Records that answers from now on state this limit.
    pub(super) fn state(&mut self, at: Instant, per_s: Option<f64>) {
        self.changes.push((at, per_s));
    }

    /// Records a request that an instance sent.
    pub(super) fn arrive(&mut self, at: Instant, sender: &str) {
        self.arrivals.push((at, sender.to_owned()));
    }

    /// Records an answer with a limit to an instance.
    pub(super) fn tell(&mut self, at: Instant, sender: &str) {
        self.told.entry(sender.to_owned()).or_insert(at);
    }

    /// Number of requests that arrived between two moments.
    #[must_use]
    pub fn arrived(&self, from: Instant, until: Instant) -> usize {
        let all = self.arrivals.iter();
        all.filter(|(at, _)| (from..until).contains(at)).count()
    }

    /// Windows with more requests from instances that were told than the limit allows.
    /// `is_excused` says whether an instance is not bound at a moment.
    #[must_use]
    pub fn excesses(&self, is_excused: impl Fn(&str, Instant) -> bool) -> Vec<Excess> {
        let counted: Vec<_> = self
            .arrivals
            .iter()
            .filter(|(at, sender)| {
                let told = self.told.get(sender);
                told.is_some_and(|told| *told + TOLD <= *at) && !is_excused(sender, *at)
            })
            .map(|(at, _)| *at)
            .collect();
        let mut found = Vec::new();
        let mut first = 0;
        for (last, at) in counted.iter().enumerate() {
            while counted[first] + WINDOW < *at {
                first += 1;
            }
            let Some(allowed) = self.allowed_until(*at) else {
                continue;
            };
            let got = last + 1 - first;
            if got as f64 > allowed {
                found.push(Excess {
                    at: *at,
                    got,
                    allowed,
                });
            }
        }
        found
    }

    /// Requests that are allowed in the window that ends at a moment; `None` if there was no
    /// limit in a part of it, or the limit had just begun.
    fn allowed_until(&self, end: Instant) -> Option<f64> {
        let stated = self.changes.iter().filter(|(at, _)| *at <= end);
        let in_force = stated.rev().take_while(|(_, per_s)| per_s.is_some());
        let (begun, _) = in_force.last()?;
        if *begun + STABLE > end {
            return None;
        }
        // The highest limit of the window and the time before in which it may have been in force.
        let mut highest = None::<f64>;
        for (i, (at, per_s)) in self.changes.iter().enumerate() {
            let until = self.changes.get(i + 1).map(|(at, _)| *at);
            if *at > end || until.is_some_and(|until| until + WINDOW + STABLE <= end) {
                continue;
            }
            if at >= begun {
                highest = Some(highest.unwrap_or(0.0).max((*per_s)?));
            }
        }
        Some(FACTOR * WINDOW.as_secs_f64() * highest? + SLACK)
    }
}
