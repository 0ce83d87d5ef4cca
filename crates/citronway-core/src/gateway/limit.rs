//! Adaptive concurrency limit of an instance for a service whose endpoints serve any key.
//!
//! Load: hundreds of instances share endpoints with a few slots and short requests. Their
//! reports to each other are older than the duration of a request, so each instance uses the
//! load that endpoints state in their answers: the limit grows while the endpoints have no queue
//! and shrinks when they have one or reject requests.

use crate::gateway::share;
use crate::time::Mono;

/// Largest limit, and the limit before any answer.
const MAX_LIMIT: f64 = 1_024.0;

/// Smallest limit, at which an instance sends one request at a time.
const MIN_LIMIT: f64 = 1.0;

/// Growth of the limit by as many answers as the limit allows requests.
const GROWTH_PER_ROUND: f64 = 0.25;

/// Additional growth by each answer. Without it, the limit of an instance with hundreds of
/// requests would take minutes to grow.
const GROWTH_PER_ANSWER: f64 = 0.01;

/// Factor applied to the limit after an answer from an endpoint with a queue.
const QUEUE_FACTOR: f64 = 0.93;

/// Factor applied to the limit after an endpoint rejected a request.
const REJECTION_FACTOR: f64 = 0.75;

/// Time in milliseconds after a rejection in which further rejections are ignored: their requests
/// were sent before it was known.
const REJECTION_PAUSE_MS: u64 = 100;

/// Load that an endpoint states in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Number of requests that it works on.
    pub running: u32,
    /// Number of requests in its queue.
    pub waiting: u32,
    /// Number of requests that it can work on at once.
    pub slots: u32,
}

impl EndpointLoad {
    /// Whether at least as many requests wait as are needed to keep its slots busy.
    #[must_use]
    pub fn has_queue(&self) -> bool {
        let queue_limit = share::in_flight_limit(self.slots) - self.slots;
        self.waiting >= queue_limit.max(1)
    }
}

/// Concurrency limit of one instance for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLimit {
    limit: f64,
    /// Time of the last rejection that lowered the limit.
    rejected_at: Mono,
}

impl Default for ServiceLimit {
    fn default() -> Self {
        Self {
            limit: MAX_LIMIT,
            rejected_at: Mono::default(),
        }
    }
}

impl ServiceLimit {
    /// Adjusts the limit after an answer. `load` is the load that the endpoint stated, `in_flight`
    /// the number of other requests of this instance in flight at the service.
    pub fn record_answer(&mut self, load: Option<EndpointLoad>, in_flight: u32) {
        if load.is_some_and(|load| load.has_queue()) {
            self.shrink(in_flight, QUEUE_FACTOR);
            return;
        }
        // A limit that is not reached must not grow, as it is not tested.
        if f64::from(in_flight) + 1.0 >= self.limit {
            let grown = self.limit + GROWTH_PER_ROUND / self.limit + GROWTH_PER_ANSWER;
            self.limit = grown.min(MAX_LIMIT);
        }
    }

    /// Lowers the limit after an endpoint rejected a request for lack of room, with `in_flight`
    /// other requests of this instance in flight.
    pub fn record_rejection(&mut self, now: Mono, in_flight: u32) {
        if now.since(self.rejected_at) < REJECTION_PAUSE_MS {
            return;
        }
        self.rejected_at = now;
        self.shrink(in_flight, REJECTION_FACTOR);
    }

    /// Whether one more request may be sent with `in_flight` others in flight. `chance`, a random
    /// number from 0 to 1, decides on the fractional part of the limit.
    #[must_use]
    pub fn has_room(&self, in_flight: u32, chance: f64) -> bool {
        f64::from(in_flight) + 1.0
            <= self.limit.floor() + f64::from(u8::from(chance < self.limit.fract()))
    }

    /// Maximum number of requests in flight.
    #[must_use]
    pub const fn limit(&self) -> f64 {
        self.limit
    }

    /// Multiplies the part of the limit that was in use by `factor`.
    fn shrink(&mut self, in_flight: u32, factor: f64) {
        let used = self.limit.min(f64::from(in_flight) + 1.0);
        self.limit = (used * factor).max(MIN_LIMIT);
    }
}
