//! What the platform's duty is asked to do.

use citronway_core::node::events::Ticket;
use citronway_core::platform::{ConditionalPut, RowKey};

/// A command to the platform's duty.
#[derive(Debug)]
pub enum PlatformCommand {
    /// Read a whole table; answered by `Event::RowsRead` or `Event::ReadFailed`
    /// with ticket 0.
    ReadTable {
        /// Its name.
        table: String,
    },
    /// Read one row; answered by `Event::RowRead` or `Event::ReadFailed`.
    ReadRow {
        /// Ticket for the answer.
        ticket: Ticket,
        /// The row.
        at: RowKey,
    },
    /// Write, all or nothing; answered by `Event::WriteDone`.
    Write {
        /// Ticket for the answer.
        ticket: Ticket,
        /// The writes.
        puts: Vec<ConditionalPut>,
    },
    /// Finish what is in progress, then end the thread.
    Stop,
}
