//! Tables of the store that an instance follows, their rows, and the relay of rows to other
//! instances.

use crate::gateway::freshness::Confirmation;
use crate::gateway::version::RowVersion;

/// A table that an instance follows. Instances write only to [`Table::Own`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Table {
    /// The operator's configuration.
    Config,
    /// Listed endpoints.
    Endpoints,
    /// Rows of this product.
    Own,
}

impl Table {
    /// All tables.
    pub const ALL: [Self; 3] = [Self::Config, Self::Endpoints, Self::Own];

    /// Name for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Endpoints => "endpoints",
            Self::Own => "own",
        }
    }
}

/// A row of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Value of the row; `None` if it was removed.
    pub value: Option<Vec<u8>>,
    /// Version of its last change.
    pub version: RowVersion,
}

/// Rows that the leader has read and relays to the other instances.
///
/// Only the leader waits for changes at the store; the others get them from it. A receiver
/// notices by the versions that a relay was lost, and then reads the store itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// Table of the rows.
    pub table: Table,
    /// Version before these rows; the receiver must have reached it.
    pub after: RowVersion,
    /// Version that the receiver has reached after these rows.
    pub position: RowVersion,
    /// Rows that changed in between these versions.
    pub rows: Vec<Row>,
    /// Changes of large rows that stay mostly the same.
    pub patches: Vec<Patch>,
    /// In a copy of the configuration: when the sender's was the newest one, if that was confirmed.
    pub confirmed: Option<Confirmation>,
}

/// Difference between two versions of the row of an assignment.
///
/// Load: while hot ranges are split, the row changes ten times a second. The whole row has 20 KB
/// with 400 ranges and goes to 86 instances, which is more than the leader's link carries: most
/// copies are lost and read from the store. The difference is smaller than 1 KB.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Patch {
    /// Key of the row.
    pub key: String,
    /// Version of the row to which the change applies.
    pub before: RowVersion,
    /// Version of the row after the change.
    pub version: RowVersion,
    /// The change, as encoded by `Assignment::changes_since`.
    pub change: Vec<u8>,
}
