//! Bodies of the control requests to an endpoint.

use citronway_core::ids::RequestId;
use serde::{Deserialize, Serialize};

/// Path of grants, renewals and probes.
pub const GRANT: &str = "/citronway/grant";
/// Path of revocations.
pub const REVOKE: &str = "/citronway/revoke";
/// Path of cancellations.
pub const CANCEL: &str = "/citronway/cancel";

/// Answer to a grant or a revocation: what the endpoint says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// It knows a higher epoch than the one in the grant.
    pub stale_epoch: bool,
    /// It is leaving.
    pub draining: bool,
    /// Orders at work.
    pub running: u32,
    /// It has just started.
    pub cold: bool,
}

/// Asks that a request does not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The request.
    pub id: RequestId,
}

/// Answer to a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// The request does not run and never will.
    pub confirmed: bool,
}
