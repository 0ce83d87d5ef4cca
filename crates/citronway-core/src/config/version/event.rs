//! Events and actions of the machine that keeps the configuration in force.

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceName, Version};
use crate::time::Mono;

/// What an instance learns of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum ConfigEvent {
    /// The store answered a read of the configuration's row.
    StoreRead {
        /// When it was asked.
        asked: Mono,
        /// Version of the row.
        version: Version,
        /// Content of the row.
        value: String,
    },
    /// The store answered that there is no such row.
    StoreEmpty {
        /// When it was asked.
        asked: Mono,
    },
    /// A peer sent the row.
    PeerRow {
        /// The peer.
        peer: InstanceName,
        /// Version of the row.
        version: Version,
        /// Content of the row.
        value: String,
    },
    /// A peer sent a heartbeat.
    Heartbeat {
        /// The peer.
        peer: InstanceName,
        /// Version in force there.
        version: Version,
    },
    /// Time has passed.
    Tick,
}

/// What the instance does about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum ConfigAction {
    /// Read the row from the store; a version this high exists.
    Fetch {
        /// Lowest version that is of use.
        at_least: Version,
    },
    /// Send the row in force to a peer that is behind.
    Offer {
        /// The peer.
        peer: InstanceName,
    },
    /// The version is in force now.
    Applied {
        /// The version.
        version: Version,
    },
    /// The version cannot be used, for example because a newer program wrote it.
    Refused {
        /// The version.
        version: Version,
        /// Everything that is wrong, one finding a line.
        findings: String,
    },
}
