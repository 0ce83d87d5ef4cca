//! Requests.

use bytes::Bytes;
use citronway_core::ids::{ClassName, EndpointName, Epoch, Key, ServiceName};
use citronway_core::request::{Repeat, Request};
use citronway_core::time::Wall;

use super::Field;
use crate::WireError;
use crate::limits::{
    MAX_BODY_BYTES, MAX_CONTENT_TYPE_BYTES, MAX_KEY_BYTES, MAX_METHOD_BYTES, MAX_NAME_BYTES,
    MAX_PATH_BYTES,
};
use crate::peer_capnp::{self as wire, link, request};

const ENDPOINT: Field = Field::new("forward.endpoint", MAX_NAME_BYTES);
const REQUEST: Field = Field::new("forward.request", 0);
const ID: Field = Field::new("request.id", usize::MAX);
const SERVICE: Field = Field::new("request.service", MAX_NAME_BYTES);
const KEY: Field = Field::new("request.key", MAX_KEY_BYTES);
const TENANT: Field = Field::new("request.tenant", MAX_NAME_BYTES);
const CLASS: Field = Field::new("request.class", MAX_NAME_BYTES);
const REPEAT: Field = Field::new("request.repeat", 0);
const METHOD: Field = Field::new("request.method", MAX_METHOD_BYTES);
const PATH: Field = Field::new("request.path", MAX_PATH_BYTES);
const CONTENT_TYPE: Field = Field::new("request.contentType", MAX_CONTENT_TYPE_BYTES);
const BODY: Field = Field::new("request.body", MAX_BODY_BYTES);

/// A request handed to the dispatcher of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardParams {
    /// Endpoint that the entry chose.
    pub endpoint: EndpointName,
    /// Epoch of the dispatcher that the entry knows.
    pub dispatch_epoch: Epoch,
    /// The request.
    pub request: Request,
}

/// Reads the parameters of a `forward` call.
///
/// # Errors
///
/// A field is missing, malformed or over its limit.
pub fn read_forward(r: link::forward_params::Reader<'_>) -> Result<ForwardParams, WireError> {
    let request = REQUEST.pointer(r.has_request(), r.get_request())?;
    Ok(ForwardParams {
        endpoint: EndpointName::new(ENDPOINT.text(r.has_endpoint(), r.get_endpoint())?),
        dispatch_epoch: Epoch(r.get_dispatch_epoch()),
        request: read_request(request)?,
    })
}

/// Reads a request.
///
/// # Errors
///
/// A field is missing, malformed or over its limit.
pub fn read_request(r: request::Reader<'_>) -> Result<Request, WireError> {
    let content_type = CONTENT_TYPE.optional_text(r.has_content_type(), r.get_content_type())?;
    Ok(Request {
        id: ID.request_id(r.has_id(), r.get_id())?,
        service: ServiceName::new(SERVICE.text(r.has_service(), r.get_service())?),
        key: Key::new(KEY.text(r.has_key(), r.get_key())?),
        tenant: TENANT.text(r.has_tenant(), r.get_tenant())?.to_owned(),
        class: ClassName::new(CLASS.text(r.has_class(), r.get_class())?),
        repeat: read_repeat(REPEAT.known(r.get_repeat())?),
        deadline: Wall(r.get_deadline()),
        method: METHOD.text(r.has_method(), r.get_method())?.to_owned(),
        path: PATH.text(r.has_path(), r.get_path())?.to_owned(),
        content_type: content_type.map(str::to_owned),
        body: Bytes::copy_from_slice(BODY.bytes(r.has_body(), r.get_body())?),
    })
}

/// Writes a request.
pub fn write_request(req: &Request, mut b: request::Builder<'_>) {
    b.set_id(req.id.0.as_bytes());
    b.set_service(req.service.as_str());
    b.set_key(req.key.as_str());
    b.set_tenant(&req.tenant);
    b.set_class(req.class.as_str());
    b.set_repeat(write_repeat(req.repeat));
    b.set_deadline(req.deadline.0);
    b.set_method(&req.method);
    b.set_path(&req.path);
    if let Some(content_type) = &req.content_type {
        b.set_content_type(content_type);
    }
    b.set_body(&req.body);
}

const fn read_repeat(repeat: wire::Repeat) -> Repeat {
    match repeat {
        wire::Repeat::Idempotent => Repeat::Idempotent,
        wire::Repeat::NonIdempotent => Repeat::NonIdempotent,
    }
}

const fn write_repeat(repeat: Repeat) -> wire::Repeat {
    match repeat {
        Repeat::Idempotent => wire::Repeat::Idempotent,
        Repeat::NonIdempotent => wire::Repeat::NonIdempotent,
    }
}
