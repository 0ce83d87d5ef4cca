//! Bodies of the platform protocol.

use citronway_core::ids::Version;
use citronway_core::platform::{ConditionalPut, ListedState, Row, RowKey};
use serde::{Deserialize, Serialize};

/// Answer to the read of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// All rows of the table.
    pub rows: Vec<Row>,
}

/// A transaction: all its writes stand, or none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The writes.
    pub puts: Vec<ConditionalPut>,
}

/// Answer to a transaction that stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// New versions, in the order of the writes.
    pub versions: Vec<Version>,
}

/// Answer to a transaction that failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotWritten {
    /// The first row that did not match.
    pub at: RowKey,
    /// The version it has, 0 if it does not exist.
    pub found: Version,
}

/// Registers an instance; its name is in the path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Availability zone.
    pub zone: citronway_core::ids::ZoneName,
    /// Address for other instances, `ip:port`.
    pub peer_address: String,
    /// Live or leaving.
    #[serde(default = "live")]
    pub state: ListedState,
}

/// Requests that the stand-in took in since it started, for `GET /stats`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Requests that arrived, also those that wait because the platform is slow.
    pub arrived: u64,
    /// Reads of tables, rows and the instance list.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// Transactions that met another version.
    pub conflicts: u64,
    /// Bytes of bodies received and sent.
    pub bytes: u64,
}

const fn live() -> ListedState {
    ListedState::Live
}
