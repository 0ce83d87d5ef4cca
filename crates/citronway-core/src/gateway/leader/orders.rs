//! Orders to endpoints and writes to the store that a leader requests, and their results.

use std::net::SocketAddr;

use crate::gateway::assignment::Assignment;
use crate::gateway::version::RowVersion;
use crate::ids::{EndpointStart, ServiceName};
use crate::time::Mono;

/// A contiguous range of keys, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Span {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
}

impl Span {
    /// Whether both spans have a key in common.
    #[must_use]
    pub const fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }
}

/// An operation that the caller carries out for a leader.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an order to an endpoint.
    Order(Order),
    /// Replace the stored row, provided that neither the row nor the leader has changed.
    Write {
        /// Service that the row belongs to.
        service: ServiceName,
        /// The new row.
        row: Assignment,
        /// Version that the stored row must have; zero if no row may exist.
        expected: RowVersion,
    },
}

/// A call to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// Service of the keys.
    pub service: ServiceName,
    /// Start of the endpoint that the order is addressed to.
    pub endpoint: EndpointStart,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Keys that the order is about.
    pub span: Span,
    /// Fencing token of the grant.
    pub fence: u64,
    /// Kind of the call.
    pub kind: OrderKind,
    /// When the call is abandoned and its connection closed.
    pub deadline: Mono,
    /// The call may only use a connection that was opened by this time.
    ///
    /// Failure guarded against: a leader is replaced while it cannot reach the store, and renews
    /// a grant at an endpoint that has restarted and so has lost the fence of the leader's
    /// successor. A connection ends with the process that accepted it.
    pub connect_by: Mono,
}

/// Kind of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Grants the keys, or renews their grant.
    Grant {
        /// Duration of the hold from the arrival of the order, in milliseconds.
        hold_ms: u64,
        /// Handover proof of the previous holder; `None` if it gave none.
        handover: Option<String>,
    },
    /// Renews the hold with a higher fence before a release, so that the holder refuses all
    /// earlier grants.
    Seal {
        /// Duration of the hold from the arrival of the order, in milliseconds.
        hold_ms: u64,
    },
    /// Revokes the keys; answered when the work on them has ended.
    Release,
}

/// Result of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    /// The endpoint carried out the order.
    Done {
        /// Handover proof for the next owner, which a release may return.
        handover: Option<String>,
    },
    /// The endpoint has seen a higher fence.
    Stale,
    /// Another start or another service listens on the address.
    NotThere,
    /// Nothing was sent: the endpoint accepted no connection.
    NotSent,
    /// Nothing was sent: this instance was too busy to begin before the deadline.
    TooLate,
    /// Nothing was sent: no connection had been opened by [`Order::connect_by`].
    NotConnected,
    /// No answer arrived; the order may still be carried out later.
    Lost,
}

impl OrderResult {
    /// Whether the endpoint certainly received nothing.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        match self {
            Self::NotSent | Self::TooLate | Self::NotConnected => true,
            Self::Done { .. } | Self::Stale | Self::NotThere | Self::Lost => false,
        }
    }
}

/// Result of a write to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteResult {
    /// The row was written and has this version.
    Done(Assignment, RowVersion),
    /// The row or the leader has changed.
    Conflict,
    /// The store did not carry out the write.
    NotDone,
    /// No answer arrived; the write may be carried out now or later.
    Unknown,
}
