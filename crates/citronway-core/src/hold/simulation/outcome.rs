//! What a trace leads to, to be compared with the stated outcome.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{Epoch, Session};

/// A time during which one session might act without a break.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveInterval {
    /// The session.
    pub session: Session,
    /// Its epoch.
    pub epoch: Epoch,
    /// First moment, in milliseconds from the start.
    pub from: u64,
    /// Last moment seen.
    pub until: u64,
}

/// A promise of the design that did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "broken", rename_all = "snake_case")]
pub enum Violation {
    /// Two sessions might act at the same moment.
    TwoActing {
        /// When.
        at: u64,
        /// One of them.
        first: Session,
        /// The other.
        second: Session,
    },
    /// The epoch of the row went back or was given twice.
    Epoch {
        /// When.
        at: u64,
    },
    /// A hold took an older row for the newest.
    Version {
        /// When.
        at: u64,
    },
    /// A dispatcher's floor is below ids that an earlier one may have sent.
    Floor {
        /// When.
        at: u64,
        /// Epoch of the floor.
        epoch: Epoch,
    },
}

/// Outcome of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HoldOutcome {
    /// Who might act, in order.
    pub acting: Vec<ActiveInterval>,
    /// Longest time in which nobody might act, in milliseconds.
    pub longest_gap_ms: u64,
    /// Row at the end.
    pub dispatcher: Option<Session>,
    /// Its successors.
    pub successors: Vec<Session>,
    /// Its former dispatchers.
    pub former: Vec<Session>,
    /// Reads that reached the store.
    pub store_reads: u64,
    /// Writes that reached the store, conflicts included.
    pub store_writes: u64,
    /// First promise of the design that did not hold.
    pub broken: Option<Violation>,
}

/// Why a trace cannot be replayed.
#[derive(Debug, Error)]
pub enum ReplayError {
    /// It has no lines.
    #[error("the trace is empty")]
    Empty,
    /// A line is not what it should be.
    #[error("line {line}: {source}")]
    Line {
        /// Its number, from 1.
        line: usize,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// A fault names an instance that is not there.
    #[error("fault {fault}: no instance {node}")]
    NoInstance {
        /// Number of the fault, from 0.
        fault: usize,
        /// Instance named.
        node: usize,
    },
}
