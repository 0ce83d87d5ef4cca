//! What came of one send of a request to an endpoint.

use citronway_core::gateway::admission::Choice;
use citronway_core::gateway::crashes::Fingerprint;
use citronway_platform::exchange::{AnswerKind, RequestMetadata};

use super::outcome::shown_id;
use crate::gateway::http_link::Answer;

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Doubt {
    /// The answer belongs to another request.
    Foreign,
    /// The endpoint was silent for longer than another should be kept waiting.
    Silent,
    /// The answer broke off.
    Truncated,
    /// The connection broke.
    Broken,
}

impl Doubt {
    /// Words for logs and callers.
    pub(super) const fn cause(self) -> &'static str {
        match self {
            Self::Foreign => "the answer belongs to another request",
            Self::Silent => "the endpoint was silent",
            Self::Truncated => "the answer is not whole",
            Self::Broken => "the connection to the endpoint broke",
        }
    }
}

/// Why nothing reached an endpoint.
pub(super) enum Unsent {
    /// It takes no connection.
    NoConnection,
    /// It took one and reset it before anything was sent.
    Reset,
}

/// What came of one send.
pub(super) enum Sent {
    /// The endpoint's answer.
    Answer(Answer),
    /// It has not run there.
    Refused(AnswerKind),
    /// Nothing reached the endpoint.
    Nowhere(Unsent),
    /// Nothing was tried: no time was left to work.
    TooLate,
    /// It may have run there.
    Unknown(Doubt),
    /// The time ended.
    TimedOut,
}

/// Logs a send, `ms` after the request's arrival; `work` is told where it may have run.
pub(super) fn log_send(
    words: &RequestMetadata,
    choice: &Choice,
    sent: &Sent,
    sends: u32,
    ms: u64,
    work: Option<Fingerprint>,
) {
    let request = shown_id(words.id.as_ref());
    let endpoint = &choice.endpoint;
    let fence = choice.fence.unwrap_or_default();
    match sent {
        Sent::Answer(answer) => {
            let status = answer.status.as_u16();
            log::info!(request, endpoint:%, fence, sends, status, ms; "endpoint answered");
        }
        Sent::Refused(meaning) => {
            let refusal = format!("{meaning:?}");
            log::info!(request, endpoint:%, fence, sends, refusal; "endpoint did not run it");
        }
        Sent::TooLate => log::info!(request, endpoint:%, fence, sends; "no time left to send"),
        Sent::Nowhere(cause) => {
            let cause = match cause {
                Unsent::NoConnection => "no connection",
                Unsent::Reset => "reset before anything was sent",
            };
            log::info!(request, endpoint:%, fence, sends, cause; "not sent");
        }
        Sent::Unknown(doubt) => {
            let cause = doubt.cause();
            let work = work.map_or_else(|| "-".to_owned(), |work| work.to_string());
            log::info!(request, endpoint:%, fence, sends, work, cause; "endpoint may have run it");
        }
        Sent::TimedOut => log::info!(request, endpoint:%, fence, sends; "endpoint was silent"),
    }
}
