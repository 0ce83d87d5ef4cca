//! What a caller makes of an answer.

use std::time::Duration;

use bytes::Bytes;
use citronway_core::ids::EndpointName;
use http::{Response, StatusCode};
use serde::Deserialize;
use thiserror::Error;

use super::call::Call;
use crate::endpoint::AnswerBody;

const OUTCOME: &str = "citronway-outcome";
const ANSWERED: &str = "answered";

/// What became of a call, as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint's whole answer to this very call.
    Answered {
        /// Endpoint that ran it.
        endpoint: EndpointName,
    },
    /// It did not run, says the entry.
    NotRun(Unanswered),
    /// It may have run, says the entry.
    MayHaveRun(Unanswered),
    /// No entry could be connected to; not a byte was sent.
    NotSent,
    /// The connection to the entry broke, or no answer came in time.
    Lost,
    /// An answer that is not the answer to this call.
    Wrong(WrongAnswer),
}

/// What the entry says of a call that it has no answer for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unanswered {
    /// HTTP status.
    pub status: StatusCode,
    /// Reason, in the words of the callers' interface.
    pub reason: String,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// How an answer does not fit its call.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WrongAnswer {
    /// Neither an answer of an endpoint nor one of the three outcomes.
    #[error("neither an answer nor an outcome: status {status}: {body}")]
    Shape {
        /// HTTP status.
        status: StatusCode,
        /// Body as text.
        body: String,
    },
    /// It answers another request.
    #[error("answers another request: {0:?}")]
    Foreign(Box<AnswerBody>),
}

#[derive(Debug, Deserialize)]
struct OutcomeBody {
    outcome: OutcomeName,
    #[serde(default)]
    reason: String,
    retry_after_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum OutcomeName {
    NotRun,
    MayHaveRun,
}

impl Verdict {
    /// Judges the whole answer of an entry to a call.
    #[must_use]
    pub fn of(call: &Call, rsp: &Response<Bytes>) -> Self {
        let outcome = rsp.headers().get(OUTCOME);
        if outcome.is_some_and(|outcome| outcome == ANSWERED) {
            return judge_answer(call, rsp);
        }
        let Ok(body) = serde_json::from_slice::<OutcomeBody>(rsp.body()) else {
            return Self::Wrong(shapeless(rsp));
        };
        let unanswered = Unanswered {
            status: rsp.status(),
            reason: body.reason,
            retry_after: body.retry_after_ms.map(Duration::from_millis),
        };
        match body.outcome {
            OutcomeName::NotRun => Self::NotRun(unanswered),
            OutcomeName::MayHaveRun => Self::MayHaveRun(unanswered),
        }
    }

    /// Whether the caller was promised that the call did not run.
    #[must_use]
    pub const fn says_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_) | Self::NotSent)
    }
}

fn judge_answer(call: &Call, rsp: &Response<Bytes>) -> Verdict {
    let Ok(answer) = serde_json::from_slice::<AnswerBody>(rsp.body()) else {
        return Verdict::Wrong(shapeless(rsp));
    };
    let fits = answer.request_id == call.id
        && answer.service == call.service
        && answer.key == call.key
        && answer.path.ends_with(&call.path())
        && answer.body_bytes == call.body.len();
    if !fits {
        return Verdict::Wrong(WrongAnswer::Foreign(Box::new(answer)));
    }
    Verdict::Answered {
        endpoint: answer.endpoint,
    }
}

fn shapeless(rsp: &Response<Bytes>) -> WrongAnswer {
    WrongAnswer::Shape {
        status: rsp.status(),
        body: String::from_utf8_lossy(rsp.body()).into_owned(),
    }
}
