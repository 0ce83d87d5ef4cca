//! Snapshot of the cluster state on which an instance bases its admission decisions.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::gateway::assignment::Assignment;
use crate::gateway::budget::Sharing;
use crate::gateway::crashes::CrashSnapshot;
use crate::gateway::fleet_admission::FleetDemand;
use crate::gateway::pace::{EndpointTag, Pace};
use crate::gateway::registry::Registry;
use crate::gateway::routes::RouteTable;
use crate::gateway::share::Demand;
use crate::gateway::version::RowVersion;
use crate::ids::{InstanceName, ServiceName, ZoneName};

/// Everything that admission uses besides the instance's own traffic.
#[derive(Debug, Clone)]
pub struct View {
    /// Configuration in force; `None` until the first one is known.
    pub routes: Option<Arc<RouteTable>>,
    /// Listed endpoints.
    pub registry: Arc<Registry>,
    /// Owners of the keys of each sharded service.
    pub owners: IndexMap<ServiceName, Owners>,
    /// Load of each endpoint, as other instances report it.
    pub reported_loads: IndexMap<EndpointTag, ReportedLoad>,
    /// Pace of each endpoint that has answered lately.
    pub paces: IndexMap<EndpointTag, Pace>,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Rank of this instance among all, on which all instances agree.
    pub rank: u64,
    /// Number of instances that share the load, this one included.
    pub instances: u32,
    /// Number of instances that share the limit on retries.
    pub sharing: Sharing,
    /// Requests that crash endpoints or are suspected of it.
    pub crashes: Arc<CrashSnapshot>,
    /// Other instances that may reach endpoints which this one does not.
    pub neighbors: Vec<Neighbor>,
    /// Whether a leader is known that can move keys.
    pub has_leader: bool,
    /// Requests a second that limited endpoints take from all instances together.
    pub limits: IndexMap<EndpointTag, f64>,
    /// Demand of all other instances by queue and rank; `None` where it is not known or not used.
    pub fleet: Option<FleetDemand>,
    /// Services whose hot ranges are divided at once.
    pub divided_fast: Vec<ServiceName>,
    /// Services whose endpoints have a bound on the bytes of requests, in kilobytes.
    pub byte_bounds: IndexMap<ServiceName, u32>,
}

impl View {
    /// View of an instance that has just started and knows nothing yet.
    #[must_use]
    pub fn empty(zone: ZoneName, rank: u64) -> Self {
        Self {
            routes: None,
            registry: Arc::default(),
            owners: IndexMap::new(),
            reported_loads: IndexMap::new(),
            paces: IndexMap::new(),
            zone,
            rank,
            instances: 1,
            sharing: Sharing::ALONE,
            crashes: Arc::default(),
            neighbors: Vec::new(),
            has_leader: false,
            limits: IndexMap::new(),
            fleet: None,
            divided_fast: Vec::new(),
            byte_bounds: IndexMap::new(),
        }
    }
}

/// Another instance, to which requests may be passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Neighbor {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Address on which it takes requests from other instances.
    pub address: SocketAddr,
    /// Whether it is in this instance's availability zone.
    pub is_near: bool,
}

/// Owners of a service's keys.
#[derive(Debug, Clone)]
pub struct Owners {
    /// Assignment of the keys.
    pub assignment: Arc<Assignment>,
    /// Version of the assignment's row.
    pub version: RowVersion,
}

/// Load of an endpoint as reported by all instances.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReportedLoad {
    /// Requests that each other instance has there or waits to send.
    pub others: Vec<Demand>,
    /// Number of other instances' requests in flight there.
    pub in_flight: u32,
    /// Number of other instances' requests that wait to be sent there.
    pub waiting: u32,
    /// Kilobytes of the bodies of other instances' requests in flight there.
    pub kb: u32,
    /// Whether `in_flight` and `waiting` are sums over all instances, not only over `others`.
    pub is_sum: bool,
    /// Work time of the endpoint, relative to an average endpoint.
    pub slowness: f64,
    /// Share of its requests that fail or are refused.
    pub failure_ratio: f64,
}

impl ReportedLoad {
    /// Load of an endpoint that has no reports.
    #[must_use]
    pub fn unknown() -> Self {
        Self {
            slowness: 1.0,
            ..Self::default()
        }
    }
}
