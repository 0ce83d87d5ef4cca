//! Bytes that are not the answer to a request or order, by kind.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::answer_head::HeadError;

/// Why bytes of an endpoint are not the answer that was due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.cause())]
pub enum WrongAnswer {
    /// The answer belongs to another request or order.
    Foreign,
    /// The bytes are no HTTP.
    Malformed,
    /// The status is not that of a final answer.
    Status,
    /// The head does not say how the body ends.
    Framing,
    /// The head has too many bytes or lines.
    LongHead,
    /// The head was not complete in time.
    SlowHead,
    /// There are too many interim answers.
    InterimAnswers,
    /// The body is longer than such answers are.
    LongBody,
    /// The body is truncated.
    Truncated,
}

impl WrongAnswer {
    /// Name in metrics and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Foreign => "foreign",
            Self::Malformed => "malformed",
            Self::Status => "status",
            Self::Framing => "framing",
            Self::LongHead => "long_head",
            Self::SlowHead => "slow_head",
            Self::InterimAnswers => "interim_answers",
            Self::LongBody => "long_body",
            Self::Truncated => "truncated",
        }
    }

    /// Cause as shown to callers and in logs.
    #[must_use]
    pub const fn cause(self) -> &'static str {
        match self {
            Self::Foreign => "the answer belongs to another request",
            Self::Malformed => "the bytes of the endpoint are no answer",
            Self::Status => "the status is not that of a final answer",
            Self::Framing => "the head of the answer does not say how its body ends",
            Self::LongHead => "the head of the answer is too long",
            Self::SlowHead => "the head of the answer was not complete in time",
            Self::InterimAnswers => "too many interim answers",
            Self::LongBody => "the body of the answer is too long",
            Self::Truncated => "the answer is not whole",
        }
    }
}

impl From<HeadError> for WrongAnswer {
    fn from(e: HeadError) -> Self {
        match e {
            HeadError::Status => Self::Status,
            HeadError::Framing => Self::Framing,
        }
    }
}

/// What a wrong answer was due to, as a label.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerTo {
    /// A caller's request.
    Request,
    /// A grant or a release.
    Order,
}

impl AnswerTo {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Order => "order",
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    kind: &'static str,
    to: &'static str,
}

/// Metric of wrong answers; clones share its values.
#[derive(Debug, Clone)]
pub struct WrongAnswerMetrics(Family<Labels, Counter>);

impl WrongAnswerMetrics {
    /// Creates the metric and registers it.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let answers = Family::default();
        let help = "Answers of endpoints that were not those due, by kind";
        registry.register("wrong_answers", help, answers.clone());
        Self(answers)
    }

    /// Counts a wrong answer.
    pub(super) fn count(&self, kind: WrongAnswer, to: AnswerTo) {
        let labels = Labels {
            kind: kind.as_str(),
            to: to.as_str(),
        };
        self.0.get_or_create(&labels).inc();
    }
}
