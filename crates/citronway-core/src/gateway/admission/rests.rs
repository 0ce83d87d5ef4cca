//! Endpoints that asked this instance for rest when they rejected a request.
//!
//! Nothing is sent to an endpoint during its rest. Afterwards requests return at a rate that grows:
//! one is in flight at first, and one more for each that the endpoint runs.

use indexmap::IndexMap;

use crate::gateway::pace::EndpointTag;
use crate::time::Mono;

/// Number of requests in flight from which an endpoint counts as recovered.
const RECOVERED_IN_FLIGHT: u32 = 16;

/// Time in milliseconds for which an endpoint that is no longer listed, or that gets no requests
/// after its rest, is remembered.
const KEPT_MS: u64 = 60_000;

/// State of an endpoint that asked for rest.
#[derive(Debug, Clone, Copy)]
struct Rest {
    until: Mono,
    /// Number of requests that may be in flight after the rest.
    max_in_flight: u32,
    /// Whether the end of the rest has been told.
    is_end_told: bool,
}

/// Endpoints that asked for rest.
#[derive(Debug, Default)]
pub(super) struct Rests {
    endpoints: IndexMap<EndpointTag, Rest>,
}

impl Rests {
    /// Records that an endpoint asked for rest. The latest end of several rests counts. Returns
    /// whether a rest has begun.
    pub(super) fn record(&mut self, now: Mono, endpoint: EndpointTag, rest_ms: u64) -> bool {
        let until = now.plus(rest_ms);
        let Some(rest) = self.endpoints.get_mut(&endpoint) else {
            let rest = Rest {
                until,
                max_in_flight: 1,
                is_end_told: false,
            };
            self.endpoints.insert(endpoint, rest);
            return true;
        };
        let begins = rest.until <= now;
        if begins {
            rest.max_in_flight = (rest.max_in_flight / 2).max(1);
        }
        rest.until = rest.until.max(until);
        rest.is_end_told &= !begins;
        begins
    }

    /// Records that the endpoint ran a request.
    pub(super) fn record_answer(&mut self, now: Mono, endpoint: EndpointTag) {
        let Some(rest) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        if now < rest.until {
            return;
        }
        rest.max_in_flight += 1;
        if rest.max_in_flight >= RECOVERED_IN_FLIGHT && rest.is_end_told {
            self.endpoints.swap_remove(&endpoint);
        }
    }

    /// End of the rest of an endpoint; `None` if it does not rest.
    pub(super) fn until(&self, now: Mono, endpoint: EndpointTag) -> Option<Mono> {
        let rest = self.endpoints.get(&endpoint)?;
        (now < rest.until).then_some(rest.until)
    }

    /// Number of requests that may be in flight at an endpoint after its rest; `None` if it has
    /// recovered or asked for none.
    pub(super) fn max_in_flight(&self, endpoint: EndpointTag) -> Option<u32> {
        let rest = self.endpoints.get(&endpoint)?;
        Some(rest.max_in_flight)
    }

    /// Whether no endpoint has asked for rest lately.
    pub(super) fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Endpoints that rest now, each with the time that is left, in milliseconds.
    pub(super) fn resting(&self, now: Mono) -> impl Iterator<Item = (EndpointTag, u64)> {
        let all = self.endpoints.iter();
        all.filter(move |(_, rest)| now < rest.until)
            .map(move |(tag, rest)| (*tag, rest.until.since(now)))
    }

    /// Takes the endpoints whose rest has ended since the last call.
    pub(super) fn take_ended(&mut self, now: Mono) -> Vec<EndpointTag> {
        let ended = self
            .endpoints
            .iter_mut()
            .filter(|(_, rest)| !rest.is_end_told && rest.until <= now);
        let ended = ended.map(|(tag, rest)| {
            rest.is_end_told = true;
            *tag
        });
        ended.collect()
    }

    /// Forgets endpoints that are no longer listed or have had no request since their rest.
    pub(super) fn prune(&mut self, now: Mono, is_listed: impl Fn(EndpointTag) -> bool) {
        self.endpoints.retain(|tag, rest| {
            let is_recent = now.since(rest.until) < KEPT_MS && rest.until.since(now) < KEPT_MS;
            is_recent || (now < rest.until && is_listed(*tag))
        });
    }
}
