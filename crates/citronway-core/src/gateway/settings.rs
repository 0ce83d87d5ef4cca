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
    /// Limits and switches of how callers' requests are handled.
    pub traffic: TrafficSettings,
    /// Part of a leader's work that the machine can do.
    pub strength: Strength,
    /// Whether the whole system starts for the first time, so the store has no rows of this
    /// product.
    pub first_start: bool,
}

/// Limits and switches of how callers' requests are handled; each has a default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrafficSettings {
    /// Most requests of one connection that are begun and not delivered; 1 for one at a time.
    pub pipeline_requests: u32,
    /// Most bytes of answers of one connection that wait for their turn.
    pub pipeline_answer_bytes: u64,
    /// Most requests of all connections that are begun before earlier ones of their connection are
    /// answered.
    pub pipelined_total: u32,
    /// Percentage of the instance's memory that may be used for connections, requests and answers.
    pub memory_percent: u8,
    /// Time after which a caller that takes no byte of its answer is disconnected, in milliseconds.
    pub write_stall_ms: u64,
    /// Longest time for which a connection closes while memory is short, in milliseconds.
    pub closing_ms: u64,
    /// Most bytes that are read and discarded of a connection that closes.
    pub closing_bytes: u64,
    /// Whether instances decide together which requests get scarce capacity.
    pub fleet_admission: bool,
    /// Whether an endpoint is chosen by when a request is expected to end there.
    pub timed_choice: Switch,
    /// Whether a hot range of keys is divided at once.
    pub fast_division: Switch,
}

impl Default for TrafficSettings {
    fn default() -> Self {
        Self {
            pipeline_requests: 16,
            pipeline_answer_bytes: 1_048_576,
            pipelined_total: 2_000,
            memory_percent: 60,
            write_stall_ms: 5_000,
            closing_ms: 30_000,
            closing_bytes: 8_388_608,
            fleet_admission: false,
            timed_choice: Switch::Auto,
            // On days with much trouble divisions cost callers more than they gain.
            fast_division: Switch::Off,
        }
    }
}

/// Whether a feature is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Switch {
    /// Where the operator's configuration calls for it.
    #[default]
    Auto,
    /// Always.
    On,
    /// Never.
    Off,
}
