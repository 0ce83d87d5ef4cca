//! Outcome of a trace, to be compared with the expected one.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{Epoch, Session};

/// An uninterrupted interval in which a session was permitted to act.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveInterval {
    /// Session that was permitted to act.
    pub session: Session,
    /// Epoch of the session.
    pub epoch: Epoch,
    /// Start of the interval, in milliseconds from the start of the trace.
    pub from: u64,
    /// Last moment at which the session was seen active, in milliseconds from the
    /// start.
    pub until: u64,
}

/// A violation of an invariant of the hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "broken", rename_all = "snake_case")]
pub enum Violation {
    /// Two sessions were permitted to act at the same time.
    TwoActing {
        /// Time of the violation, in milliseconds from the start.
        at: u64,
        /// One of the sessions.
        first: Session,
        /// The other session.
        second: Session,
    },
    /// The epoch of the row decreased or was given to two sessions.
    Epoch {
        /// Time of the violation, in milliseconds from the start.
        at: u64,
    },
    /// A hold replaced its known row by an older one.
    Version {
        /// Time of the violation, in milliseconds from the start.
        at: u64,
    },
    /// A dispatcher's floor is below ids that an earlier dispatcher may have sent.
    Floor {
        /// Time of the violation, in milliseconds from the start.
        at: u64,
        /// Epoch of the dispatcher with that floor.
        epoch: Epoch,
    },
}

/// Outcome of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HoldOutcome {
    /// Intervals in which a session was permitted to act, in order.
    pub acting: Vec<ActiveInterval>,
    /// Longest time in which no session was permitted to act, in milliseconds.
    pub longest_gap_ms: u64,
    /// Dispatcher in the final row.
    pub dispatcher: Option<Session>,
    /// Successors in the final row.
    pub successors: Vec<Session>,
    /// Former members in the final row.
    pub former: Vec<Session>,
    /// Number of reads that reached the store.
    pub store_reads: u64,
    /// Number of writes that reached the store, including conflicts.
    pub store_writes: u64,
    /// First violation of an invariant, `None` if there was none.
    pub broken: Option<Violation>,
}

/// Error that prevents the replay of a trace.
#[derive(Debug, Error)]
pub enum ReplayError {
    /// The trace has no lines.
    #[error("the trace is empty")]
    Empty,
    /// A line is malformed.
    #[error("line {line}: {source}")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// Cause of the error.
        source: serde_json::Error,
    },
    /// A fault names an instance that does not exist.
    #[error("fault {fault}: no instance {node}")]
    NoInstance {
        /// Index of the fault, from 0.
        fault: usize,
        /// Instance that the fault names.
        node: usize,
    },
}
