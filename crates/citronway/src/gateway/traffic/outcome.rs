//! Outcomes of requests, and the responses that callers get for them.

use bytes::Bytes;
use citronway_core::gateway::admission::{
    Refusal, RefusalReason, STOPPING_RETRY_MS, UnknownOutcomeReason,
};
use citronway_core::gateway::crashes::Fingerprint;
use citronway_core::gateway::memory::Use;
use citronway_core::time::Mono;
use citronway_platform::exchange;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;

use super::answer_buf::AnswerBuf;
use super::connection::{GuardedBody, RequestGuard};
use super::neighbor::{self, Origin};
use super::open_requests::Stage;
use super::state::State;
use crate::clock;
use crate::gateway::http_link::Answer;
use crate::gateway::metrics::{Class, OutcomeKind};

/// Retry-after time where no better estimate is known, in milliseconds.
pub(super) const DEFAULT_RETRY_MS: u64 = 200;

/// Outcome of a request, for the caller and the logs.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The endpoint's own answer.
    Answered(Answer),
    /// The request has not run and will not run.
    NotRun(Refusal),
    /// The request has not run: its work is known to crash endpoints. No retry-after time is
    /// stated because a retry would be refused too.
    Harmful(Fingerprint),
    /// The request may have run; the reason is for metrics, the cause for logs and the caller.
    Unknown(UnknownOutcomeReason, &'static str),
    /// The request's time ended; it may have run.
    TimedOut,
    /// The request is invalid, with the status and the cause for the caller.
    Rejected(StatusCode, &'static str),
}

impl Outcome {
    /// Whether an endpoint ran the request and did not fail.
    pub(super) fn is_served(&self) -> bool {
        matches!(self, Self::Answered(answer) if !answer.status.is_server_error())
    }

    /// Label for metrics.
    const fn kind(&self) -> OutcomeKind {
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

/// A refusal because the instance is stopping.
pub(super) const fn stopping() -> Outcome {
    not_run(RefusalReason::Stopping, STOPPING_RETRY_MS)
}

/// A refusal of a request that has not run.
pub(super) const fn not_run(reason: RefusalReason, retry_after_ms: u64) -> Outcome {
    Outcome::NotRun(Refusal {
        reason,
        retry_after_ms,
    })
}

/// Builds the response for an outcome.
pub(super) fn respond(
    state: &State,
    id: Option<&HeaderValue>,
    outcome: Outcome,
    guard: RequestGuard,
    origin: Origin,
) -> Response<GuardedBody> {
    let mut stated = http::HeaderMap::new();
    if origin == Origin::Neighbor {
        neighbor::write_outcome(&outcome, &mut stated);
        neighbor::write_reached(guard.open.request.has_reached_endpoint(), &mut stated);
    }
    guard
        .open
        .request
        .enter_stage(clock::mono(), Stage::Answering);
    let (status, headers, body) = match outcome {
        Outcome::Answered(answer) => (
            answer.status,
            exchange::returned_headers(&answer.headers),
            answer.body,
        ),
        Outcome::NotRun(refusal) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            gateway_answer(
                id,
                status,
                Some(refusal.retry_after_ms),
                refusal.reason.as_str(),
            )
        }
        Outcome::Harmful(_) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            gateway_answer(id, status, None, RefusalReason::CrashesEndpoints.as_str())
        }
        Outcome::Unknown(_, cause) => gateway_answer(id, StatusCode::BAD_GATEWAY, None, cause),
        Outcome::TimedOut => gateway_answer(id, StatusCode::GATEWAY_TIMEOUT, None, "timeout"),
        Outcome::Rejected(status, cause) => gateway_answer(id, status, None, cause),
    };
    let charge = state.memory.charge(Use::Answers, body.len() as u64);
    let mut response = Response::new(GuardedBody {
        body: Full::new(AnswerBuf::new(body, charge)),
        _guard: guard,
    });
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response.headers_mut().extend(stated);
    response
}

fn gateway_answer(
    id: Option<&HeaderValue>,
    status: StatusCode,
    retry_after_ms: Option<u64>,
    cause: &'static str,
) -> (StatusCode, http::HeaderMap, Bytes) {
    let mut headers = http::HeaderMap::new();
    exchange::set_answer_headers(&mut headers, id, retry_after_ms);
    (status, headers, Bytes::from_static(cause.as_bytes()))
}

/// Id of a request as shown in logs; `-` without one.
pub(super) fn display_id(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// Logs an outcome and counts it in the metrics.
pub(super) fn record(
    state: &State,
    arrived: Mono,
    id: Option<&HeaderValue>,
    class: Class,
    outcome: &Outcome,
) {
    let request = display_id(id);
    let ms = clock::mono().since(arrived);
    state.metrics.record_outcome(class, outcome.kind(), ms);
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
        Outcome::TimedOut => log::info!(request, ms; "request timed out; it may have run"),
        Outcome::Rejected(status, cause) => {
            let status = status.as_u16();
            log::info!(request, status, cause, ms; "rejected");
        }
    }
}
