//! Connections of one kind to one endpoint, counted and used again.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use citronway_core::time::Wall;
use http::Request;
use http_body_util::Full;
use tokio::time::timeout;

use super::clock::time_until;
use super::config::EndpointsConfig;
use super::gate::Until;
use super::link::{ExchangeError, Exchanged, Link};
use super::slots::Slots;

/// Connections of one kind to one endpoint.
#[derive(Debug)]
pub struct Lane {
    address: SocketAddr,
    slots: Slots,
    idle: Mutex<Vec<IdleLink>>,
}

#[derive(Debug)]
struct IdleLink {
    link: Link,
    since: Instant,
}

impl Lane {
    /// A lane of at most `connections` connections to `address`.
    #[must_use]
    pub fn new(address: SocketAddr, connections: u32) -> Self {
        Self {
            address,
            slots: Slots::new(connections),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends `req` on a connection that is at hand or can be opened at once.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotSent`] if all connections are in use: waiting is the
    /// dispatcher's part, which has the only queue.
    pub async fn send(
        &self,
        cfg: &EndpointsConfig,
        req: Request<Full<Bytes>>,
        until: Until,
    ) -> Result<Exchanged, ExchangeError> {
        let Some(link) = self.link(cfg, until.deadline).await? else {
            return Err(ExchangeError::NotSent("connections are used up".to_owned()));
        };
        link.exchange(req, until, cfg.max_answer_bytes).await
    }

    /// Sends `req`, after waiting for a connection if all are in use.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotSent`] if none comes free until `until`.
    pub async fn send_waiting(
        &self,
        cfg: &EndpointsConfig,
        req: Request<Full<Bytes>>,
        until: Wall,
    ) -> Result<Exchanged, ExchangeError> {
        loop {
            if let Some(link) = self.link(cfg, until).await? {
                return link.exchange(req, until.into(), cfg.max_answer_bytes).await;
            }
            timeout(time_until(until), self.slots.freed())
                .await
                .map_err(|err| ExchangeError::NotSent(err.to_string()))?;
        }
    }

    /// Keeps a connection for the next request.
    ///
    /// Only for one whose answer has been accepted: a connection that gave an
    /// answer to something else is closed by not being kept.
    pub fn keep(&self, link: Option<Link>) {
        let Some(link) = link else {
            return;
        };
        if self.slots.is_over() {
            return;
        }
        self.idle_links().push(IdleLink {
            link,
            since: Instant::now(),
        });
        self.slots.wake();
    }

    /// Sets the most connections.
    pub fn set_limit(&self, connections: u32) {
        self.slots.set_limit(connections);
    }

    /// Closes connections that have been idle for longer than `longest`.
    pub fn close_idle(&self, longest: Duration) {
        self.idle_links()
            .retain(|idle| idle.since.elapsed() < longest && !idle.link.is_closed());
    }

    /// Whether no connection is open.
    #[must_use]
    pub fn is_unused(&self) -> bool {
        self.slots.open() == 0
    }

    async fn link(
        &self,
        cfg: &EndpointsConfig,
        until: Wall,
    ) -> Result<Option<Link>, ExchangeError> {
        if let Some(link) = self.take_idle(cfg.idle()) {
            return Ok(Some(link));
        }
        let Some(slot) = self.slots.take() else {
            return Ok(None);
        };
        let wait = time_until(until).min(cfg.connect_timeout());
        Link::open(self.address, wait, slot).await.map(Some)
    }

    fn take_idle(&self, longest: Duration) -> Option<Link> {
        self.close_idle(longest);
        self.idle_links().pop().map(|idle| idle.link)
    }

    fn idle_links(&self) -> MutexGuard<'_, Vec<IdleLink>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
