//! Kept connections to endpoints.

use std::net::SocketAddr;

use citronway_core::gateway::admission::{AT_MOST_ONCE_IDLE_MS, Choice};
use citronway_core::gateway::routes::Repeat;
use citronway_core::ids::EndpointStart;
use citronway_core::time::Mono;
use http::HeaderMap;
use indexmap::IndexMap;

use crate::gateway::http_link::Link;

/// Kept connections to one endpoint at most.
const MAX_IDLE: usize = 8;

/// Time for which an idle connection is used again, in milliseconds, where the
/// endpoint states none.
const IDLE_MS: u64 = 4_000;

/// How long before the stated end an idle connection is left alone, in milliseconds:
/// a request that crosses the endpoint's close may or may not have run.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: IndexMap<SocketAddr, Vec<Idle>>,
    opened: u64,
}

#[derive(Debug)]
struct Idle {
    /// Whose it is: another start may listen at the address since.
    start: EndpointStart,
    link: Link,
    since: Mono,
    usable_until: Mono,
}

impl Pool {
    /// Takes a connection that is fit for another request, the one used last.
    pub fn take(&mut self, now: Mono, choice: &Choice, repeat: Repeat) -> Option<Link> {
        let idle = self.idle.get_mut(&choice.address)?;
        while let Some(kept) = idle.pop() {
            // Failure: an endpoint starts again under its name and address. What is sent on
            // a connection of the earlier start is reset, and work that may not be
            // repeated is lost.
            if kept.start != choice.endpoint {
                continue;
            }
            // Failure: an endpoint forgets an idle connection without a word, and what
            // is sent on it next is reset; work that may not be repeated is then lost.
            // One that was used a moment ago is not forgotten yet.
            let fresh = match repeat {
                Repeat::Idempotent => true,
                Repeat::AtMostOnce => now.since(kept.since) < AT_MOST_ONCE_IDLE_MS,
            };
            if fresh && now < kept.usable_until && kept.link.is_usable() {
                return Some(kept.link);
            }
        }
        None
    }

    /// Keeps a connection after a whole answer with these headers.
    pub fn put(&mut self, now: Mono, choice: &Choice, link: Link, headers: &HeaderMap) {
        let Some(idle_ms) = reusable_ms(headers) else {
            return;
        };
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

    /// Drops connections that are no longer fit.
    pub fn prune(&mut self, now: Mono) {
        self.idle.retain(|_, idle| {
            idle.retain(|kept| now < kept.usable_until && !kept.link.is_closed());
            !idle.is_empty()
        });
    }

    /// Counts a new connection.
    pub fn count_opened(&mut self) {
        self.opened += 1;
    }
}

/// For how long a connection may be used again after an answer, if at all.
fn reusable_ms(headers: &HeaderMap) -> Option<u64> {
    let closes = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .any(|value| {
            let words = value.to_str().unwrap_or_default().split(',');
            words
                .map(str::trim)
                .any(|word| word.eq_ignore_ascii_case("close"))
        });
    if closes {
        return None;
    }
    let stated = headers.get("keep-alive").and_then(|value| {
        let words = value.to_str().ok()?.split(',');
        let seconds = words
            .map(str::trim)
            .find_map(|word| word.strip_prefix("timeout="))?;
        seconds.parse::<u64>().ok()
    });
    let ms = stated.map_or(IDLE_MS, |s| (s * 1_000).saturating_sub(IDLE_MARGIN_MS));
    (ms > 0).then_some(ms)
}
