//! Settings of an instance that runs in front of endpoints on a shared store.

use std::net::SocketAddr;

use crate::gateway::budget::RetryLimit;
use crate::gateway::election::Strength;
use crate::ids::{InstanceName, ZoneName};

/// What one instance is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceSettings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the instance is ready.
    pub ready: SocketAddr,
    /// Where other instances send their reports.
    pub reports: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Limit on second sends that all instances share.
    pub retries: RetryLimit,
    /// Time from the signal to stop to the end of the process, in milliseconds.
    pub grace_ms: u64,
    /// Longest hold that an endpoint accepts, in milliseconds.
    pub hold_max_ms: u64,
    /// Time from the acknowledgement of an evacuation until nothing reaches the zone's endpoints
    /// any more, in milliseconds.
    pub evacuation_ms: u64,
    /// How much more than its service states a cold endpoint may get, as a factor.
    pub cold_overage: f64,
    /// Memory of the instance, in megabytes.
    pub memory_mb: u64,
    /// How much of a leader's work the machine could do.
    pub strength: Strength,
    /// The whole system starts for the first time: the store has no rows of the product.
    pub first_start: bool,
}
