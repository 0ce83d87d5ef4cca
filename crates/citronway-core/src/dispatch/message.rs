//! What a dispatcher is told and what it answers.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config::Endpoint;
use crate::ids::{Epoch, Key, RequestId, ServiceName, ShardId};
use crate::node::events::{Grant, OrderReply, ProbeReport, Ticket};
use crate::outcome::{NotRun, NotRunReason, Outcome};
use crate::request::{Fence, Request};
use crate::shard::{HashRange, KeyHash};
use crate::time::{Now, Wall};

/// The moment of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The present time.
    pub now: Now,
    /// Whether the instance holds the dispatcher's role at this moment.
    pub may_act: bool,
}

/// A shard among all services.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardRef {
    /// Its service.
    pub service: ServiceName,
    /// Its number.
    pub shard: ShardId,
}

/// A shard under one of its epochs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardEpoch {
    /// The shard.
    pub at: ShardRef,
    /// The epoch.
    pub epoch: Epoch,
}

/// A key among all services.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyRef {
    /// Its service.
    pub service: ServiceName,
    /// The key.
    pub key: Key,
}

/// Keys of a service that hash into a range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRange {
    /// The service.
    pub service: ServiceName,
    /// The range.
    pub range: HashRange,
}

impl KeyRange {
    /// Whether the key is one of them.
    #[must_use]
    pub fn has(&self, key: &KeyRef) -> bool {
        let hash = KeyHash::of(&key.key);
        key.service == self.service && self.range.first <= hash && hash <= self.range.last
    }
}

impl OwnedShard {
    /// Keys that may belong to the shard.
    ///
    /// Failure guarded against: a hot key gets a shard of its own while its work
    /// is queued or in flight under the shard of the range around it. Told by
    /// shard numbers, the hot shard would look idle, move, and the key would be
    /// worked on by two endpoints. So work is told by the place of its key.
    #[must_use]
    pub fn key_range(&self) -> KeyRange {
        KeyRange {
            service: self.at.service.clone(),
            range: self.range,
        }
    }

    /// Whether the two may have keys in common.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        self.at.service == other.at.service
            && self.range.first <= other.range.last
            && other.range.first <= self.range.last
    }

    /// Whether it is the shard of a single hot key.
    #[must_use]
    pub fn is_hot(&self) -> bool {
        self.range.first == self.range.last
    }
}

/// A shard that the assignment gives to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedShard {
    /// The shard.
    pub at: ShardRef,
    /// Its epoch.
    pub epoch: Epoch,
    /// Its part of the key space.
    pub range: HashRange,
    /// Ids created before this may have run under an earlier owner.
    pub floor: Wall,
    /// It is on its way to another owner: finish and release it.
    pub moving: bool,
}

/// Something that happened to a dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum DispatchEvent {
    /// A request came in.
    Submit {
        /// Whom to reply to.
        origin: Ticket,
        /// Shard of its key.
        shard: ShardId,
        /// The request.
        request: Request,
    },
    /// The caller of a request has gone.
    Cancel {
        /// Whom it would have been replied to.
        origin: Ticket,
    },
    /// Outcome of [`DispatchAction::SendOrder`].
    OrderDone {
        /// Ticket of the order.
        ticket: Ticket,
        /// What came back.
        reply: OrderReply,
    },
    /// Outcome of [`DispatchAction::Cancel`].
    CancelDone {
        /// The request.
        id: RequestId,
        /// The endpoint's word that it does not run and never will.
        confirmed: bool,
    },
    /// Outcome of [`DispatchAction::Grant`] or [`DispatchAction::Revoke`].
    GrantDone {
        /// Ticket of the message.
        ticket: Ticket,
        /// What came back.
        report: ProbeReport,
    },
    /// The shards of the endpoint, all of them.
    SetShards {
        /// The shards.
        shards: Vec<OwnedShard>,
    },
    /// The endpoint's configuration.
    SetEndpoint {
        /// The configuration.
        endpoint: Box<Endpoint>,
    },
    /// The role is given up; nothing is sent any more.
    Retire {
        /// Reason for the requests that wait.
        reason: NotRunReason,
    },
    /// Time has passed.
    Tick,
}

/// Something that has to be done for a dispatcher.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum DispatchAction {
    /// Give the final outcome to whoever asked.
    Reply {
        /// Whom to reply to.
        origin: Ticket,
        /// The outcome.
        outcome: Outcome,
    },
    /// Tell whoever asked, finally, that the request cannot be taken as it is.
    Reject {
        /// Whom to reply to.
        origin: Ticket,
        /// What is wrong with it.
        fault: RequestFault,
    },
    /// Send an order to the endpoint.
    SendOrder {
        /// Ticket for [`DispatchEvent::OrderDone`].
        ticket: Ticket,
        /// What fences the order.
        fence: Fence,
        /// The request; its deadline is the order's.
        request: Request,
    },
    /// Ask the endpoint not to run an order, or to stop it.
    Cancel {
        /// The request.
        id: RequestId,
    },
    /// Grant shards to the endpoint, or probe it if there are none.
    Grant {
        /// Ticket for [`DispatchEvent::GrantDone`].
        ticket: Ticket,
        /// The grant.
        grant: Grant,
    },
    /// Take shards back from the endpoint.
    Revoke {
        /// Ticket for [`DispatchEvent::GrantDone`].
        ticket: Ticket,
        /// The shards; `end` has no meaning.
        grant: Grant,
    },
    /// The endpoint holds nothing of the shard any more; repeated until the
    /// assignment changes.
    ShardReleased {
        /// The shard.
        at: ShardRef,
        /// Epoch under which it was held.
        epoch: Epoch,
        /// Ids created before this may have run here.
        floor: Wall,
    },
    /// The endpoint does not answer; repeated while that lasts.
    EndpointLost {
        /// No grant of it is live any more; its shards are released one by one,
        /// as soon as no order for their keys can act.
        quiet: bool,
    },
    /// The endpoint answers again.
    EndpointBack,
    /// The endpoint knows a higher epoch: the rows known here are old.
    Superseded,
}

/// What makes a request impossible to take. None of it was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum RequestFault {
    /// The id was used before for another service, key or content.
    #[error("the id was used before for other work")]
    IdReused,
    /// The id does not hold its time of creation.
    #[error("the id is not a UUID of version 7")]
    IdWithoutTime,
    /// The id was created in the future.
    #[error("the id was created {ahead_ms} ms in the future")]
    IdAhead {
        /// How far beyond the bound, in milliseconds.
        ahead_ms: u64,
    },
}

impl RequestFault {
    /// The outcome for callers that are told no more than an outcome.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        let retry_after_ms = match self {
            Self::IdReused | Self::IdWithoutTime => 0,
            Self::IdAhead { ahead_ms } => ahead_ms,
        };
        Outcome::NotRun(NotRun::new(NotRunReason::BadId, retry_after_ms))
    }
}
