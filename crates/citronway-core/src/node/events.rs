//! What happens to an entry instance, and what it does.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{
    EndpointName, Epoch, InstanceName, Key, RequestId, ServiceName, Session, ShardId,
};
use crate::outcome::{Answer, Outcome};
use crate::peer::PeerMessage;
use crate::platform::{ConditionalPut, InstanceList, Row, WriteOutcome};
use crate::request::{Fence, Labels, Repeat, Request};
use crate::shard::HashRange;
use crate::time::{Mono, Now, Wall};

/// Number that ties an answer to what asked for it, unique within a process.
pub type Ticket = u64;

/// Something that happened to the instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// Time has passed; sent at least every 20 ms.
    Tick,
    /// A caller sent a request to this instance.
    Caller {
        /// Ticket for [`Action::Reply`].
        ticket: Ticket,
        /// The request.
        request: CallerRequest,
    },
    /// The caller of a ticket has gone; its outcome is not wanted any more.
    CallerGone {
        /// Ticket of the request.
        ticket: Ticket,
    },
    /// Another entry forwards a request to this instance as dispatcher.
    Forwarded {
        /// Ticket for [`Action::Reply`].
        ticket: Ticket,
        /// Endpoint that the entry chose.
        endpoint: EndpointName,
        /// Epoch of the dispatcher that the entry knows.
        dispatch_epoch: Epoch,
        /// The request.
        request: Request,
    },
    /// Outcome of [`Action::Forward`].
    ForwardDone {
        /// Ticket of the forward.
        ticket: Ticket,
        /// Outcome as the dispatcher gave it, or as the transport makes it:
        /// not run if it was never handed on, may have run otherwise.
        outcome: Outcome,
    },
    /// Outcome of [`Action::SendOrder`].
    OrderDone {
        /// Ticket of the order.
        ticket: Ticket,
        /// What came back.
        reply: OrderReply,
    },
    /// Something listens at an endpoint whose connection has just broken: it was cut.
    EndpointLives {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// Outcome of [`Action::Cancel`].
    CancelDone {
        /// Endpoint asked.
        endpoint: EndpointName,
        /// Request to cancel.
        id: RequestId,
        /// The endpoint's word that the request does not run and never will.
        confirmed: bool,
    },
    /// Outcome of [`Action::Grant`] (which doubles as a probe) or [`Action::Revoke`].
    GrantDone {
        /// Endpoint asked.
        endpoint: EndpointName,
        /// Ticket of the grant or revocation.
        ticket: Ticket,
        /// What came back.
        report: ProbeReport,
    },
    /// A control message from another instance.
    Peer {
        /// Session that sent it.
        from: Session,
        /// The message.
        message: PeerMessage,
    },
    /// A session was greeted, of another instance or this one at its own listed
    /// address; repeated while it answers, since rows that are learnt later may
    /// name earlier sessions.
    PeerUp {
        /// The session.
        session: Session,
        /// It answered at the listed address of its instance, so an earlier
        /// session there is gone. A session that calls proves no such thing: it
        /// may be the earlier one, back from a pause.
        at_its_address: bool,
    },
    /// No connection to an instance at present.
    PeerDown {
        /// The instance.
        instance: InstanceName,
    },
    /// Rows read from the store; `complete` ones stand for the whole table.
    RowsRead {
        /// Table that was read.
        table: String,
        /// All its rows.
        rows: Vec<Row>,
        /// When it was asked for.
        asked: Now,
    },
    /// One row read from the store, or `None` if it does not exist.
    RowRead {
        /// Ticket of the read.
        ticket: Ticket,
        /// The row.
        row: Option<Row>,
    },
    /// A read failed or timed out.
    ReadFailed {
        /// Ticket of the read, 0 for a table.
        ticket: Ticket,
    },
    /// Outcome of [`Action::Write`].
    WriteDone {
        /// Ticket of the write.
        ticket: Ticket,
        /// What became of it.
        outcome: WriteOutcome,
    },
    /// The platform's instance list was read.
    Instances {
        /// The list.
        list: InstanceList,
        /// When its reading began.
        asked: Now,
    },
    /// The process was asked to stop.
    Stop,
}

/// A request as a caller sent it, before selectors have decided on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// Identity: the `Idempotency-Key`, or drawn by the entry for idempotent work.
    pub id: RequestId,
    /// Service it is for.
    pub service: ServiceName,
    /// Key it is for.
    pub key: Key,
    /// Labels of the caller; `tenant` names the tenant.
    pub labels: Labels,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// After this it is of no use to the caller.
    pub deadline: Wall,
    /// HTTP method for the endpoint.
    pub method: String,
    /// Path and query for the endpoint.
    pub path: String,
    /// Media type of the body, if stated.
    pub content_type: Option<String>,
    /// Body, complete.
    pub body: bytes::Bytes,
}

