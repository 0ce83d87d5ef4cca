//! Whether instances that an endpoint asked for rest give it that.

use std::time::{Duration, Instant};

/// Time after which an instance that was asked has to know it.
const KNOWN: Duration = Duration::from_millis(500);

/// Requests that may reach the endpoint from one instance after that, during a rest.
const ALLOWED: usize = 2;

/// A rest in which an endpoint got more requests than are allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenRest {
    /// Instance that was asked.
    pub sender: String,
    /// When it was asked.
    pub asked: Instant,
    /// Requests that reached the endpoint.
    pub got: usize,
}

#[derive(Debug, Clone)]
struct Asked {
    at: Instant,
    sender: String,
    rest: Duration,
}

/// Rests for which an endpoint asked, and what reached it.
#[derive(Debug, Clone, Default)]
pub struct RestLog {
    asked: Vec<Asked>,
    arrivals: Vec<(Instant, String)>,
}

impl RestLog {
    /// Records a request that an instance sent.
    pub(super) fn arrive(&mut self, at: Instant, sender: &str) {
        if self.asked.is_empty() {
            return;
        }
        self.arrivals.push((at, sender.to_owned()));
    }

    /// Records an answer to an instance that asked for rest.
    pub(super) fn ask(&mut self, at: Instant, sender: &str, rest: Duration) {
        self.asked.push(Asked {
            at,
            sender: sender.to_owned(),
            rest,
        });
    }

    /// Number of answers that asked for rest.
    #[must_use]
    pub fn asked_count(&self) -> usize {
        self.asked.len()
    }

    /// Number of requests that arrived between two moments.
    #[must_use]
    pub fn arrived(&self, from: Instant, until: Instant) -> usize {
        let arrivals = self.arrivals.iter();
        arrivals
            .filter(|(at, _)| (from..until).contains(at))
            .count()
    }

    /// Rests in which more requests arrived than are allowed.
    #[must_use]
    pub fn broken(&self) -> Vec<BrokenRest> {
        self.broken_unless(|_, _, _| false)
    }

    /// The same without those that are excused, by their sender, when it was asked, and the end of
    /// the rest.
    #[must_use]
    pub fn broken_unless(
        &self,
        is_excused: impl Fn(&str, Instant, Instant) -> bool,
    ) -> Vec<BrokenRest> {
        let mut broken = Vec::new();
        for asked in &self.asked {
            let rest = asked.at + KNOWN..asked.at + asked.rest;
            let arrivals = self.arrivals.iter();
            let got = arrivals
                .filter(|(at, sender)| rest.contains(at) && *sender == asked.sender)
                .count();
            if got > ALLOWED && !is_excused(&asked.sender, asked.at, rest.end) {
                broken.push(BrokenRest {
                    sender: asked.sender.clone(),
                    asked: asked.at,
                    got,
                });
            }
        }
        broken
    }
}
