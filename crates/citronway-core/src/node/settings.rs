//! Settings of the machine of one entry instance.

use serde::{Deserialize, Serialize};

/// Durations and limits that the decisions go by; all times in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeSettings {
    /// Time between two reads of the stored tables.
    pub poll_ms: u64,
    /// Time between two heartbeats to the other instances.
    pub heartbeat_ms: u64,
    /// Without word from the store or a peer for this long, nothing is served.
    pub stale_after_ms: u64,
    /// Most by which the wall clocks of two machines differ.
    pub skew_ms: u64,
    /// Longest time an order may take.
    pub max_order_ms: u64,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            poll_ms: 500,
            heartbeat_ms: 250,
            stale_after_ms: 5_000,
            skew_ms: 250,
            max_order_ms: 30_000,
        }
    }
}
