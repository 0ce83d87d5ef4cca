//! Outcomes as callers read them.

use bytes::Bytes;
use citronway_core::ids::RequestId;
use citronway_core::outcome::{
    Answer, MayHaveRun, MayHaveRunReason, NotRun, NotRunReason, Outcome,
};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderName, HeaderValue, StatusCode};
use http_body_util::Full;
use serde::Serialize;
use viz::{Body, Response};

use super::finding::Finding;

/// Header that names the outcome.
pub const OUTCOME: &str = "citronway-outcome";
/// Header that names the request.
pub const REQUEST_ID: &str = "citronway-request-id";

const ANSWERED: &str = "answered";
const NOT_RUN: &str = "not_run";
const MAY_HAVE_RUN: &str = "may_have_run";
const JSON: &str = "application/json";
const MS_PER_SECOND: u64 = 1000;

/// Body of an answer without an endpoint's answer.
#[derive(Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
enum OutcomeBody<'a> {
    NotRun(ReasonBody<NotRunReason>),
    MayHaveRun(ReasonBody<MayHaveRunReason>),
    #[serde(rename = "not_run")]
    Malformed(MalformedBody<'a>),
}

#[derive(Debug, Serialize)]
struct ReasonBody<R> {
    reason: R,
    retry_after_ms: u64,
    request_id: RequestId,
}

#[derive(Debug, Serialize)]
struct MalformedBody<'a> {
    reason: MalformedReason,
    findings: Vec<FindingBody<'a>>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum MalformedReason {
    BadRequest,
}

#[derive(Debug, Serialize)]
struct FindingBody<'a> {
    #[serde(flatten)]
    finding: &'a Finding,
    explanation: String,
}

/// The answer for `outcome` of the request `id`.
#[must_use]
pub(super) fn outcome(id: RequestId, outcome: Outcome) -> Response {
    let mut res = match outcome {
        Outcome::Answered(answer) => answered(id, answer),
        Outcome::NotRun(not_run) => refused(id, not_run),
        Outcome::MayHaveRun(may_have_run) => unclear(id, may_have_run),
    };
    set(&mut res, REQUEST_ID, &id.to_string());
    res
}

/// The answer for a request that is malformed.
#[must_use]
pub(super) fn malformed(findings: &[Finding]) -> Response {
    let mut bodies = Vec::with_capacity(findings.len());
    for finding in findings {
        bodies.push(FindingBody {
            finding,
            explanation: format!("{}: {}", finding.place, finding.problem),
        });
    }
    let body = OutcomeBody::Malformed(MalformedBody {
        reason: MalformedReason::BadRequest,
        findings: bodies,
    });
    json(malformed_status(findings), NOT_RUN, &body)
}

/// The answer of a check of health.
#[must_use]
pub(super) fn health(ready: bool) -> Response {
    let mut res = Response::new(Body::empty());
    if !ready {
        *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    res
}

fn answered(id: RequestId, answer: Answer) -> Response {
    let Ok(status) = StatusCode::from_u16(answer.status) else {
        return unclear(
            id,
            MayHaveRun {
                reason: MayHaveRunReason::BadAnswer,
                retry_after_ms: MS_PER_SECOND,
            },
        );
    };
    let mut res = Response::new(Body::from(Full::new(answer.body)));
    *res.status_mut() = status;
    set(&mut res, OUTCOME, ANSWERED);
    if let Some(media) = &answer.content_type {
        set(&mut res, CONTENT_TYPE.as_str(), media);
    }
    res
}

fn refused(request_id: RequestId, not_run: NotRun) -> Response {
    let body = OutcomeBody::NotRun(ReasonBody {
        reason: not_run.reason,
        retry_after_ms: not_run.retry_after_ms,
        request_id,
    });
    let mut res = json(not_run_status(not_run.reason), NOT_RUN, &body);
    // Repeating such a request as it is never helps.
    if may_come_back(not_run.reason) {
        set_retry_after(&mut res, not_run.retry_after_ms);
    }
    res
}

fn unclear(request_id: RequestId, may_have_run: MayHaveRun) -> Response {
    let body = OutcomeBody::MayHaveRun(ReasonBody {
        reason: may_have_run.reason,
        retry_after_ms: may_have_run.retry_after_ms,
        request_id,
    });
    let status = may_have_run_status(may_have_run.reason);
    let mut res = json(status, MAY_HAVE_RUN, &body);
    set_retry_after(&mut res, may_have_run.retry_after_ms);
    res
}

/// Whether the same request may be served later.
const fn may_come_back(reason: NotRunReason) -> bool {
    !matches!(reason, NotRunReason::BadId | NotRunReason::CrashesEndpoints)
}

const fn not_run_status(reason: NotRunReason) -> StatusCode {
    match reason {
        NotRunReason::HotKeyLimited | NotRunReason::EndpointShed => StatusCode::TOO_MANY_REQUESTS,
        NotRunReason::BadId => StatusCode::CONFLICT,
        NotRunReason::Expired => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

const fn may_have_run_status(reason: MayHaveRunReason) -> StatusCode {
    match reason {
        MayHaveRunReason::Timeout => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

// The finding that says most about the request decides: that there is nothing
// at the path, then that the body is too large.
fn malformed_status(findings: &[Finding]) -> StatusCode {
    let mut status = StatusCode::BAD_REQUEST;
    for finding in findings {
        match finding.problem.status() {
            StatusCode::NOT_FOUND => return StatusCode::NOT_FOUND,
            StatusCode::BAD_REQUEST => {}
            other => status = other,
        }
    }
    status
}

fn json(status: StatusCode, outcome: &str, body: &OutcomeBody<'_>) -> Response {
    // The bodies are plain structs of text and numbers, which always can be
    // written; an empty one would still leave status and headers right.
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut res = Response::new(Body::from(Full::new(Bytes::from(body))));
    *res.status_mut() = status;
    set(&mut res, CONTENT_TYPE.as_str(), JSON);
    set(&mut res, OUTCOME, outcome);
    res
}

fn set_retry_after(res: &mut Response, ms: u64) {
    let seconds = ms.div_ceil(MS_PER_SECOND).max(1);
    set(res, RETRY_AFTER.as_str(), &seconds.to_string());
}

fn set(res: &mut Response, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) else {
        return;
    };
    res.headers_mut().insert(name, value);
}
