//! What the rest of the process asks of the peers duty.

use citronway_core::ids::{EndpointName, Epoch, Session};
use citronway_core::node::events::Ticket;
use citronway_core::outcome::Outcome;
use citronway_core::peer::PeerMessage;
use citronway_core::platform::ListedInstance;
use citronway_core::request::Request;

/// A command to the peers duty.
#[derive(Debug, Clone)]
pub enum PeerCommand {
    /// Keep connected to these instances.
    SetInstances(Vec<ListedInstance>),
    /// Hand a request to the dispatcher of an endpoint; ends in `ForwardDone`.
    Forward {
        /// Ticket for `ForwardDone`.
        ticket: Ticket,
        /// The dispatcher.
        to: Session,
        /// Endpoint that shall run it.
        endpoint: EndpointName,
        /// Epoch of the dispatcher.
        dispatch_epoch: Epoch,
        /// The request.
        request: Request,
    },
    /// Send a control message; dropped unless this very session is connected.
    Send {
        /// Receiver.
        to: Session,
        /// The message.
        message: PeerMessage,
    },
    /// Send a control message to every connected instance.
    Broadcast {
        /// The message.
        message: PeerMessage,
    },
    /// Answer a request that came in as `Forwarded`.
    Reply {
        /// Ticket of `Forwarded`.
        ticket: Ticket,
        /// The outcome.
        outcome: Outcome,
    },
    /// Send what has been given, then end.
    Stop,
}
