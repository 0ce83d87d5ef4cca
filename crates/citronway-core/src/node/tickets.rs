//! Numbers that tie answers to what asked for them.

use indexmap::IndexMap;

use crate::gateway::crashes::Fingerprint;
use crate::ids::{EndpointName, Epoch, ServiceName, Session};

use super::events::Ticket;

/// Who waits for the outcome of a dispatched request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller of this instance.
    Caller(Ticket),
    /// Another entry that forwarded it.
    Peer(Ticket),
}

/// What an answer is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A caller's request that was forwarded.
    Forward { caller: Ticket },
    /// A request in the hands of a dispatcher of this instance.
    Dispatched {
        origin: Origin,
        /// Its work, where anything was under suspicion.
        work: Option<Fingerprint>,
    },
    /// An order, grant or revocation of a dispatcher of this instance.
    Endpoint {
        endpoint: EndpointName,
        epoch: Epoch,
        ticket: Ticket,
        /// Work of an order.
        work: Option<Fingerprint>,
    },
    /// A probe that a dispatcher elsewhere asked for.
    Probe {
        endpoint: EndpointName,
        asked_by: Session,
    },
    /// A read of a hold.
    HoldRead { endpoint: EndpointName, read: u64 },
    /// A write of a hold.
    HoldWrite {
        endpoint: EndpointName,
        write: u64,
        value: String,
    },
    /// A read or write of a planner.
    Planner {
        service: ServiceName,
        ticket: Ticket,
    },
}

/// Tickets that wait for their answer.
#[derive(Debug, Default)]
pub(super) struct Tickets {
    last: Ticket,
    purposes: IndexMap<Ticket, Purpose>,
}

impl Tickets {
    pub(super) fn draw(&mut self, purpose: Purpose) -> Ticket {
        self.last += 1;
        self.purposes.insert(self.last, purpose);
        self.last
    }

    /// Number of the next ticket.
    pub(super) const fn next(&self) -> Ticket {
        self.last + 1
    }

    /// What the answer is for; each ticket is answered once.
    pub(super) fn take(&mut self, ticket: Ticket) -> Option<Purpose> {
        self.purposes.swap_remove(&ticket)
    }
}
