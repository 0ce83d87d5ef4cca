//! Whether and when a request is tried again.

use serde::{Deserialize, Serialize};

use crate::outcome::{NotRunReason, Outcome};
use crate::request::Repeat;

/// Parts of a retry that the budget is counted in.
const RETRY: u64 = 100;

/// Most doublings of the backoff.
const MOST_DOUBLINGS: u32 = 16;

/// Limits on retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries allowed for a hundred first tries.
    pub share: u8,
    /// Retries that may be saved up.
    pub burst: u32,
    /// First backoff, in milliseconds; doubles with each retry.
    pub base_ms: u64,
    /// Longest backoff, in milliseconds.
    pub max_ms: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            share: 10,
            burst: 10,
            base_ms: 10,
            max_ms: 1_000,
        }
    }
}

/// Token bucket that first tries fill and retries empty.
///
/// When an endpoint fails most requests, retries without a budget would
/// multiply its load just then; with it they add the configured share at most.
#[derive(Debug)]
pub struct RetryBudget {
    cfg: RetrySettings,
    /// In hundredths of a retry.
    saved: u64,
}

impl RetryBudget {
    /// A full budget.
    #[must_use]
    pub const fn new(cfg: RetrySettings) -> Self {
        Self {
            cfg,
            saved: cfg.burst as u64 * RETRY,
        }
    }

    /// Counts a first try.
    pub fn first_try(&mut self) {
        let most = u64::from(self.cfg.burst) * RETRY;
        self.saved = (self.saved + u64::from(self.cfg.share)).min(most);
    }

    /// Takes a retry out of the budget. Returns whether there was one.
    #[must_use]
    pub const fn take(&mut self) -> bool {
        if self.saved < RETRY {
            return false;
        }
        self.saved -= RETRY;
        true
    }
}

/// Time to wait before retry number `retry` (the first is 0), in milliseconds:
/// between half and the whole of the doubled base. `jitter` is any number; the
/// same one gives the same time.
#[must_use]
pub fn backoff_ms(cfg: &RetrySettings, retry: u32, jitter: u64) -> u64 {
    let doubled = cfg.base_ms.saturating_mul(1 << retry.min(MOST_DOUBLINGS));
    let whole = doubled.min(cfg.max_ms);
    let half = whole / 2;
    half + jitter % (whole - half + 1)
}

/// Whether a request with this outcome may be tried again at all.
///
/// Non-idempotent work is tried again only if it did not run: a second try of
/// work that may have run could run it twice.
#[must_use]
pub const fn may_retry(repeat: Repeat, outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answered(_) => false,
        Outcome::NotRun(not_run) => is_passing(not_run.reason),
        Outcome::MayHaveRun(_) => matches!(repeat, Repeat::Idempotent),
    }
}

/// Whether the reason may be gone after a moment. Retrying what was refused for
/// lack of room or time only adds to the load.
const fn is_passing(reason: NotRunReason) -> bool {
    match reason {
        NotRunReason::NoOwner
        | NotRunReason::Moving
        | NotRunReason::NotDispatcher
        | NotRunReason::NoHold
        | NotRunReason::DispatcherUnreachable
        | NotRunReason::Draining
        | NotRunReason::EndpointUnreachable
        | NotRunReason::EndpointRefused
        | NotRunReason::ShuttingDown => true,
        NotRunReason::StaleConfig
        | NotRunReason::UnknownService
        | NotRunReason::NoRoute
        | NotRunReason::QueueFull
        | NotRunReason::DeadlineTooClose
        | NotRunReason::Expired
        | NotRunReason::EndpointShed
        | NotRunReason::HotKeyLimited
        | NotRunReason::Cancelled
        | NotRunReason::BadId
        | NotRunReason::CrashesEndpoints
        | NotRunReason::UnderTrial
        | NotRunReason::Overloaded => false,
    }
}
