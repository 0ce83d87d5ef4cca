//! Faults of the platform stand-in.

use serde::{Deserialize, Serialize};

/// Faults in force. `POST /fault` replaces them all; what it leaves out is off.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Connections are dropped when a request comes in; it has no effect.
    pub down: bool,
    /// Requests wait so many milliseconds before they take effect. They take
    /// effect also if the client has given up by then.
    pub slow_ms: u64,
    /// So many of the next writes take effect, but their answers are lost.
    pub lose_answers: u32,
    /// Writes are refused with 503 and have no effect.
    pub refuse_writes: bool,
    /// The instance list lags so many milliseconds behind, and says so.
    pub list_lag_ms: Option<u64>,
}
