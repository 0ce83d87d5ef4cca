//! Settings of a gateway instance.

use std::net::{IpAddr, SocketAddr};

use crate::gateway::budget::RetryLimit;
use crate::gateway::election::Strength;
use crate::ids::{InstanceName, ZoneName};

/// Settings that an instance reads at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceSettings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address on which the load balancer checks readiness.
    pub ready: SocketAddr,
    /// Address to which other instances send their reports.
    pub reports: SocketAddr,
    /// Address on which other instances pass requests on to this one; `None` for none.
    pub neighbors: Option<SocketAddr>,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
    /// Address from which connections to endpoints are opened; `None` for the system's choice.
    pub endpoint_source: Option<IpAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Limit on retries that all instances share.
    pub retries: RetryLimit,
    /// Time from the stop signal to the end of the process, in milliseconds.
    pub grace_ms: u64,
    /// Longest hold that an endpoint accepts, in milliseconds.
    pub hold_max_ms: u64,
    /// Time from the acknowledgement of an evacuation until the zone's endpoints get no more
    /// requests, in milliseconds.
    pub evacuation_ms: u64,
    /// Time from an endpoint's first statement that it leaves until it gets no more requests, in
    /// milliseconds.
    pub drain_ms: u64,
    /// Time from the acknowledgement of a configuration until it must be in force, in milliseconds.
    pub config_apply_ms: u64,
    /// Factor by which requests to a cold endpoint may exceed the rate that its service states.
    pub cold_overage: f64,
    /// Memory available to the instance, in megabytes.
    pub memory_mb: u64,
    /// Part of a leader's work that the machine can do.
    pub strength: Strength,
    /// Whether the whole system starts for the first time, so the store has no rows of this
    /// product.
    pub first_start: bool,
}
