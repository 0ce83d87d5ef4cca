//! What an instance believes when it decides about a request.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::gateway::assignment::Assignment;
use crate::gateway::crashes::CrashSnapshot;
use crate::gateway::pace::EndpointTag;
use crate::gateway::registry::Registry;
use crate::gateway::routes::RouteTable;
use crate::gateway::share::Demand;
use crate::ids::{ServiceName, Version, ZoneName};

/// Everything that is known outside the instance's own traffic.
#[derive(Debug, Clone)]
pub struct View {
    /// Configuration in force; none until the first is known.
    pub routes: Option<Arc<RouteTable>>,
    /// Listed endpoints.
    pub registry: Arc<Registry>,
    /// Owners of the keys of each sharded service.
    pub owners: IndexMap<ServiceName, Owners>,
    /// What is known of each endpoint's load.
    pub reported_loads: IndexMap<EndpointTag, ReportedLoad>,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Order of this instance among all; the same everywhere.
    pub rank: u64,
    /// Instances that share the load, this one included.
    pub instances: u32,
    /// What is known of requests that crash endpoints.
    pub crashes: Arc<CrashSnapshot>,
}

impl View {
    /// What an instance knows when it starts: nothing.
    #[must_use]
    pub fn empty(zone: ZoneName, rank: u64) -> Self {
        Self {
            routes: None,
            registry: Arc::default(),
            owners: IndexMap::new(),
            reported_loads: IndexMap::new(),
            zone,
            rank,
            instances: 1,
            crashes: Arc::default(),
        }
    }
}

/// Owners of a service's keys.
#[derive(Debug, Clone)]
pub struct Owners {
    /// The assignment.
    pub assignment: Arc<Assignment>,
    /// Version of its row.
    pub version: Version,
}

/// Load of an endpoint as all instances report it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReportedLoad {
    /// What each other instance has there or wants to send.
    pub others: Vec<Demand>,
    /// Requests of others in flight there.
    pub in_flight: u32,
    /// Requests of others that wait to be sent there.
    pub waiting: u32,
    /// The two are the sums of all instances; else those of `others`.
    pub is_sum: bool,
    /// Time that it takes, relative to an average endpoint.
    pub slowness: f64,
    /// Share of its requests that it fails or refuses.
    pub failure_ratio: f64,
}

impl ReportedLoad {
    /// An endpoint of which nothing is known.
    #[must_use]
    pub fn unknown() -> Self {
        Self {
            slowness: 1.0,
            ..Self::default()
        }
    }
}
