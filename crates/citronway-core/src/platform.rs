//! What the platform offers, as the decisions see it.

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceName, Version, ZoneName};

/// Name of a row in the table service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowKey {
    /// Table.
    pub table: String,
    /// Key within the table.
    pub key: String,
}

/// A row as read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its name.
    pub at: RowKey,
    /// Grows with every write of the row, also across removal.
    pub version: Version,
    /// Content, JSON text.
    pub value: String,
}

/// One write of a transaction; it holds only if the row has the expected version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConditionalPut {
    /// Row to write.
    pub at: RowKey,
    /// Version that the row must have; 0 if it must not exist.
    pub expected: Version,
    /// New content, JSON text.
    pub value: String,
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum WriteOutcome {
    /// All writes stand; versions in the order of the writes.
    Done {
        /// New versions.
        versions: Vec<Version>,
    },
    /// A row had another version; nothing was written.
    Conflict {
        /// The first row that did not match.
        at: RowKey,
        /// The version it has.
        found: Version,
    },
    /// No answer: the writes may stand, may land later or never.
    Unknown,
    /// Refused before it reached the service; nothing was written.
    Refused,
}

/// State of an instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Thought to run.
    Live,
    /// Told to leave.
    Leaving,
}

/// An instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name.
    pub instance: InstanceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address for other instances, `ip:port`.
    pub peer_address: String,
    /// What the list thinks of it.
    pub state: ListedState,
}

/// The platform's instance list, which lags behind.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct InstanceList {
    /// Most that the list lags behind, in milliseconds.
    pub lag_ms: u64,
    /// Live and leaving instances.
    pub instances: Vec<ListedInstance>,
}
