//! Faults of the endpoint stand-in.

use serde::{Deserialize, Serialize};

/// Faults in force. `POST /fault` replaces them all; what it leaves out is off.
///
/// Each field is a switch of its own; any of them may be on together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent switches of a test bench, not a state"
)]
pub struct EndpointFaults {
    /// Takes bytes and does nothing until thawed; then acts on all it took,
    /// renewals and orders alike, in the order in which they came.
    pub frozen: bool,
    /// Service time and the time of a probe are multiplied by this.
    pub slow_factor: f64,
    /// Answers probes at once and as idle, whatever is true.
    pub claims_healthy: bool,
    /// Refuses every order as shed.
    pub sheds: bool,
    /// Refuses every order as draining, and says so to probes.
    pub draining: bool,
    /// Runs orders, then closes the connection without an answer.
    pub loses_answers: bool,
    /// Runs orders, then sends half of the answer.
    pub half_answers: bool,
    /// Runs orders, then sends an answer that names another request.
    pub foreign_answers: bool,
    /// Answers cancellations with `false` and runs the order all the same.
    pub ignores_cancel: bool,
    /// Once, when received: forgets fences, cancellations and orders at work,
    /// whose connections are closed, and is cold again. The journal stays.
    pub restart: bool,
}

impl Default for EndpointFaults {
    fn default() -> Self {
        Self {
            frozen: false,
            slow_factor: 1.0,
            claims_healthy: false,
            sheds: false,
            draining: false,
            loses_answers: false,
            half_answers: false,
            foreign_answers: false,
            ignores_cancel: false,
            restart: false,
        }
    }
}
