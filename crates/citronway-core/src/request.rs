//! A caller's request, as entries and dispatchers pass it on.

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{ClassName, Epoch, Key, RequestId, ServiceName, Session, ShardId};
use crate::time::Wall;

/// Labels of a caller or an endpoint.
pub type Labels = IndexMap<String, String>;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Running it again changes nothing.
    Idempotent,
    /// It must run at most once.
    NonIdempotent,
}

/// A request on its way from an entry to the endpoint that owns its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Identity; the same for all tries.
    pub id: RequestId,
    /// Service it is for.
    pub service: ServiceName,
    /// Key it is for.
    pub key: Key,
    /// Tenant of the caller, for metrics and limits.
    pub tenant: String,
    /// Class that the selectors put it in.
    pub class: ClassName,
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
    pub body: Bytes,
}

/// What fences an order to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// Shard that the key belongs to.
    pub shard: ShardId,
    /// Epoch of the shard's owner.
    pub shard_epoch: Epoch,
    /// Epoch of the endpoint's dispatcher.
    pub dispatch_epoch: Epoch,
    /// The dispatcher itself.
    pub dispatcher: Session,
}
