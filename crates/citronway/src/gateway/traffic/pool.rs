//! Pool of idle connections to endpoints.

use std::net::SocketAddr;

use citronway_core::gateway::admission::{AT_MOST_ONCE_IDLE_MS, Choice};
use citronway_core::gateway::routes::Repeat;
use citronway_core::ids::EndpointStart;
use citronway_core::time::Mono;
use citronway_platform::answers::KeepAlive;
use http::HeaderValue;
use indexmap::IndexMap;

use crate::gateway::http_link::Link;

/// Maximum number of idle connections per endpoint.
const MAX_IDLE: usize = 8;

/// Idle timeout of a pooled connection where the endpoint states none, in milliseconds.
const IDLE_MS: u64 = 4_000;

/// Margin before the stated idle timeout in which a connection is not reused, in milliseconds:
/// a request that crosses the endpoint's close may or may not have run.
const IDLE_MARGIN_MS: u64 = 1_000;

/// A connection to an endpoint, with the requests that were sent on it.
///
/// All sends of a request have its id, so a late copy of the answer to one of them cannot be told
/// from the answer to the next. Therefore no request is sent twice on a connection.
#[derive(Debug)]
pub struct EndpointLink {
    pub http: Link,
    sent: Vec<SentRequest>,
}

#[derive(Debug)]
struct SentRequest {
    id: Option<HeaderValue>,
    /// Time after which the request is not sent again.
    until: Mono,
}

impl EndpointLink {
    /// A connection on which nothing was sent.
    pub const fn new(http: Link) -> Self {
        Self {
            http,
            sent: Vec::new(),
        }
    }

    /// Records that a request is sent, which ends by its deadline.
    pub fn record_sent(&mut self, id: Option<&HeaderValue>, deadline: Mono) {
        self.sent.push(SentRequest {
            id: id.cloned(),
            until: deadline,
        });
    }

    /// Whether a request with this id was sent.
    fn has_sent(&self, id: Option<&HeaderValue>) -> bool {
        self.sent.iter().any(|sent| sent.id.as_ref() == id)
    }
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: IndexMap<SocketAddr, Vec<Idle>>,
    opened: u64,
}

#[derive(Debug)]
struct Idle {
    /// Start of the endpoint to which it leads; a later start may listen at the same address.
    start: EndpointStart,
    link: EndpointLink,
    since: Mono,
    usable_until: Mono,
}

impl Pool {
    /// Takes the most recently used connection that is fit for a request, if there is one.
    /// Connections on which the request was sent are kept for others.
    pub fn take(
        &mut self,
        now: Mono,
        choice: &Choice,
        repeat: Repeat,
        id: Option<&HeaderValue>,
    ) -> Option<EndpointLink> {
        let idle = self.idle.get_mut(&choice.address)?;
        let mut end = idle.len();
        while let Some(i) = end.checked_sub(1) {
            end = i;
            if idle[i].link.has_sent(id) {
                continue;
            }
            let kept = idle.remove(i);
            // Failure: an endpoint restarts under the same name and address. A request sent on
            // a connection of the earlier start is reset, and work that must not be repeated is
            // lost.
            if kept.start != choice.endpoint {
                continue;
            }
            // Failure: an endpoint drops an idle connection without closing it, and the next
            // request on it is reset; work that must not be repeated is then lost. A connection
            // that was used a moment ago has not been dropped yet.
            let fresh = match repeat {
                Repeat::Idempotent => true,
                Repeat::AtMostOnce => now.since(kept.since) < AT_MOST_ONCE_IDLE_MS,
            };
            if fresh && now < kept.usable_until && kept.link.http.is_usable() {
                return Some(kept.link);
            }
        }
        None
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Keeps a connection after a complete answer, if the endpoint allows reuse.
    pub fn put(
        &mut self,
        now: Mono,
        choice: &Choice,
        mut link: EndpointLink,
        keep_alive: KeepAlive,
    ) {
        let Some(idle_ms) = reusable_ms(keep_alive) else {
            return;
        };
        link.sent.retain(|sent| now < sent.until);
        let idle = self.idle.entry(choice.address).or_default();
        if idle.len() >= MAX_IDLE {
            idle.remove(0);
        }
        idle.push(Idle {
            start: choice.endpoint.clone(),
            link,
            since: now,
            usable_until: now.plus(idle_ms),
        });
    }

    /// Drops connections that are no longer fit for use.
    pub fn prune(&mut self, now: Mono) {
        self.idle.retain(|_, idle| {
            idle.retain(|kept| now < kept.usable_until && !kept.link.http.is_closed());
            !idle.is_empty()
        });
    }

    /// Counts a new connection.
    pub fn count_opened(&mut self) {
        self.opened += 1;
    }
}

/// Time in which a connection may be reused after an answer, in milliseconds; `None` if it may
/// not.
fn reusable_ms(keep_alive: KeepAlive) -> Option<u64> {
    let ms = match keep_alive {
        KeepAlive::Close => return None,
        KeepAlive::Unstated => IDLE_MS,
        KeepAlive::IdleMs(ms) => ms.saturating_sub(IDLE_MARGIN_MS),
    };
    (ms > 0).then_some(ms)
}
