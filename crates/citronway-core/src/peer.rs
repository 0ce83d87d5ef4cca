//! Control messages between instances.

use serde::{Deserialize, Serialize};

use crate::dispatch::fingerprint::Fingerprint;
use crate::gateway::crashes::Sign;
use crate::ids::{EndpointName, Epoch, RequestId, Session, Version};
use crate::outcome::Outcome;
use crate::platform::Row;
use crate::time::Wall;

/// A control message from one instance to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum PeerMessage {
    /// The sender lives, and knows these versions.
    Heartbeat(Heartbeat),
    /// Rows the sender knows; the receiver keeps those newer than its own.
    Rows {
        /// Rows with their versions.
        rows: Vec<Row>,
    },
    /// Concerns the hold of one endpoint.
    Hold {
        /// Endpoint whose dispatch row it is about.
        endpoint: EndpointName,
        /// The message itself.
        message: HoldMessage,
    },
    /// An endpoint does not answer any of its possible dispatchers.
    EndpointLost(EndpointLost),
    /// A shard's old owner has no grant and no work for it any more.
    ShardReleased(ShardReleased),
    /// Load of an endpoint, for the planner.
    Load(EndpointLoad),
    /// An endpoint does not answer its dispatcher; the successor shall try it.
    Probe {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// Whether a successor reaches the endpoint that it was asked to try.
    Probed {
        /// The endpoint.
        endpoint: EndpointName,
        /// It answered.
        reached: bool,
    },
}

/// Sign of life.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Version of the configuration in force at the sender.
    pub config: Version,
    /// Milliseconds since the sender last heard from the store, itself or through a peer.
    pub store_age_ms: u64,
    /// The sender is shutting down.
    pub leaving: bool,
    /// Number of the first of the signs.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub first_sign: u64,
    /// What it saw of work that may crash endpoints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub signs: Vec<Sign>,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Message about the hold of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "hold", rename_all = "snake_case")]
pub enum HoldMessage {
    /// The dispatcher asks a successor for a promise.
    Ask {
        /// Epoch of the asking dispatcher.
        epoch: Epoch,
        /// Version of the dispatch row that the dispatcher goes by.
        row_version: Version,
        /// Number of the question; answers repeat it.
        round: u64,
        /// How long the promise shall last, in milliseconds.
        duration_ms: u64,
    },
    /// The successor promises to write no new row for the stated time.
    Promise {
        /// Epoch it is given to.
        epoch: Epoch,
        /// Question it answers.
        round: u64,
    },
    /// The successor gives no promise.
    Refuse {
        /// Epoch that asked.
        epoch: Epoch,
        /// Question it answers.
        round: u64,
        /// Version of the newest dispatch row it knows.
        row_version: Version,
    },
    /// The sender will never again write a row under this or an earlier version.
    Renounce {
        /// Version of the row on which the sender is listed.
        row_version: Version,
    },
    /// The dispatcher has stopped for good and offers its role at once.
    Handover {
        /// Epoch that has ended.
        epoch: Epoch,
        /// Version of the dispatch row.
        row_version: Version,
        /// What it knew of requests, so that no new floor is needed.
        known: KnownRequests,
    },
}

/// What a dispatcher knows of non-idempotent requests, for its successor.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct KnownRequests {
    /// Every id created at or after this is among the requests, if it was sent.
    pub floor: Wall,
    /// The requests.
    pub requests: Vec<KnownRequest>,
}

/// What a dispatcher knows of a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRequest {
    /// Identity.
    pub id: RequestId,
    /// What it asked for, or `None` if an earlier dispatcher did not tell.
    #[serde(default)]
    pub fingerprint: Option<Fingerprint>,
    /// Its outcome, or `None` if it has none yet or it is no longer kept.
    pub outcome: Option<Outcome>,
}

/// Report to the planner that an endpoint is lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLost {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Epoch of the reporting dispatcher, which has stopped sending.
    pub dispatch_epoch: Epoch,
    /// Whether no grant of it is live any more; its shards follow one by one.
    pub quiet: bool,
}

/// Report to the planner that a shard may get its new owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardReleased {
    /// Service of the shard.
    pub service: crate::ids::ServiceName,
    /// The shard.
    pub shard: crate::ids::ShardId,
    /// Epoch under which it was held.
    pub epoch: Epoch,
    /// Old owner.
    pub from: EndpointName,
    /// Dispatcher that released it.
    pub dispatcher: Session,
    /// Ids created before this may have run there; 0 if it was not told.
    #[serde(default)]
    pub floor: Wall,
}

/// Load of an endpoint as its dispatcher sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Requests begun since the last report.
    pub requests: u64,
    /// Mean time an order took, in milliseconds.
    pub service_ms: u64,
    /// Requests waiting.
    pub queued: u64,
    /// It takes no new work, by its own word or the operator's.
    #[serde(default)]
    pub draining: bool,
    /// Hottest keys by hash with requests since the last report.
    pub hot: Vec<HotKey>,
    /// Requests per shard since the last report.
    pub shards: Vec<ShardLoad>,
}

/// A hot key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotKey {
    /// Service of the key.
    pub service: crate::ids::ServiceName,
    /// Hash of the key.
    pub hash: crate::shard::KeyHash,
    /// Requests since the last report.
    pub requests: u64,
}

/// Load of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLoad {
    /// Service of the shard.
    pub service: crate::ids::ServiceName,
    /// The shard.
    pub shard: crate::ids::ShardId,
    /// Requests since the last report.
    pub requests: u64,
}
