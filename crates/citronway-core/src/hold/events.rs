//! Events that a hold handles and actions that it requests, in a form that can be
//! recorded and replayed.

use serde::{Deserialize, Serialize};

use super::Hold;
use crate::ids::{Epoch, Session, Version};
use crate::peer::{HoldMessage, KnownRequests};
use crate::platform::WriteOutcome;
use crate::shard::DispatchRow;
use crate::time::{Now, Wall};

/// Whether this instance reaches the endpoint, according to its own probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointReach {
    /// Not probed yet.
    #[default]
    Unknown,
    /// The endpoint answers the probes.
    Reached,
    /// The endpoint does not answer the probes.
    Lost,
}

/// Why a dispatcher hands over its role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandOverReason {
    /// The process shuts down; its session takes no role afterwards.
    Leaving,
    /// The dispatcher does not reach the endpoint, but a successor may.
    EndpointLost,
}

/// Result of a [`HoldAction::ReadRow`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "read", rename_all = "snake_case")]
pub enum ReadOutcome {
    /// The row exists.
    Found {
        /// Version of the row.
        version: Version,
        /// Content of the row.
        row: DispatchRow,
    },
    /// The store answered that the row does not exist.
    Absent,
    /// The store did not answer.
    Failed,
}

/// Input of a hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum HoldEvent {
    /// A row was read or received; see [`Hold::on_row`].
    Row {
        /// Version of the row.
        version: Version,
        /// Content of the row.
        row: DispatchRow,
    },
    /// A read ended; see [`Hold::on_read_done`].
    ReadDone {
        /// Number of the read.
        read: u64,
        /// Result of the read.
        outcome: ReadOutcome,
    },
    /// A write ended; see [`Hold::on_write_done`].
    WriteDone {
        /// Number of the write.
        write: u64,
        /// Result of the write.
        outcome: WriteOutcome,
    },
    /// A message arrived; see [`Hold::on_message`].
    Message {
        /// Session that sent the message.
        from: Session,
        /// Content of the message.
        message: HoldMessage,
    },
    /// A session has ended for good; see [`Hold::on_gone`].
    Gone {
        /// The session that is gone.
        session: Session,
    },
    /// The role is to be handed over; see [`Hold::hand_over`].
    HandOver {
        /// Why it is handed over.
        reason: HandOverReason,
        /// Requests that the dispatcher knows.
        known: KnownRequests,
    },
    /// Time has passed; see [`Hold::tick`].
    Tick {
        /// Live sessions that may take a role, best first.
        candidates: Vec<Session>,
        /// Whether this instance reaches the endpoint.
        reach: EndpointReach,
    },
}

/// Output of a hold, to be executed by its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum HoldAction {
    /// Send a message. It may be lost, delayed or reordered.
    Send {
        /// Session to send it to.
        to: Session,
        /// Content of the message.
        message: HoldMessage,
    },
    /// Read the dispatch row and report with [`Hold::on_read_done`].
    ReadRow {
        /// Number of the read, for the report.
        read: u64,
    },
    /// Write the dispatch row once, without retry, and report with
    /// [`Hold::on_write_done`].
    Write {
        /// Number of the write, for the report.
        write: u64,
        /// Version that the stored row must have, 0 if it must not exist.
        expected: Version,
        /// New content of the row.
        row: DispatchRow,
    },
    /// The row names this session as dispatcher. It may act only while
    /// [`Hold::may_act`] returns the epoch.
    TookOver {
        /// Epoch of this session as dispatcher.
        epoch: Epoch,
        /// Requests whose id was created before this may have been sent by an
        /// earlier dispatcher.
        floor: Wall,
        /// Whether the previous dispatcher handed the role over.
        handed_over: bool,
        /// Requests that the previous dispatcher handed over.
        known: KnownRequests,
    },
    /// This session is no longer the dispatcher.
    Lost {
        /// Epoch that has ended for this session.
        epoch: Epoch,
    },
    /// Every successor declined the role; this session keeps it and may declare the
    /// endpoint lost.
    OfferDeclined {
        /// Epoch that continues.
        epoch: Epoch,
    },
}

impl Hold {
    /// Applies a recorded event. The same events give the same actions.
    #[must_use]
    pub fn apply(&mut self, event: &HoldEvent, now: Now) -> Vec<HoldAction> {
        match event {
            HoldEvent::Row { version, row } => self.on_row(row, *version, now),
            HoldEvent::ReadDone { read, outcome } => self.on_read_done(*read, outcome, now),
            HoldEvent::WriteDone { write, outcome } => self.on_write_done(*write, outcome, now),
            HoldEvent::Message { from, message } => self.on_message(from, message, now),
            HoldEvent::Gone { session } => self.on_gone(session, now),
            HoldEvent::HandOver { reason, known } => self.hand_over(*reason, known, now),
            HoldEvent::Tick { candidates, reach } => self.tick(candidates, *reach, now),
        }
    }
}
