//! How a request ended, and the answer that its caller gets.

use bytes::Bytes;
use citronway_core::gateway::admission::{
    Refusal, RefusalReason, STOPPING_RETRY_MS, UnknownOutcomeReason,
};
use citronway_core::gateway::crashes::Fingerprint;
use citronway_core::time::Mono;
use citronway_platform::exchange;
use http::header::CONNECTION;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;

use super::connection::{Answering, Done};
use super::open_requests::Stage;
use super::state::State;
use crate::clock;
use crate::gateway::http_link::Answer;
use crate::gateway::metrics::{Class, OutcomeKind};

/// Time to come back where nothing better is known, in milliseconds.
pub(super) const DEFAULT_RETRY_MS: u64 = 200;

/// How a request ended, for the caller and for the logs.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The endpoint's own answer.
    Answered(Answer),
    /// It has not run and will not.
    NotRun(Refusal),
    /// The same: its work is known to crash endpoints, and coming back does not help.
    Harmful(Fingerprint),
    /// It may have run; the reason for metrics, the cause for logs and the caller.
    Unknown(UnknownOutcomeReason, &'static str),
    /// Its time ended; it may have run.
    TimedOut,
    /// It cannot be accepted as it is.
    Rejected(StatusCode, &'static str),
}

impl Outcome {
    /// Label for metrics.
    const fn ended(&self) -> OutcomeKind {
        match self {
            Self::Answered(_) => OutcomeKind::Answered,
            Self::NotRun(refusal) => OutcomeKind::NotRun(refusal.reason),
            Self::Harmful(_) => OutcomeKind::NotRun(RefusalReason::CrashesEndpoints),
            Self::Unknown(reason, _) => OutcomeKind::MayHaveRun(*reason),
            Self::TimedOut => OutcomeKind::MayHaveRun(UnknownOutcomeReason::Timeout),
            Self::Rejected(..) => OutcomeKind::Rejected,
        }
    }
}

/// A refusal because the instance stops.
pub(super) const fn stopping() -> Outcome {
    not_run(RefusalReason::Stopping, STOPPING_RETRY_MS)
}

/// A refusal.
pub(super) const fn not_run(reason: RefusalReason, retry_after_ms: u64) -> Outcome {
    Outcome::NotRun(Refusal {
        reason,
        retry_after_ms,
    })
}

/// The answer to an outcome.
pub(super) fn respond(
    state: &State,
    id: Option<&HeaderValue>,
    outcome: Outcome,
    done: Done,
) -> Response<Answering> {
    done.open.request.reach(clock::mono(), Stage::Answering);
    let (status, headers, body) = match outcome {
        Outcome::Answered(answer) => (
            answer.status,
            exchange::returned_headers(&answer.headers),
            answer.body,
        ),
        Outcome::NotRun(refusal) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            own_answer(
                id,
                status,
                Some(refusal.retry_after_ms),
                refusal.reason.as_str(),
            )
        }
        Outcome::Harmful(_) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            own_answer(id, status, None, RefusalReason::CrashesEndpoints.as_str())
        }
        Outcome::Unknown(_, cause) => own_answer(id, StatusCode::BAD_GATEWAY, None, cause),
        Outcome::TimedOut => own_answer(id, StatusCode::GATEWAY_TIMEOUT, None, "timeout"),
        Outcome::Rejected(status, cause) => own_answer(id, status, None, cause),
    };
    let mut response = Response::new(Answering {
        body: Full::new(body),
        _done: done,
    });
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    if state.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn own_answer(
    id: Option<&HeaderValue>,
    status: StatusCode,
    retry_after_ms: Option<u64>,
    cause: &'static str,
) -> (StatusCode, http::HeaderMap, Bytes) {
    let mut headers = http::HeaderMap::new();
    exchange::set_answer_headers(&mut headers, id, retry_after_ms);
    (status, headers, Bytes::from_static(cause.as_bytes()))
}

/// Id of a request as logs show it.
pub(super) fn shown_id(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// Logs and counts an outcome.
pub(super) fn note(
    state: &State,
    arrived: Mono,
    id: Option<&HeaderValue>,
    class: Class,
    outcome: &Outcome,
) {
    let request = shown_id(id);
    let ms = clock::mono().since(arrived);
    state.metrics.record_outcome(class, outcome.ended(), ms);
    match outcome {
        Outcome::Answered(answer) => {
            let status = answer.status.as_u16();
            log::debug!(request, status, ms; "answered");
        }
        Outcome::NotRun(refusal) => {
            let reason = refusal.reason.as_str();
            let retry_after_ms = refusal.retry_after_ms;
            log::info!(request, reason, retry_after_ms, ms; "refused, not run");
        }
        Outcome::Harmful(work) => {
            let reason = RefusalReason::CrashesEndpoints.as_str();
            log::info!(request, reason, work:%, ms; "refused, not run");
        }
        Outcome::Unknown(reason, cause) => {
            let reason = reason.as_str();
            log::info!(request, reason, cause, ms; "may have run");
        }
        Outcome::TimedOut => log::info!(request, ms; "timed out, may have run"),
        Outcome::Rejected(status, cause) => {
            let status = status.as_u16();
            log::info!(request, status, cause, ms; "rejected");
        }
    }
}
