//! Results of sending a request to an endpoint.

use citronway_core::gateway::admission::Choice;
use citronway_core::gateway::crashes::Fingerprint;
use citronway_platform::answers::AnswerKind;
use citronway_platform::exchange::RequestMetadata;

use super::outcome::display_id;
use crate::gateway::http_link::{Answer, CallError};
use crate::gateway::wrong_answer::WrongAnswer;

/// Why it is unknown whether a request ran.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum UnknownOutcome {
    /// The endpoint's bytes are not the answer to the request.
    Wrong(WrongAnswer),
    /// The answer was truncated.
    Truncated,
    /// There was no memory for the answer.
    NoMemory,
    /// The connection broke.
    Broken,
}

impl UnknownOutcome {
    /// The wrong answer that the endpoint gave; `None` if it gave none.
    pub(super) const fn wrong_answer(self) -> Option<WrongAnswer> {
        match self {
            Self::Wrong(wrong) => Some(wrong),
            Self::Truncated => Some(WrongAnswer::Truncated),
            Self::NoMemory | Self::Broken => None,
        }
    }

    /// Cause as shown to callers and in logs.
    pub(super) const fn cause(self) -> &'static str {
        match self {
            Self::Wrong(wrong) => wrong.cause(),
            Self::NoMemory => "no memory for the answer",
            Self::Truncated => WrongAnswer::Truncated.cause(),
            Self::Broken => "the connection to the endpoint broke",
        }
    }
}

/// Why nothing reached an endpoint.
pub(super) enum NotSentCause {
    /// The endpoint accepted no connection, for this reason.
    NoConnection(CallError),
    /// The endpoint accepted a connection and reset it before anything was sent.
    Reset,
}

/// Result of sending a request once.
pub(super) enum SendResult {
    /// The endpoint's answer.
    Answer(Answer),
    /// The endpoint did not run the request.
    Refused(AnswerKind),
    /// Nothing reached the endpoint.
    NotSent(NotSentCause),
    /// No attempt was made because the endpoint may not be sent the request any more.
    Withheld,
    /// No attempt was made because no second send is left.
    NoRetryLeft,
    /// The endpoint may have run the request.
    MayHaveRun(UnknownOutcome),
    /// The request's time ended.
    TimedOut,
}

/// Logs a send and its result. `ms` is the time since the request's arrival; `work` is the
/// fingerprint if the request may have run.
pub(super) fn log_send(
    metadata: &RequestMetadata,
    choice: &Choice,
    sent: &SendResult,
    sends: u32,
    ms: u64,
    work: Option<Fingerprint>,
) {
    let request = display_id(metadata.id.as_ref());
    let endpoint = &choice.endpoint;
    let fence = choice.fence.unwrap_or_default();
    match sent {
        SendResult::Answer(answer) => {
            let status = answer.status.as_u16();
            log::info!(request, endpoint:%, fence, sends, status, ms; "endpoint answered");
        }
        SendResult::Refused(meaning) => {
            let refusal = format!("{meaning:?}");
            log::info!(request, endpoint:%, fence, sends, refusal; "endpoint did not run it");
        }
        SendResult::Withheld => {
            log::info!(request, endpoint:%, fence, sends; "endpoint may not be sent the request any more");
        }
        // The budget logs it.
        SendResult::NoRetryLeft => {}
        SendResult::NotSent(cause) => {
            let (cause, error) = match cause {
                NotSentCause::NoConnection(e) => ("no connection", e.to_string()),
                NotSentCause::Reset => ("reset before anything was sent", "-".to_owned()),
            };
            log::info!(request, endpoint:%, fence, sends, cause, error; "not sent");
        }
        SendResult::MayHaveRun(unknown) => {
            let cause = unknown.cause();
            let work = work.map_or_else(|| "-".to_owned(), |work| work.to_string());
            log::info!(request, endpoint:%, fence, sends, work, cause; "endpoint may have run it");
        }
        SendResult::TimedOut => {
            log::info!(request, endpoint:%, fence, sends; "endpoint request timed out; it may have run");
        }
    }
}
