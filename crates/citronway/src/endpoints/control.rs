//! Control requests to an endpoint: grants, revocations and cancellations.

use bytes::Bytes;
use citronway_core::ids::RequestId;
use citronway_core::node::ProbeReport;
use citronway_core::node::events::Grant;
use http::header::{CONTENT_TYPE, HOST};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use super::link::ExchangeError;

/// Path of a grant, which doubles as a probe.
pub const GRANT: &str = "/citronway/grant";
/// Path of a revocation.
pub const REVOKE: &str = "/citronway/revoke";
/// Path of a cancellation.
pub const CANCEL: &str = "/citronway/cancel";

const JSON: &str = "application/json";

/// Why a control request brought nothing.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// No whole answer.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The request cannot be written as HTTP.
    #[error(transparent)]
    Http(#[from] http::Error),
    /// The answer has another status than 200.
    #[error("answer has status {0}")]
    Status(StatusCode),
    /// The answer or request is not JSON of the expected shape.
    #[error("bad JSON: {0}")]
    Json(#[from] serde_json::Error),
}

#[derive(Debug, Serialize)]
struct CancelRequest {
    id: RequestId,
}

#[derive(Debug, Deserialize)]
struct CancelAnswer {
    confirmed: bool,
}

#[derive(Debug, Deserialize)]
struct GrantAnswer {
    stale_epoch: bool,
    draining: bool,
    running: u32,
    cold: bool,
}

/// Writes a grant or a revocation.
///
/// # Errors
///
/// If it cannot be written as JSON or HTTP.
pub fn grant_request(
    host: &str,
    path: &str,
    grant: &Grant,
) -> Result<Request<Full<Bytes>>, ControlError> {
    post(host, path, serde_json::to_vec(grant)?)
}

/// Writes a cancellation.
///
/// # Errors
///
/// If it cannot be written as JSON or HTTP.
pub fn cancel_request(host: &str, id: RequestId) -> Result<Request<Full<Bytes>>, ControlError> {
    post(host, CANCEL, serde_json::to_vec(&CancelRequest { id })?)
}

/// Reads the answer to a grant or a revocation.
///
/// # Errors
///
/// If it is no answer of the expected shape.
pub fn read_grant(answer: &Response<Bytes>) -> Result<ProbeReport, ControlError> {
    let answer: GrantAnswer = serde_json::from_slice(good(answer)?)?;
    Ok(ProbeReport::Answered {
        stale_epoch: answer.stale_epoch,
        draining: answer.draining,
        running: answer.running,
        cold: answer.cold,
    })
}

/// Reads the answer to a cancellation: `true` if the request never runs.
///
/// # Errors
///
/// If it is no answer of the expected shape.
pub fn read_cancel(answer: &Response<Bytes>) -> Result<bool, ControlError> {
    let answer: CancelAnswer = serde_json::from_slice(good(answer)?)?;
    Ok(answer.confirmed)
}

fn post(host: &str, path: &str, body: Vec<u8>) -> Result<Request<Full<Bytes>>, ControlError> {
    let req = Request::post(path)
        .header(HOST, host)
        .header(CONTENT_TYPE, JSON)
        .body(Full::new(Bytes::from(body)))?;
    Ok(req)
}

fn good(answer: &Response<Bytes>) -> Result<&Bytes, ControlError> {
    match answer.status() {
        StatusCode::OK => Ok(answer.body()),
        status => Err(ControlError::Status(status)),
    }
}
