//! What instances tell each other several times a second.

use crate::gateway::pace::{Answers, EndpointTag};
use crate::ids::{InstanceName, ServiceName, SessionId};

/// Most keys that one report carries for a service; more are left out evenly.
pub const MAX_KEYS: usize = 300;

/// One report of an instance to all others.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Who sends it.
    pub instance: InstanceName,
    /// Start of its process.
    pub session: SessionId,
    /// Grows with each report of this start; a report that was overtaken is dropped.
    pub number: u64,
    /// It is about to stop.
    pub stopping: bool,
    /// It cannot do a keeper's work.
    pub unfit: bool,
    /// Highest term of a keeper that it knows.
    pub term: u64,
    /// Newest version of the stored tables that it has seen.
    pub seen: Versions,
    /// What it has at endpoints or wants to send there.
    pub endpoints: Vec<EndpointUse>,
    /// Keys that were asked for since the last report, by service.
    pub keys: Vec<KeySamples>,
}

/// Versions of the tables that an instance follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Versions {
    /// Operator's configuration.
    pub config: u64,
    /// Listed endpoints.
    pub endpoints: u64,
    /// Keeper and assignments.
    pub own: u64,
}

/// Use of one endpoint by one instance.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EndpointUse {
    /// Which endpoint.
    pub tag: EndpointTag,
    /// Requests in flight there.
    pub in_flight: u32,
    /// Requests that wait to be sent there.
    pub waiting: u32,
    /// Its answers since the last report.
    pub answers: Answers,
}

/// Keys asked for at one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeySamples {
    /// Which service.
    pub service: ServiceName,
    /// One entry for each request.
    pub keys: Vec<u16>,
}
