//! What is remembered of one work.

use crate::gateway::pace::EndpointTag;
use crate::time::Mono;

/// Crashes that are remembered of one work; the oldest are forgotten.
const MOST_CRASHES: usize = 8;

/// A crash of an endpoint that had the work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Crash {
    /// Start of the endpoint.
    pub endpoint: EndpointTag,
    /// When it was heard of.
    pub at: Mono,
}

/// How the work is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum State {
    /// It is sent.
    #[default]
    Suspect,
    /// It is refused until a moment, and then sent again; one more crash and it is refused
    /// anew, for longer.
    Refused {
        since: Mono,
        until: Mono,
        /// How often it was taken as harmful.
        times: u32,
    },
}

impl State {
    /// How often the work was taken as harmful.
    pub(super) const fn times(self) -> u32 {
        match self {
            Self::Suspect => 0,
            Self::Refused { times, .. } => times,
        }
    }
}

/// One work.
#[derive(Debug, Default)]
pub(super) struct Entry {
    pub crashes: Vec<Crash>,
    pub state: State,
    /// When the leader first told of it.
    pub heard: Mono,
    /// When the leader last told of it.
    pub told: Mono,
    /// The leader or the store says that it is harmful.
    pub was_told: bool,
}

impl Entry {
    /// Whether a crash of this start of an endpoint is known.
    pub(super) fn has(&self, endpoint: EndpointTag) -> bool {
        self.crashes.iter().any(|crash| crash.endpoint == endpoint)
    }

    pub(super) fn add(&mut self, crash: Crash) {
        if self.crashes.len() >= MOST_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
    }

    pub(super) fn refuse(&mut self, now: Mono, times: u32, refused_ms: u64) {
        self.state = State::Refused {
            since: now,
            until: now.plus(refused_ms),
            times,
        };
    }

    pub(super) fn was_harmful(&self) -> bool {
        self.state != State::Suspect
    }

    /// When it was last heard of.
    pub(super) fn last(&self) -> Mono {
        let crash = self.crashes.last().map(|crash| crash.at);
        crash.unwrap_or_default().max(self.heard)
    }
}
