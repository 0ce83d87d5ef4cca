//! What happens to a hold, and what it wants done; recordable for replay.

use serde::{Deserialize, Serialize};

use super::Hold;
use crate::ids::{Epoch, Session, Version};
use crate::peer::{HoldMessage, KnownRequests};
use crate::platform::WriteOutcome;
use crate::shard::DispatchRow;
use crate::time::{Now, Wall};

/// Whether this instance reaches the endpoint, as its own probes tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointReach {
    /// It has not tried.
    #[default]
    Unknown,
    /// It does.
    Reached,
    /// It does not.
    Lost,
}

/// Why a dispatcher gives its role away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandOverReason {
    /// The process shuts down; it takes no part afterwards.
    Leaving,
    /// It does not reach the endpoint, a successor may.
    EndpointLost,
}

/// Result of a read that a hold asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "read", rename_all = "snake_case")]
pub enum ReadOutcome {
    /// The row as stored.
    Found {
        /// Its version.
        version: Version,
        /// Its content.
        row: DispatchRow,
    },
    /// The store answered that there is no row.
    Absent,
    /// No answer.
    Failed,
}

/// Something that happened to a hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum HoldEvent {
    /// See [`Hold::on_row`].
    Row {
        /// Version of the row.
        version: Version,
        /// The row.
        row: DispatchRow,
    },
    /// See [`Hold::on_read_done`].
    ReadDone {
        /// Number of the read.
        read: u64,
        /// Its result.
        outcome: ReadOutcome,
    },
    /// See [`Hold::on_write_done`].
    WriteDone {
        /// Number of the write.
        write: u64,
        /// Its result.
        outcome: WriteOutcome,
    },
    /// See [`Hold::on_message`].
    Message {
        /// Sender.
        from: Session,
        /// The message.
        message: HoldMessage,
    },
    /// See [`Hold::on_gone`].
    Gone {
        /// The session that is gone.
        session: Session,
    },
    /// See [`Hold::hand_over`].
    HandOver {
        /// Why.
        reason: HandOverReason,
        /// Requests the dispatcher knows.
        known: KnownRequests,
    },
    /// See [`Hold::tick`].
    Tick {
        /// Sessions fit for a role, best first.
        candidates: Vec<Session>,
        /// Whether this instance reaches the endpoint.
        reach: EndpointReach,
    },
}

/// Something a hold wants done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum HoldAction {
    /// Send a message; it may be lost, late or out of order.
    Send {
        /// Receiver.
        to: Session,
        /// The message.
        message: HoldMessage,
    },
    /// Read the dispatch row; report with [`Hold::on_read_done`].
    ReadRow {
        /// Number for the report.
        read: u64,
    },
    /// Write the dispatch row once, without retry; report with [`Hold::on_write_done`].
    Write {
        /// Number for the report.
        write: u64,
        /// Version that the stored row must have, 0 if it must not exist.
        expected: Version,
        /// New content.
        row: DispatchRow,
    },
    /// This session is the row's dispatcher. It still acts only while
    /// [`Hold::may_act`] says so.
    TookOver {
        /// Its epoch.
        epoch: Epoch,
        /// Ids created before this may have been sent by an earlier dispatcher.
        floor: Wall,
        /// The earlier dispatcher handed the role over.
        handed_over: bool,
        /// What it handed over.
        known: KnownRequests,
    },
    /// This session is no dispatcher any more.
    Lost {
        /// Epoch that has ended for it.
        epoch: Epoch,
    },
    /// Every successor declined the endpoint; this session keeps the role and
    /// may declare the endpoint lost.
    OfferDeclined {
        /// Epoch that goes on.
        epoch: Epoch,
    },
}

impl Hold {
    /// Applies a recorded event; the same events give the same actions.
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
