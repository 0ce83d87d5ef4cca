//! State of the instance as it is published for operators.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use citronway_core::config::Config;
use citronway_core::ids::{EndpointName, Session, Version, ZoneName};
use citronway_core::platform::ListedState;
use citronway_core::shard::{Assignment, DispatchRow};

/// End at which the deciding thread publishes.
pub type Publisher = watch::Sender<Arc<Snapshot>>;

/// End at which the administration API reads.
pub type Published = watch::Receiver<Arc<Snapshot>>;

/// Makes the channel over which snapshots are published; the last one wins.
#[must_use]
pub fn channel(first: Snapshot) -> (Publisher, Published) {
    watch::channel(Arc::new(first))
}

/// State of the instance at one moment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// This process: instance and session.
    pub session: Session,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Whether the instance takes work.
    pub serving: bool,
    /// Milliseconds since the store was last heard, or since the start if never.
    pub store_age_ms: u64,
    /// Version of the configuration in force here; 0 if there is none.
    pub config_version: Version,
    /// Configuration in force here.
    pub config: Arc<Config>,
    /// Assignments by service.
    pub assignments: Vec<Versioned<Arc<Assignment>>>,
    /// Dispatch rows by endpoint.
    pub dispatch: Vec<Versioned<Arc<DispatchRow>>>,
    /// Holds of this instance.
    pub holds: Vec<HoldState>,
    /// Endpoints that this instance dispatches.
    pub endpoints: Vec<EndpointState>,
    /// Instances that this one knows, itself included.
    pub instances: Vec<InstanceState>,
}

impl Snapshot {
    /// State of a process that has just started and knows nothing yet.
    #[must_use]
    pub fn starting(session: Session, zone: ZoneName) -> Self {
        Self {
            session,
            zone,
            serving: false,
            store_age_ms: 0,
            config_version: Version(0),
            config: Arc::default(),
            assignments: Vec::new(),
            dispatch: Vec::new(),
            holds: Vec::new(),
            endpoints: Vec::new(),
            instances: Vec::new(),
        }
    }
}

/// A stored row's content with its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// Version of the row.
    pub version: Version,
    /// Its content.
    pub row: T,
}

/// Part of an instance in the hold of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldRole {
    /// The only one that sends it work.
    Dispatcher,
    /// May take over.
    Successor,
    /// Was a member and may not act.
    Former,
}

/// Hold of an endpoint as this instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldState {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Part that this instance has in it.
    pub role: HoldRole,
    /// Whether it may send the endpoint work now.
    pub may_act: bool,
    /// Milliseconds since it last held all promises.
    pub age_ms: u64,
}

/// What is known of an endpoint's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Nothing heard yet.
    Unknown,
    /// It answers probes.
    Healthy,
    /// It has missed probes.
    Suspect,
    /// It is declared lost.
    Lost,
}

/// An endpoint as its dispatcher sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointState {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its health.
    pub health: Health,
    /// Whether it gets no new work, by its own word or an operator's.
    pub draining: bool,
    /// Orders that it runs at once, as configured.
    pub slots: u32,
    /// Orders sent and not answered.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Orders that are allowed at once now.
    pub limit: u32,
}

/// An instance as this one knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceState {
    /// Instance and session; the session is 0 if it was never heard.
    pub session: Session,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Version of the configuration in force there, if heard.
    pub config_version: Option<Version>,
    /// Milliseconds since it was last heard, if ever; 0 for this instance.
    pub heard_ms: Option<u64>,
    /// What the platform's list says of it; absent if it is not listed.
    pub listed: Option<ListedState>,
    /// Whether it is leaving, by its own word or the list's.
    pub leaving: bool,
}
