//! What the endpoints' duty is asked to do.

use std::net::SocketAddr;

use citronway_core::ids::{EndpointName, RequestId};
use citronway_core::node::events::{Grant, Ticket};
use citronway_core::request::{Fence, Request};
use citronway_core::time::Mono;

/// A command to the endpoints' duty.
#[derive(Debug)]
pub enum EndpointCommand {
    /// Send an order; answered by `Event::OrderDone`.
    SendOrder {
        /// Ticket for the answer.
        ticket: Ticket,
        /// Endpoint that shall run it.
        to: Target,
        /// Most connections to the endpoint, control ones included.
        connections: u32,
        /// What fences the order.
        fence: Fence,
        /// End of the right to send it: not a byte of it may leave from then on.
        held_until: Mono,
        /// The request.
        request: Box<Request>,
    },
    /// Ask an endpoint not to run an order; answered by `Event::CancelDone`.
    Cancel {
        /// Endpoint asked.
        to: Target,
        /// The order.
        id: RequestId,
    },
    /// Grant shards or probe; answered by `Event::GrantDone`.
    Grant {
        /// Ticket for the answer.
        ticket: Ticket,
        /// Endpoint asked.
        to: Target,
        /// The grant.
        grant: Grant,
    },
    /// Take shards back; answered by `Event::GrantDone`.
    Revoke {
        /// Ticket for the answer.
        ticket: Ticket,
        /// Endpoint asked.
        to: Target,
        /// Shards taken back.
        grant: Grant,
    },
    /// Finish what is in progress, then end the thread.
    Stop,
}

/// An endpoint and where it is.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Target {
    /// Its name.
    pub endpoint: EndpointName,
    /// Its address.
    pub address: SocketAddr,
}
