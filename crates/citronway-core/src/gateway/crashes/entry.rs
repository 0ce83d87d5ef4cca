//! Crash record of one work.

use crate::gateway::pace::EndpointTag;
use crate::time::Mono;

/// Most crashes that are kept of one work; the oldest are dropped.
const MAX_CRASHES: usize = 8;

/// A crash of an endpoint while it had the work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Crash {
    /// Start of the endpoint.
    pub endpoint: EndpointTag,
    /// When this instance learned of the crash.
    pub at: Mono,
}

/// Whether work is sent or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum State {
    /// The work is sent.
    #[default]
    Suspect,
    /// The work is refused until `until` and then sent again. One more crash, and it is refused
    /// for longer.
    Refused {
        since: Mono,
        until: Mono,
        /// Number of times that the work was found harmful.
        times: u32,
    },
}

impl State {
    /// Number of times that the work was found harmful.
    pub(super) const fn times(self) -> u32 {
        match self {
            Self::Suspect => 0,
            Self::Refused { times, .. } => times,
        }
    }
}

/// Crash record of one work.
#[derive(Debug, Default)]
pub(super) struct Entry {
    pub crashes: Vec<Crash>,
    pub state: State,
    /// When the leader first reported the work.
    pub first_reported_at: Mono,
    /// When the leader last reported the work.
    pub last_reported_at: Mono,
    /// Whether the leader or the store states that the work is harmful.
    pub is_confirmed: bool,
}

impl Entry {
    /// Whether a crash of this start of an endpoint is recorded.
    pub(super) fn has(&self, endpoint: EndpointTag) -> bool {
        self.crashes.iter().any(|crash| crash.endpoint == endpoint)
    }

    /// Records a crash.
    pub(super) fn add(&mut self, crash: Crash) {
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
    }

    /// Marks the work as harmful for the `times`th time and refuses it for `refused_ms`.
    pub(super) fn refuse(&mut self, now: Mono, times: u32, refused_ms: u64) {
        self.state = State::Refused {
            since: now,
            until: now.plus(refused_ms),
            times,
        };
    }

    /// Whether the work was found harmful at least once.
    pub(super) fn was_harmful(&self) -> bool {
        self.state != State::Suspect
    }

    /// When the work was last reported, by a crash or by the leader.
    pub(super) fn last(&self) -> Mono {
        let crash = self.crashes.last().map(|crash| crash.at);
        crash.unwrap_or_default().max(self.first_reported_at)
    }
}
