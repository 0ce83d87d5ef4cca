//! Grants of one instance for sends to limited endpoints.

use indexmap::{IndexMap, IndexSet};

use super::limiter::{GRANT_VALID_MS, SendGrant};
use crate::gateway::pace::EndpointTag;
use crate::time::Mono;

/// Time in milliseconds after which a query without a recorded answer no longer keeps other
/// requests waiting. It is longer than a query takes.
const QUERY_MS: u64 = 400;

/// Largest number of sends that a query asks for.
const MAX_COUNT: u32 = 64;

/// State of the grants for one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantState {
    /// The next request has to ask.
    Unknown,
    /// A request is asking.
    Asking {
        /// The request.
        ticket: u64,
        /// Time until which others wait for the answer.
        until: Mono,
    },
    /// Requests may be sent without asking.
    Granted {
        /// Number of requests.
        left: u32,
        /// Time until which they may be sent.
        until: Mono,
    },
    /// No request may be sent.
    Busy {
        /// Time from which on a request may ask.
        until: Mono,
    },
}

#[derive(Debug, Clone, Copy)]
struct Endpoint {
    state: GrantState,
    /// Number of sends to ask for.
    count: u32,
}

/// Grants by endpoint.
#[derive(Debug, Default)]
pub struct SendGrants {
    endpoints: IndexMap<EndpointTag, Endpoint>,
    /// Admitted requests that must not be sent before their query is granted.
    asking: IndexSet<u64>,
}

impl SendGrants {
    /// Time before which no request may be sent or ask; `None` if one may now.
    #[must_use]
    pub fn blocked_until(&self, now: Mono, tag: EndpointTag) -> Option<Mono> {
        match self.endpoints.get(&tag)?.state {
            GrantState::Asking { until, .. } | GrantState::Busy { until } => {
                (now < until).then_some(until)
            }
            GrantState::Unknown | GrantState::Granted { .. } => None,
        }
    }

    /// Time from which on a request may ask again; `None` if the last answer granted sends.
    #[must_use]
    pub fn busy_until(&self, tag: EndpointTag) -> Option<Mono> {
        match self.endpoints.get(&tag)?.state {
            GrantState::Busy { until } => Some(until),
            GrantState::Unknown | GrantState::Asking { .. } | GrantState::Granted { .. } => None,
        }
    }

    /// Uses a grant for a request, or lets the request ask for one.
    pub fn begin_send(&mut self, now: Mono, tag: EndpointTag, ticket: u64) {
        let endpoint = self.endpoints.entry(tag).or_insert(Endpoint {
            state: GrantState::Unknown,
            count: 1,
        });
        if let GrantState::Granted { left, until } = &mut endpoint.state {
            if now < *until && *left > 0 {
                *left -= 1;
                return;
            }
            // The number follows what the instance uses while a grant is valid.
            endpoint.count = if now < *until {
                (endpoint.count * 2).min(MAX_COUNT)
            } else {
                (endpoint.count / 2).max(1)
            };
        }
        endpoint.state = GrantState::Asking {
            ticket,
            until: now.plus(QUERY_MS),
        };
        self.asking.insert(ticket);
    }

    /// Number of sends that a request has to ask for; `None` if it may be sent without.
    #[must_use]
    pub fn count_to_ask(&self, tag: EndpointTag, ticket: u64) -> Option<u32> {
        let is_asking = self.asking.contains(&ticket);
        let count = self
            .endpoints
            .get(&tag)
            .map_or(1, |endpoint| endpoint.count);
        is_asking.then_some(count)
    }

    /// Records the answer to a request that asked.
    pub fn record(&mut self, now: Mono, tag: EndpointTag, asked: u64, grant: SendGrant) {
        self.asking.swap_remove(&asked);
        let Some(endpoint) = self.endpoints.get_mut(&tag) else {
            return;
        };
        let is_asking =
            matches!(endpoint.state, GrantState::Asking { ticket, .. } if ticket == asked);
        if !is_asking {
            return;
        }
        endpoint.state = match grant {
            // The request that asked uses the first send.
            SendGrant::Granted { count, .. } => GrantState::Granted {
                left: count.saturating_sub(1),
                until: now.plus(GRANT_VALID_MS),
            },
            SendGrant::Busy { for_ms } => GrantState::Busy {
                until: now.plus(for_ms),
            },
            SendGrant::Unavailable => GrantState::Unknown,
        };
    }

    /// Records that a request that was asking is not sent.
    pub fn withdraw(&mut self, asked: u64) {
        if !self.asking.swap_remove(&asked) {
            return;
        }
        for endpoint in self.endpoints.values_mut() {
            if matches!(endpoint.state, GrantState::Asking { ticket, .. } if ticket == asked) {
                endpoint.state = GrantState::Unknown;
            }
        }
    }

    /// Removes endpoints that have no limit any more.
    pub fn retain(&mut self, is_limited: impl Fn(EndpointTag) -> bool) {
        self.endpoints.retain(|tag, _| is_limited(*tag));
    }
}
