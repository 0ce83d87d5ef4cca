//! Events and actions of a dispatcher.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config::Endpoint;
use crate::ids::{Epoch, Key, RequestId, ServiceName, ShardId};
use crate::node::events::{Grant, OrderReply, ProbeReport, Ticket};
use crate::outcome::{NotRun, NotRunReason, Outcome};
use crate::request::{Fence, Request};
use crate::shard::{HashRange, KeyHash};
use crate::time::{Now, Wall};

/// Time of an event, and whether the dispatcher may act on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// Time of the event.
    pub now: Now,
    /// Whether the instance holds the dispatcher's role at this time.
    pub may_act: bool,
}

/// Reference to a shard of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardRef {
    /// The service.
    pub service: ServiceName,
    /// Number of the shard.
    pub shard: ShardId,
}

/// A shard and one of its epochs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardEpoch {
    /// The shard.
    pub at: ShardRef,
    /// The epoch.
    pub epoch: Epoch,
}

/// Reference to a key of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyRef {
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: Key,
}

/// Keys of a service whose hashes lie in a range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRange {
    /// The service.
    pub service: ServiceName,
    /// The range.
    pub range: HashRange,
}

impl KeyRange {
    /// Whether the key lies in the range.
    #[must_use]
    pub fn has(&self, key: &KeyRef) -> bool {
        let hash = KeyHash::of(&key.key);
        key.service == self.service && self.range.first <= hash && hash <= self.range.last
    }
}

impl OwnedShard {
    /// Keys that may belong to the shard.
    ///
    /// Failure guarded against: a hot key gets a shard of its own while its
    /// requests are queued or in flight under the surrounding shard. If they were
    /// matched by shard number, the hot shard would look idle and move, and two
    /// endpoints would work on the key. So requests are matched by key hash.
    #[must_use]
    pub fn key_range(&self) -> KeyRange {
        KeyRange {
            service: self.at.service.clone(),
            range: self.range,
        }
    }

    /// Whether the two shards may have keys in common.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        self.at.service == other.at.service
            && self.range.first <= other.range.last
            && other.range.first <= self.range.last
    }

    /// Whether this is the shard of a single hot key.
    #[must_use]
    pub fn is_hot(&self) -> bool {
        self.range.first == self.range.last
    }
}

/// A shard that is assigned to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedShard {
    /// The shard.
    pub at: ShardRef,
    /// Epoch of the assignment.
    pub epoch: Epoch,
    /// Key hashes of the shard.
    pub range: HashRange,
    /// Request ids created before this may have run under an earlier owner.
    pub floor: Wall,
    /// The shard is moving to another owner: drain and release it.
    pub moving: bool,
}

/// Input of a dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum DispatchEvent {
    /// A request was submitted.
    Submit {
        /// Ticket of the submission, for the reply.
        origin: Ticket,
        /// Shard of the key.
        shard: ShardId,
        /// The request.
        request: Request,
    },
    /// The caller of a request has gone.
    Cancel {
        /// Ticket of the submission.
        origin: Ticket,
    },
    /// Outcome of [`DispatchAction::SendOrder`].
    OrderDone {
        /// Ticket of the order.
        ticket: Ticket,
        /// Outcome of the order.
        reply: OrderReply,
    },
    /// Outcome of [`DispatchAction::Cancel`].
    CancelDone {
        /// The request.
        id: RequestId,
        /// Whether the endpoint confirmed that the order does not run and never
        /// will.
        confirmed: bool,
    },
    /// Outcome of [`DispatchAction::Grant`] or [`DispatchAction::Revoke`].
    GrantDone {
        /// Ticket of the message.
        ticket: Ticket,
        /// Outcome of the message.
        report: ProbeReport,
    },
    /// The assignment changed; these are all shards of the endpoint.
    SetShards {
        /// The shards.
        shards: Vec<OwnedShard>,
    },
    /// The endpoint's configuration changed.
    SetEndpoint {
        /// The new configuration.
        endpoint: Box<Endpoint>,
    },
    /// The role is given up; nothing is sent from now on.
    Retire {
        /// Reason that queued requests are refused with.
        reason: NotRunReason,
    },
    /// Time has passed.
    Tick,
}

/// Output of a dispatcher: an action for its host to carry out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum DispatchAction {
    /// Send the final outcome of a request to its caller.
    Reply {
        /// Ticket of the submission.
        origin: Ticket,
        /// The outcome.
        outcome: Outcome,
    },
    /// Answer the caller, finally, that the request is invalid.
    Reject {
        /// Ticket of the submission.
        origin: Ticket,
        /// Fault of the request.
        fault: RequestFault,
    },
    /// Send an order to the endpoint.
    SendOrder {
        /// Ticket for [`DispatchEvent::OrderDone`].
        ticket: Ticket,
        /// Fencing token of the order.
        fence: Fence,
        /// The request, with the deadline of the order.
        request: Request,
    },
    /// Ask the endpoint to cancel an order.
    Cancel {
        /// The request.
        id: RequestId,
    },
    /// Grant shards to the endpoint; without shards, only probe it.
    Grant {
        /// Ticket for [`DispatchEvent::GrantDone`].
        ticket: Ticket,
        /// The grant.
        grant: Grant,
    },
    /// Revoke shards from the endpoint.
    Revoke {
        /// Ticket for [`DispatchEvent::GrantDone`].
        ticket: Ticket,
        /// The shards; `end` is unused.
        grant: Grant,
    },
    /// Report that the endpoint no longer holds the shard; repeated until the
    /// assignment changes.
    ShardReleased {
        /// The shard.
        at: ShardRef,
        /// Epoch under which it was held.
        epoch: Epoch,
        /// Request ids created before this may have run here.
        floor: Wall,
    },
    /// Report that the endpoint does not answer; repeated while it does not.
    EndpointLost {
        /// Whether no grant of the endpoint is live any more. Its shards are then
        /// released one by one, as soon as no order for their keys can act.
        quiet: bool,
    },
    /// Report that the endpoint answers again.
    EndpointBack,
    /// Report that the endpoint knows a higher epoch: this instance's rows are
    /// stale.
    Superseded,
}

/// Fault of an invalid request. The request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum RequestFault {
    /// The id was used before for a request with another service, key or content.
    #[error("the id was used before for other work")]
    IdReused,
    /// The id does not contain its time of creation.
    #[error("the id is not a UUID of version 7")]
    IdWithoutTime,
    /// The id was created in the future.
    #[error("the id was created {ahead_ms} ms in the future")]
    IdAhead {
        /// Time beyond the allowed bound, in milliseconds.
        ahead_ms: u64,
    },
}

impl RequestFault {
    /// The fault as an outcome, for callers that only receive outcomes.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        let retry_after_ms = match self {
            Self::IdReused | Self::IdWithoutTime => 0,
            Self::IdAhead { ahead_ms } => ahead_ms,
        };
        Outcome::NotRun(NotRun::new(NotRunReason::BadId, retry_after_ms))
    }
}
