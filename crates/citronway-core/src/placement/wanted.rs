//! What the configuration and the instances' knowledge ask of placement.

use serde::{Deserialize, Serialize};

use crate::config::Weights;
use crate::ids::{EndpointName, GroupName, ServiceName, Session, Version, ZoneName};

/// State of an endpoint as far as placement cares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It takes work.
    Live,
    /// It takes work but has just started and is slow.
    Cold,
    /// It leaves: it keeps what it has only until that has moved.
    Draining,
    /// It does not answer.
    Lost,
}

impl MemberState {
    /// Whether shards may be given to it.
    #[must_use]
    pub const fn takes_shards(self) -> bool {
        match self {
            Self::Live | Self::Cold => true,
            Self::Draining | Self::Lost => false,
        }
    }
}

/// An endpoint that the labels put into a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name.
    pub endpoint: EndpointName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Orders that it runs at once.
    pub slots: u32,
    /// Its state now.
    pub state: MemberState,
}

/// A group as configured, with its members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedGroup {
    /// Name.
    pub group: GroupName,
    /// Selector over keys; absent means all.
    pub keys: Option<String>,
    /// Ranges that its key space is cut into; at least 1.
    pub shards: u32,
    /// Endpoints whose labels match.
    pub members: Vec<Member>,
}

/// An instance that may dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Its session.
    pub session: Session,
    /// Availability zone.
    pub zone: ZoneName,
}

/// Everything that a service's planner has to bring about.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Wanted {
    /// The service.
    pub service: ServiceName,
    /// Version of the configuration that this was taken from.
    pub config: Version,
    /// Groups in the order in which their selectors are tried.
    pub groups: Vec<WantedGroup>,
    /// What placement weighs.
    pub weights: Weights,
    /// Instances that live and are not leaving.
    pub candidates: Vec<Candidate>,
}
