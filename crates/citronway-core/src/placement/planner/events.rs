//! What happens to a planner, and what it does.

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, Session, Version};
use crate::peer::{EndpointLoad, EndpointLost, ShardReleased};
use crate::placement::wanted::Wanted;
use crate::platform::{ConditionalPut, Row, RowKey, WriteOutcome};

/// Table of the elected planners, one row for each service.
pub const PLANNER_TABLE: &str = "planner";

/// Table of assignments, one row for each service.
pub const ASSIGNMENT_TABLE: &str = "assignment";

/// Table of dispatch rows, one for each endpoint.
pub const DISPATCH_TABLE: &str = "dispatch";

/// Number that ties an answer to what asked for it, unique within a planner.
pub type Ticket = u64;

/// Content of a row of [`PLANNER_TABLE`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerRow {
    /// The elected session.
    pub session: Session,
    /// Grows with every election.
    pub epoch: Epoch,
    /// Newest configuration that an assignment of the service was made from.
    pub config: Version,
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum PlannerEvent {
    /// Time has passed.
    Tick,
    /// What is wanted has changed, or is known now.
    Wanted {
        /// What is wanted.
        wanted: Box<Wanted>,
    },
    /// A whole table was read.
    Table {
        /// Its name.
        table: String,
        /// All its rows.
        rows: Vec<Row>,
    },
    /// A row came to know by another way, such as from another instance.
    Row {
        /// The row.
        row: Row,
    },
    /// Outcome of [`PlannerAction::ReadRow`].
    RowRead {
        /// Ticket of the read.
        ticket: Ticket,
        /// The row, or `None` if it does not exist.
        row: Option<Row>,
    },
    /// A read failed or timed out.
    ReadFailed {
        /// Ticket of the read.
        ticket: Ticket,
    },
    /// Outcome of [`PlannerAction::Write`].
    WriteDone {
        /// Ticket of the write.
        ticket: Ticket,
        /// What became of it.
        outcome: WriteOutcome,
    },
    /// A dispatcher reports a shard released.
    Released {
        /// The report.
        report: ShardReleased,
    },
    /// A dispatcher reports an endpoint lost.
    Lost {
        /// The report.
        report: EndpointLost,
    },
    /// A dispatcher reports the load of an endpoint.
    Load {
        /// The report.
        report: EndpointLoad,
    },
    /// Another session gave a sign of life.
    Heard {
        /// The session.
        session: Session,
    },
    /// A session is known to be gone for good.
    Gone {
        /// The session.
        session: Session,
    },
}

/// Something the process has to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum PlannerAction {
    /// Write to the store, all or nothing.
    Write {
        /// Ticket for [`PlannerEvent::WriteDone`].
        ticket: Ticket,
        /// The writes.
        puts: Vec<ConditionalPut>,
    },
    /// Read one row from the store.
    ReadRow {
        /// Ticket for [`PlannerEvent::RowRead`].
        ticket: Ticket,
        /// The row.
        at: RowKey,
    },
    /// Tell all instances of a row whose write is known to stand.
    Publish {
        /// The row.
        row: Row,
    },
}
