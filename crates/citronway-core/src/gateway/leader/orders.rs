//! What a leader asks for and what comes back.

use std::net::SocketAddr;

use crate::gateway::assignment::Assignment;
use crate::ids::{EndpointStart, ServiceName, Version};
use crate::time::Mono;

/// Keys from first to last, both included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Span {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
}

impl Span {
    /// Whether the two have a key in common.
    #[must_use]
    pub const fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }
}

/// Something that a leader wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Tell an endpoint.
    Order(Order),
    /// Replace the stored row, if neither it nor the leader has changed.
    Write {
        /// Service whose row it is.
        service: ServiceName,
        /// The new row.
        row: Assignment,
        /// Version that the row must have; zero if there must be none.
        expected: Version,
    },
}

/// A call at an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// Service of the keys.
    pub service: ServiceName,
    /// Start of the endpoint that is meant.
    pub endpoint: EndpointStart,
    /// Where it listens.
    pub address: SocketAddr,
    /// Keys.
    pub span: Span,
    /// Fence of the grant.
    pub fence: u64,
    /// Which call.
    pub kind: OrderKind,
    /// Then the call is given up and its connection closed.
    pub deadline: Mono,
    /// The call goes only on a connection that was made by then.
    ///
    /// Failure guarded against: a leader that was replaced while it could not reach the store
    /// renews at an endpoint that has started again and remembers no fence of its successor.
    /// A connection ends with the process that took it.
    pub connect_by: Mono,
}

/// Which call an order is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Grants the keys, or renews the same grant.
    Grant {
        /// How long it holds from its arrival, in milliseconds.
        hold_ms: u64,
        /// Proof from the last holder, if there is one.
        handover: Option<String>,
    },
    /// A grant with a higher fence before a release: refuses all earlier grants.
    Seal {
        /// How long it holds from its arrival, in milliseconds.
        hold_ms: u64,
    },
    /// Takes the keys back; answered when work on them has ended.
    Release,
}

/// What came of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    /// Done; a release may bring a proof for the next owner.
    Done {
        /// Proof for the next owner.
        handover: Option<String>,
    },
    /// The endpoint has seen a higher fence.
    Stale,
    /// Another start or another service has the address.
    NotThere,
    /// Nothing was sent: the endpoint takes no connection.
    NotSent,
    /// Nothing was sent: this instance was too busy to begin in time.
    TooLate,
    /// Nothing was sent: no connection was made early enough.
    NotConnected,
    /// No answer; it may be carried out later.
    Lost,
}

impl OrderResult {
    /// Whether it is certain that the endpoint got nothing.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        match self {
            Self::NotSent | Self::TooLate | Self::NotConnected => true,
            Self::Done { .. } | Self::Stale | Self::NotThere | Self::Lost => false,
        }
    }
}

/// What came of a write.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteResult {
    /// The row stands at this version.
    Done(Assignment, Version),
    /// The row or the leader has changed.
    Conflict,
    /// The store did nothing.
    NotDone,
    /// No answer; it may be done, now or later.
    Unknown,
}
