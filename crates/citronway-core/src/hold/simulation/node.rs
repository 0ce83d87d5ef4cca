//! One instance of the world: its clock, its process and what waits for it.

use std::collections::VecDeque;

use crate::hold::{EndpointReach, Hold, HoldEvent, HoldSettings};
use crate::ids::{EndpointName, Epoch, Session, Version};
use crate::time::{Mono, Now, Wall};

const MILLION: u64 = 1_000_000;

/// Wall clock at the start of a trace, in milliseconds since the Unix epoch.
const START_WALL_MS: u64 = 1_800_000_000_000;

/// A clock that runs at its own rate and is off by its own skew.
#[derive(Debug, Clone, Copy)]
pub(super) struct Clock {
    /// Milliseconds that it shows for a million true ones.
    pub rate: u64,
    /// Milliseconds by which its wall clock is ahead of the slowest allowed one.
    pub skew_ms: u64,
    /// Reading of the monotonic clock at the start.
    pub origin_ms: u64,
}

impl Clock {
    pub const fn now(&self, at: u64) -> Now {
        Now {
            mono: Mono(self.origin_ms + at * self.rate / MILLION),
            wall: Wall(START_WALL_MS + at + self.skew_ms),
        }
    }
}

/// State of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Process {
    Running,
    /// It does nothing, its clock goes on.
    Paused,
    Dead,
}

/// One instance.
#[derive(Debug)]
pub(super) struct Node {
    pub session: Session,
    pub hold: Hold,
    pub clock: Clock,
    pub process: Process,
    pub store_cut: bool,
    pub reach: EndpointReach,
    pub waiting: VecDeque<HoldEvent>,
    /// Delay of the next write, in milliseconds.
    pub delay_write_ms: u64,
    pub lose_answer: bool,
    /// Newest row version its hold has known.
    pub version: Version,
}

impl Node {
    pub fn new(index: usize, start: u64, clock: Clock, settings: &HoldSettings) -> Self {
        let session = session(index, start);
        Self {
            hold: Hold::new(session.clone(), endpoint(), settings.clone()),
            session,
            clock,
            process: Process::Running,
            store_cut: false,
            reach: EndpointReach::Unknown,
            waiting: VecDeque::new(),
            delay_write_ms: 0,
            lose_answer: false,
            version: Version(0),
        }
    }

    pub fn alive(&self) -> bool {
        self.process != Process::Dead
    }

    pub fn runs(&self) -> bool {
        self.process == Process::Running
    }

    pub fn pause(&mut self) {
        if self.alive() {
            self.process = Process::Paused;
        }
    }

    /// Epoch under which it may act; a paused one counts too, for it may go on
    /// at any moment.
    pub fn acts(&self, at: u64) -> Option<Epoch> {
        if !self.alive() {
            return None;
        }
        self.hold.may_act(self.clock.now(at))
    }

    /// Whether its hold knows an older row than before.
    pub fn went_back(&mut self) -> bool {
        let version = self.hold.known_row().map_or(Version(0), |it| it.0);
        let back = version < self.version;
        self.version = version;
        back
    }
}

/// Start number `start` of instance `index`.
pub(super) fn session(index: usize, start: u64) -> Session {
    Session::new(&format!("n{index}"), start)
}

pub(super) fn endpoint() -> EndpointName {
    EndpointName::new("endpoint")
}
