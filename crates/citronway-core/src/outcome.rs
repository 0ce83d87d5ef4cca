//! What became of a request; the three cases are never blurred on the way back.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The endpoint ran it; this is its whole answer.
    Answered(Answer),
    /// It did not run, and there is evidence for that.
    NotRun(NotRun),
    /// It was handed to an endpoint, or may have been, and no answer is known.
    MayHaveRun(MayHaveRun),
}

/// The endpoint's whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status as the endpoint gave it.
    pub status: u16,
    /// Media type of the body, if stated.
    pub content_type: Option<String>,
    /// Body, complete.
    pub body: Bytes,
}

/// A request that did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun {
    /// Why.
    pub reason: NotRunReason,
    /// When it is worth to come back, in milliseconds from now.
    pub retry_after_ms: u64,
}

/// Evidence that a request did not run: it was refused before any byte of it
/// was written to an endpoint, or by the endpoint's own word.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// This instance knows no configuration, or heard of none for too long.
    StaleConfig,
    /// No service of this name.
    UnknownService,
    /// No selector sends this caller and key anywhere.
    NoRoute,
    /// The key has no owner at present.
    NoOwner,
    /// The key is on its way to another owner.
    Moving,
    /// The instance asked is not the endpoint's dispatcher, or not any more.
    NotDispatcher,
    /// The instance is the dispatcher but does not hold enough promises now.
    NoHold,
    /// The dispatcher could not be reached; nothing was sent.
    DispatcherUnreachable,
    /// The queue of the endpoint is full.
    QueueFull,
    /// It cannot be finished before its deadline.
    DeadlineTooClose,
    /// The deadline passed while it waited in a queue.
    Expired,
    /// The endpoint is leaving and takes no new work.
    Draining,
    /// The endpoint could not be connected to; no byte was written.
    EndpointUnreachable,
    /// The endpoint refused the order, by its own word.
    EndpointRefused,
    /// The endpoint shed the order, by its own word.
    EndpointShed,
    /// The key alone is hotter than an endpoint can serve.
    HotKeyLimited,
    /// The instance is shutting down.
    ShuttingDown,
    /// It was cancelled before it was sent, or the endpoint confirmed that it had not begun.
    Cancelled,
    /// A limit of this instance was reached.
    Overloaded,
    /// Its id cannot be used: it was used for other work, or does not hold a
    /// time of creation near the present.
    BadId,
    /// The same work, under other ids, crashed the endpoints that ran it.
    CrashesEndpoints,
    /// The same work was at an endpoint that crashed, and another copy of it is being tried.
    UnderTrial,
}

/// A request of which it is not known whether it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MayHaveRun {
    /// Why nothing better is known.
    pub reason: MayHaveRunReason,
    /// When it is worth to ask for the state of the key, in milliseconds from now.
    pub retry_after_ms: u64,
}

/// Why it is not known whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MayHaveRunReason {
    /// The connection to the endpoint broke after bytes were written.
    ConnectionLost,
    /// No answer before the deadline.
    Timeout,
    /// The answer was cut short or did not belong to this request.
    BadAnswer,
    /// The connection to the dispatcher broke after the request was handed on.
    DispatcherLost,
    /// The id was created before the time from which this dispatcher knows all ids.
    BeforeFloor,
    /// The same id ran before and its answer is no longer kept.
    AnswerGone,
}

impl NotRun {
    /// Says that a request did not run.
    #[must_use]
    pub const fn new(reason: NotRunReason, retry_after_ms: u64) -> Self {
        Self {
            reason,
            retry_after_ms,
        }
    }
}

impl Outcome {
    /// Short name for logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) => "not_run",
            Self::MayHaveRun(_) => "may_have_run",
        }
    }
}
