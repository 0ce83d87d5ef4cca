//! Steps of a replay, ordered by time.

use std::cmp::Ordering;

use super::script::Fault;
use crate::hold::HoldEvent;
use crate::ids::{Session, Version};
use crate::shard::DispatchRow;

/// Something that happens at its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Step {
    Tick { node: usize },
    Arrive { to: Session, event: HoldEvent },
    StoreCall { call: Call },
    StoreAnswer { to: Session, event: HoldEvent },
    ListShowsGone { session: Session },
    Greet { node: usize, new: Session },
    Exit { session: Session },
    Fault { fault: Fault },
}

/// A call under way to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Call {
    pub from: Session,
    pub begun: u64,
    pub lose_answer: bool,
    pub what: StoreWork,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StoreWork {
    Read {
        read: u64,
    },
    Write {
        write: u64,
        expected: Version,
        row: DispatchRow,
    },
}

/// A step in the queue, ordered by time and then by number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Queued {
    pub at: u64,
    pub number: u64,
    pub step: Step,
}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
