//! An order as its headers tell it, and the answer to it.

use bytes::Bytes;
use citronway_core::ids::{EndpointName, Epoch, Key, RequestId, ServiceName, ShardId};
use citronway_core::request::Repeat;
use citronway_core::time::Wall;
use http::{HeaderMap, Method, Request};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use uuid::Uuid;

use crate::http::percent;

/// Header that names the request in orders and answers.
pub const REQUEST_ID: &str = "citronway-request-id";
/// Header of an answer that says that the order did not and will not run.
pub const REFUSED: &str = "citronway-refused";

const SERVICE: &str = "citronway-service";
const KEY: &str = "citronway-key";
const SHARD: &str = "citronway-shard";
const SHARD_EPOCH: &str = "citronway-shard-epoch";
const DISPATCH_EPOCH: &str = "citronway-dispatch-epoch";
const DISPATCHER: &str = "citronway-dispatcher";
const DEADLINE: &str = "citronway-deadline-ms";

/// A header of an order is missing or malformed.
#[derive(Debug, Clone, Error)]
#[error("header {header} is missing or malformed")]
pub struct BadOrder {
    /// Name of the header.
    pub header: &'static str,
}

/// An order to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The request.
    pub id: RequestId,
    /// Service it is for.
    pub service: ServiceName,
    /// Key it is for.
    pub key: Key,
    /// Shard of the key.
    pub shard: ShardId,
    /// Epoch of the shard's owner.
    pub shard_epoch: Epoch,
    /// Epoch of the dispatcher.
    pub dispatch_epoch: Epoch,
    /// The dispatcher, `instance#session`.
    pub dispatcher: String,
    /// After this it must not begin and must not be committed.
    pub deadline: Wall,
    /// GET and HEAD are idempotent, all else is not.
    pub repeat: Repeat,
}

impl Order {
    /// Reads the headers of an order.
    ///
    /// # Errors
    ///
    /// If one is missing or malformed.
    pub fn read(req: &Request<Bytes>) -> Result<Self, BadOrder> {
        let headers = req.headers();
        let id = Uuid::parse_str(text(headers, REQUEST_ID)?)
            .map_err(|_not_a_uuid| BadOrder { header: REQUEST_ID })?;
        let key = percent::decode(text(headers, KEY)?).ok_or(BadOrder { header: KEY })?;
        Ok(Self {
            id: RequestId(id),
            service: ServiceName::new(text(headers, SERVICE)?),
            key: Key::new(&key),
            shard: ShardId(number(headers, SHARD)?),
            shard_epoch: Epoch(number(headers, SHARD_EPOCH)?),
            dispatch_epoch: Epoch(number(headers, DISPATCH_EPOCH)?),
            dispatcher: text(headers, DISPATCHER)?.to_owned(),
            deadline: Wall(number(headers, DEADLINE)?),
            repeat: repeat(req.method()),
        })
    }

    /// Puts the headers of the order on a request.
    #[must_use]
    pub fn write(&self, req: http::request::Builder) -> http::request::Builder {
        req.header(REQUEST_ID, self.id.to_string())
            .header(SERVICE, self.service.as_str())
            .header(KEY, percent::encode(self.key.as_str()))
            .header(SHARD, self.shard.0)
            .header(SHARD_EPOCH, self.shard_epoch.0)
            .header(DISPATCH_EPOCH, self.dispatch_epoch.0)
            .header(DISPATCHER, &self.dispatcher)
            .header(DEADLINE, self.deadline.0)
    }
}

/// Body of an answer; it says whose answer it is, so that a caller can tell a
/// wrong one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// The request it answers.
    pub request_id: RequestId,
    /// Service.
    pub service: ServiceName,
    /// Key.
    pub key: Key,
    /// Endpoint that ran it.
    pub endpoint: EndpointName,
    /// Path and query that the endpoint saw.
    pub path: String,
    /// Bytes of the body that the endpoint saw.
    pub body_bytes: usize,
}

fn repeat(method: &Method) -> Repeat {
    match *method {
        Method::GET | Method::HEAD => Repeat::Idempotent,
        _ => Repeat::NonIdempotent,
    }
}

fn text<'a>(headers: &'a HeaderMap, header: &'static str) -> Result<&'a str, BadOrder> {
    headers
        .get(header)
        .and_then(|value| value.to_str().ok())
        .ok_or(BadOrder { header })
}

fn number(headers: &HeaderMap, header: &'static str) -> Result<u64, BadOrder> {
    text(headers, header)?
        .parse()
        .map_err(|_not_a_number| BadOrder { header })
}
