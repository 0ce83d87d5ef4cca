//! Steps of a simulation and their order in the queue.

use std::cmp::Ordering;

use super::script::Fault;
use crate::hold::HoldEvent;
use crate::ids::{Session, Version};
use crate::shard::DispatchRow;

/// Something that happens at a scheduled time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Step {
    Tick { node: usize },
    Deliver { to: Session, event: HoldEvent },
    StoreCall { call: StoreCall },
    StoreAnswer { to: Session, event: HoldEvent },
    ListShowsGone { session: Session },
    Handshake { node: usize, new: Session },
    Exit { session: Session },
    Fault { fault: Fault },
}

/// A call to the store that is in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StoreCall {
    pub from: Session,
    pub begun: u64,
    pub lose_answer: bool,
    pub operation: StoreOperation,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StoreOperation {
    Read {
        read: u64,
    },
    Write {
        write: u64,
        expected: Version,
        row: DispatchRow,
    },
}

/// A scheduled step. Steps are ordered by time, then by their number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ScheduledStep {
    pub at: u64,
    pub number: u64,
    pub step: Step,
}

impl PartialOrd for ScheduledStep {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledStep {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
