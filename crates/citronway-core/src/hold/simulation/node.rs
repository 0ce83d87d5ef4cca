//! A simulated instance: its clock, its process and its deferred events.

use std::collections::VecDeque;

use crate::hold::{EndpointReach, Hold, HoldEvent, HoldSettings};
use crate::ids::{EndpointName, Epoch, Session, Version};
use crate::time::{Mono, Now, Wall};

const MILLION: u64 = 1_000_000;

/// Wall clock at the start of a trace, in milliseconds since the Unix epoch.
const START_WALL_MS: u64 = 1_800_000_000_000;

/// A clock with its own rate and skew.
#[derive(Debug, Clone, Copy)]
pub(super) struct Clock {
    /// Milliseconds that the monotonic clock advances per million milliseconds of
    /// simulated time.
    pub rate_per_million: u64,
    /// Milliseconds by which its wall clock is ahead of the slowest permitted one.
    pub skew_ms: u64,
    /// Reading of the monotonic clock at the start, in milliseconds.
    pub origin_ms: u64,
}

impl Clock {
    pub const fn now(&self, at: u64) -> Now {
        Now {
            mono: Mono(self.origin_ms + at * self.rate_per_million / MILLION),
            wall: Wall(START_WALL_MS + at + self.skew_ms),
        }
    }
}

/// State of a simulated process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProcessState {
    Running,
    /// The process does not run, but its clock does.
    Paused,
    Dead,
}

/// A simulated instance.
#[derive(Debug)]
pub(super) struct Node {
    pub session: Session,
    pub hold: Hold,
    pub clock: Clock,
    pub state: ProcessState,
    pub store_cut: bool,
    pub reach: EndpointReach,
    pub deferred_events: VecDeque<HoldEvent>,
    /// Delay of the next write to the store, in milliseconds.
    pub delay_write_ms: u64,
    pub lose_answer: bool,
    /// Version of the hold's known row at the latest check, 0 before the first row.
    pub version: Version,
}

impl Node {
    pub fn new(index: usize, session_number: u64, clock: Clock, settings: &HoldSettings) -> Self {
        let session = session(index, session_number);
        Self {
            hold: Hold::new(session.clone(), endpoint(), settings.clone()),
            session,
            clock,
            state: ProcessState::Running,
            store_cut: false,
            reach: EndpointReach::Unknown,
            deferred_events: VecDeque::new(),
            delay_write_ms: 0,
            lose_answer: false,
            version: Version(0),
        }
    }

    pub fn is_alive(&self) -> bool {
        self.state != ProcessState::Dead
    }

    pub fn is_running(&self) -> bool {
        self.state == ProcessState::Running
    }

    pub fn pause(&mut self) {
        if self.is_alive() {
            self.state = ProcessState::Paused;
        }
    }

    /// Epoch under which the session may act, `None` if it may not. A paused
    /// process counts, since it may continue at any moment.
    pub fn active_epoch(&self, at: u64) -> Option<Epoch> {
        if !self.is_alive() {
            return None;
        }
        self.hold.may_act(self.clock.now(at))
    }

    /// Whether the hold's known row is older than at the previous call.
    pub fn has_version_regressed(&mut self) -> bool {
        let version = self.hold.known_row().map_or(Version(0), |it| it.0);
        let regressed = version < self.version;
        self.version = version;
        regressed
    }
}

/// Session of instance `index` with the number `session_number`.
pub(super) fn session(index: usize, session_number: u64) -> Session {
    Session::new(&format!("n{index}"), session_number)
}

pub(super) fn endpoint() -> EndpointName {
    EndpointName::new("endpoint")
}