/// What came back for an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum OrderReply {
    /// A whole answer that names this request.
    Answered {
        /// The answer.
        answer: Answer,
    },
    /// The endpoint refused it: it did not run.
    Refused {
        /// Its reason.
        reason: RefusedReason,
    },
    /// No connection: not a byte was written.
    NotSent,
    /// The connection broke after bytes were written, or the answer was cut.
    Lost,
    /// The answer was complete but did not belong to this request.
    Foreign,
    /// No answer by the deadline; the connection was closed.
    Timeout,
}

/// Why an endpoint refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusedReason {
    /// A higher epoch is known to it.
    StaleEpoch,
    /// It has no live grant for the shard.
    NoGrant,
    /// Its deadline has passed.
    Expired,
    /// It is leaving.
    Draining,
    /// It sheds load.
    Shed,
}

/// What an endpoint says about itself in answer to a grant, revocation or probe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "probe", rename_all = "snake_case")]
pub enum ProbeReport {
    /// It answered.
    Answered {
        /// It knows a higher epoch than the one in the grant.
        stale_epoch: bool,
        /// It is leaving and takes no new work.
        draining: bool,
        /// Orders that it says are running.
        running: u32,
        /// It says that it has just started and is slow.
        cold: bool,
    },
    /// No answer in time, or no connection.
    Failed,
}

/// Something the process has to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Action {
    /// Give the outcome to whoever asked under this ticket.
    Reply {
        /// Ticket of [`Event::Caller`] or [`Event::Forwarded`].
        ticket: Ticket,
        /// The outcome.
        outcome: Outcome,
    },
    /// Hand a request to another instance, the endpoint's dispatcher.
    Forward {
        /// Ticket for [`Event::ForwardDone`].
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
    /// Send an order to an endpoint.
    SendOrder {
        /// Ticket for [`Event::OrderDone`].
        ticket: Ticket,
        /// The endpoint.
        endpoint: EndpointName,
        /// Its address.
        address: SocketAddr,
        /// Most connections to it.
        connections: u32,
        /// What fences the order.
        fence: Fence,
        /// End of the right to send it: not a byte of it may leave from then on.
        held_until: Mono,
        /// The request.
        request: Request,
    },
    /// Ask an endpoint not to run an order, or to stop it.
    Cancel {
        /// The endpoint.
        endpoint: EndpointName,
        /// Its address.
        address: SocketAddr,
        /// The request.
        id: RequestId,
    },
    /// Grant shards to an endpoint until an end, or renew them; doubles as a probe.
    Grant {
        /// Ticket for [`Event::GrantDone`].
        ticket: Ticket,
        /// The endpoint.
        endpoint: EndpointName,
        /// Its address.
        address: SocketAddr,
        /// The grant; empty shards make it a mere probe.
        grant: Grant,
    },
    /// Take shards back from an endpoint.
    Revoke {
        /// Ticket for [`Event::GrantDone`].
        ticket: Ticket,
        /// The endpoint.
        endpoint: EndpointName,
        /// Its address.
        address: SocketAddr,
        /// Shards with the epochs that end; `end` has no meaning.
        grant: Grant,
    },
    /// Send a control message to a session.
    Send {
        /// The session.
        to: Session,
        /// The message.
        message: PeerMessage,
    },
    /// Send a control message to every instance that is connected.
    Broadcast {
        /// The message.
        message: PeerMessage,
    },
    /// Read a whole table from the store.
    ReadTable {
        /// Its name.
        table: String,
    },
    /// Read one row from the store.
    ReadRow {
        /// Ticket for [`Event::RowRead`].
        ticket: Ticket,
        /// The row.
        at: crate::platform::RowKey,
    },
    /// Write to the store, all or nothing.
    Write {
        /// Ticket for [`Event::WriteDone`].
        ticket: Ticket,
        /// The writes.
        puts: Vec<ConditionalPut>,
    },
    /// Nothing is left to finish; the process may exit.
    Exit,
}

/// Right to serve shards until an end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Epoch of the dispatcher.
    pub dispatch_epoch: Epoch,
    /// The dispatcher.
    pub dispatcher: Session,
    /// End on the wall clock, fixed by the sender before it sends.
    pub end: Wall,
    /// Shards granted.
    pub shards: Vec<GrantedShard>,
}

/// One shard of a grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedShard {
    /// Service of the shard.
    pub service: ServiceName,
    /// The shard.
    pub shard: ShardId,
    /// Its epoch.
    pub epoch: Epoch,
    /// Its part of the key space.
    pub range: HashRange,
}
