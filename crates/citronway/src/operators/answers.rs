//! Shapes of the administration API's answers, shared with the command line.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use citronway_core::config::Config;
use citronway_core::ids::{EndpointName, Epoch, Session, Version, ZoneName};
use citronway_core::request::Labels;
use citronway_core::shard::Assignment;

use super::snapshot::{EndpointState, HoldState, InstanceState, Versioned};

/// Answer to `GET /admin/v1/config` and `GET /admin/v1/config/stored`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// Version of the configuration; 0 if there is none yet.
    pub version: Version,
    /// The configuration.
    pub config: Arc<Config>,
}

/// Answer to a command: the change is durable.
///
/// Whether it is in force is another question; [`VersionAnswer`] tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Version at which the change stands.
    pub version: Version,
    /// Whether anything had to be written.
    pub changed: bool,
}

/// Answer to `GET /admin/v1/assignment`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentAnswer {
    /// Assignments by service.
    pub assignments: Vec<Versioned<Arc<Assignment>>>,
}

/// Answer to `GET /admin/v1/dispatchers`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchersAnswer {
    /// Instance that answers; holds are as it sees them.
    pub instance: Session,
    /// Dispatchers by endpoint.
    pub dispatchers: Vec<DispatcherView>,
}

/// Dispatcher of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatcherView {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The only session that sends it work.
    pub dispatcher: Session,
    /// Epoch of the dispatcher.
    pub epoch: Epoch,
    /// Sessions that may take over.
    pub successors: Vec<Session>,
    /// Earlier members that may not know of it yet.
    pub former: Vec<Session>,
    /// Version of the dispatch row.
    pub version: Version,
    /// The hold, if the instance that answers has part in it.
    pub hold: Option<HoldState>,
}

/// Answer to `GET /admin/v1/endpoints`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointsAnswer {
    /// Instance that answers; states are those of endpoints it dispatches.
    pub instance: Session,
    /// All configured endpoints.
    pub endpoints: Vec<EndpointView>,
}

/// One endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointView {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Availability zone it stands in.
    pub zone: ZoneName,
    /// Its labels.
    pub labels: Labels,
    /// Orders that it runs at once, as configured.
    pub slots: u32,
    /// Whether an operator wants it to leave.
    pub drain: bool,
    /// Shards that it owns, those moving away included.
    pub shards: usize,
    /// The only session that sends it work, if known.
    pub dispatcher: Option<Session>,
    /// Its state, if the instance that answers dispatches it.
    pub state: Option<EndpointState>,
}

/// Answer to `GET /admin/v1/instances`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstancesAnswer {
    /// Instance that answers.
    pub instance: Session,
    /// Whether it takes work.
    pub serving: bool,
    /// Milliseconds since it last heard from the store, itself or through a peer.
    pub store_age_ms: u64,
    /// Instances that it knows, itself included.
    pub instances: Vec<InstanceState>,
}

/// Answer to `GET /admin/v1/version`: where which configuration is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionAnswer {
    /// Instance that answers.
    pub instance: Session,
    /// Version in force at the instance that answers.
    pub in_force: Version,
    /// Highest version that it knows to be accepted.
    pub accepted: Version,
    /// Versions at all instances that it knows.
    pub instances: Vec<InstanceVersion>,
}

/// Version in force at one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceVersion {
    /// Instance and session.
    pub session: Session,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Version in force there, if heard.
    pub version: Option<Version>,
    /// Milliseconds since it was last heard, if ever.
    pub heard_ms: Option<u64>,
    /// Whether it is leaving and need not follow.
    pub leaving: bool,
}

impl VersionAnswer {
    /// Whether `version` is in force at every instance that is to serve.
    ///
    /// The instance that answers must have it too, whatever it knows of others.
    #[must_use]
    pub fn is_in_force(&self, version: Version) -> bool {
        self.in_force >= version && self.behind(version).is_empty()
    }

    /// Instances that are to serve and do not have `version` in force.
    #[must_use]
    pub fn behind(&self, version: Version) -> Vec<&InstanceVersion> {
        let mut behind = Vec::new();
        for instance in &self.instances {
            if instance.leaving || instance.version >= Some(version) {
                continue;
            }
            behind.push(instance);
        }
        behind
    }
}
