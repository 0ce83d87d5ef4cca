//! One call as its caller saw it.

use std::time::Duration;

use citronway_core::ids::{Key, RequestId, ServiceName};
use citronway_core::request::Repeat;

use crate::caller::{Call, Verdict};

/// One call as its caller saw it; times count from the start of the trial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The request.
    pub id: RequestId,
    /// Service.
    pub service: ServiceName,
    /// Key.
    pub key: Key,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// When it was meant to be sent.
    pub intended: Duration,
    /// When the verdict was there.
    pub ended: Duration,
    /// What became of it.
    pub verdict: Verdict,
}

impl Record {
    /// Records a call.
    #[must_use]
    pub fn new(call: &Call, intended: Duration, ended: Duration, verdict: Verdict) -> Self {
        Self {
            id: call.id,
            service: call.service.clone(),
            key: call.key.clone(),
            repeat: call.repeat,
            intended,
            ended,
            verdict,
        }
    }

    /// Whether the caller got its answer.
    #[must_use]
    pub const fn is_answered(&self) -> bool {
        matches!(self.verdict, Verdict::Answered { .. })
    }

    /// Time from the intended start to the verdict.
    #[must_use]
    pub const fn latency(&self) -> Duration {
        self.ended.saturating_sub(self.intended)
    }
}
