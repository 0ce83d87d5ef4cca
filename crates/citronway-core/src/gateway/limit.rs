//! How many requests an instance has at a service whose endpoints serve any request.
//!
//! Load: hundreds of instances share endpoints of a few slots and short work. What they tell
//! each other is older than the work takes, so each instance goes by what the endpoints' own
//! answers say: the limit grows while they have no queue, and shrinks where they have one or
//! turn requests away.

use crate::gateway::share;
use crate::time::Mono;

/// Limit of an instance that has heard nothing yet, and the largest.
const LARGEST: f64 = 1_024.0;

/// Smallest limit: each instance tries one request at a time.
const SMALLEST: f64 = 1.0;

/// Growth by the answers to as many requests as the limit allows, and by each answer besides,
/// without which an instance with hundreds of requests would take minutes to grow.
const GROWTH: f64 = 0.25;
const GROWTH_BY_ANSWER: f64 = 0.01;

/// What is left of the limit after an answer of an endpoint with a queue, and after one that
/// turned a request away.
const QUEUED_LEAVES: f64 = 0.93;
const TURNED_AWAY_LEAVES: f64 = 0.75;

/// Time after a request was turned away in which others change nothing, in milliseconds: they
/// were sent before it was known.
const TURNED_AWAY_ONCE_MS: u64 = 100;

/// What an endpoint says of its load with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
}

impl EndpointLoad {
    /// Whether more wait there than keep its slots supplied.
    #[must_use]
    pub fn has_queue(&self) -> bool {
        let supply = share::in_flight_limit(self.slots) - self.slots;
        self.waiting >= supply.max(1)
    }
}

/// The limit of one instance at one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLimit {
    limit: f64,
    turned_away: Mono,
}

impl Default for ServiceLimit {
    fn default() -> Self {
        Self {
            limit: LARGEST,
            turned_away: Mono::default(),
        }
    }
}

impl ServiceLimit {
    /// Takes an answer; `load` is what the endpoint said of itself, `in_flight` how many
    /// requests were there.
    pub fn record_answer(&mut self, load: Option<EndpointLoad>, in_flight: u32) {
        if load.is_some_and(|load| load.has_queue()) {
            self.shrink(in_flight, QUEUED_LEAVES);
            return;
        }
        // A limit that holds nothing back says nothing by its growth.
        if f64::from(in_flight) + 1.0 >= self.limit {
            let grown = self.limit + GROWTH / self.limit + GROWTH_BY_ANSWER;
            self.limit = grown.min(LARGEST);
        }
    }

    /// Takes that an endpoint had no room for a request, beside so many of this instance.
    pub fn record_rejection(&mut self, now: Mono, in_flight: u32) {
        if now.since(self.turned_away) < TURNED_AWAY_ONCE_MS {
            return;
        }
        self.turned_away = now;
        self.shrink(in_flight, TURNED_AWAY_LEAVES);
    }

    /// Whether one more request may be sent beside so many; `chance` is a number from 0 to 1
    /// that decides about the fraction of a request.
    #[must_use]
    pub fn has_room(&self, in_flight: u32, chance: f64) -> bool {
        f64::from(in_flight) + 1.0
            <= self.limit.floor() + f64::from(u8::from(chance < self.limit.fract()))
    }

    /// Requests that may be there at once.
    #[must_use]
    pub const fn limit(&self) -> f64 {
        self.limit
    }

    /// What is above the requests that were there had no part in it.
    fn shrink(&mut self, in_flight: u32, leaves: f64) {
        let used = self.limit.min(f64::from(in_flight) + 1.0);
        self.limit = (used * leaves).max(SMALLEST);
    }
}
