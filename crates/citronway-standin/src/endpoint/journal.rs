//! What an endpoint ran and refused; the observer's record, not the endpoint's.

use citronway_core::ids::{EndpointName, Epoch, Key, RequestId, ServiceName, ShardId};
use citronway_core::node::events::RefusedReason;
use citronway_core::request::Repeat;
use citronway_core::time::Wall;
use serde::{Deserialize, Serialize};

use super::order::Order;

/// One committed run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request.
    pub id: RequestId,
    /// Service.
    pub service: ServiceName,
    /// Key.
    pub key: Key,
    /// Endpoint that ran it.
    pub endpoint: EndpointName,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// Shard that the order named.
    pub shard: ShardId,
    /// Epoch of the shard that the order named.
    pub shard_epoch: Epoch,
    /// Epoch of the dispatcher that sent it.
    pub dispatch_epoch: Epoch,
    /// The dispatcher, `instance#session`.
    pub dispatcher: String,
    /// When it began.
    pub start: Wall,
    /// When it was committed.
    pub end: Wall,
}

impl Run {
    /// Records an order that began at `start` and was committed at `end`.
    #[must_use]
    pub fn new(order: &Order, endpoint: &EndpointName, start: Wall, end: Wall) -> Self {
        Self {
            id: order.id,
            service: order.service.clone(),
            key: order.key.clone(),
            endpoint: endpoint.clone(),
            repeat: order.repeat,
            shard: order.shard,
            shard_epoch: order.shard_epoch,
            dispatch_epoch: order.dispatch_epoch,
            dispatcher: order.dispatcher.clone(),
            start,
            end,
        }
    }
}

/// Orders refused before they began, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusals {
    /// A higher epoch was known.
    pub stale_epoch: u64,
    /// There was no live grant for the key.
    pub no_grant: u64,
    /// The deadline had passed, or the request was cancelled.
    pub expired: u64,
    /// The endpoint was leaving.
    pub draining: u64,
    /// The endpoint shed load.
    pub shed: u64,
}

impl Refusals {
    /// Counts one refusal.
    pub const fn add(&mut self, reason: RefusedReason) {
        let count = match reason {
            RefusedReason::StaleEpoch => &mut self.stale_epoch,
            RefusedReason::NoGrant => &mut self.no_grant,
            RefusedReason::Expired => &mut self.expired,
            RefusedReason::Draining => &mut self.draining,
            RefusedReason::Shed => &mut self.shed,
        };
        *count += 1;
    }

    /// All refusals.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.stale_epoch + self.no_grant + self.expired + self.draining + self.shed
    }
}

/// Journal of one endpoint since its process started, `GET /journal`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Orders that it can run at once.
    pub slots: u32,
    /// Most orders that ran at once.
    pub peak_running: u32,
    /// Orders whose bytes have arrived, also those that a frozen endpoint has
    /// not looked at.
    pub arrived: u64,
    /// Orders without the headers of an order.
    pub malformed: u64,
    /// Refusals by reason, before the order began.
    pub refused: Refusals,
    /// Orders that began and were refused or cancelled before the commit.
    pub not_committed: u64,
    /// Orders that began although a higher epoch of their shard had begun here.
    pub stale_begun: u64,
    /// Non-idempotent requests that were committed more than once here.
    pub ran_twice: Vec<RequestId>,
    /// Committed runs, in the order of commits.
    pub runs: Vec<Run>,
}

impl Journal {
    /// An empty journal.
    #[must_use]
    pub fn new(endpoint: EndpointName, slots: u32) -> Self {
        Self {
            endpoint,
            slots,
            peak_running: 0,
            arrived: 0,
            malformed: 0,
            refused: Refusals::default(),
            not_committed: 0,
            stale_begun: 0,
            ran_twice: Vec::new(),
            runs: Vec::new(),
        }
    }
}
