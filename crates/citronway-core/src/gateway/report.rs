//! Reports that instances send each other, and the totals that a leader sends, several times a
//! second.

use std::net::SocketAddr;

use crate::gateway::crashes::{Fingerprint, RefusedWork, Sign};
use crate::gateway::departures::Departure;
use crate::gateway::election::Strength;
use crate::gateway::fleet_admission::QueueDemand;
use crate::gateway::freshness::Confirmation;
use crate::gateway::pace::{Answers, EndpointTag};
use crate::gateway::rests::RestReport;
use crate::gateway::rows::{Row, Table};
use crate::gateway::stated_limits::StatedLimit;
use crate::gateway::version::{Era, RowVersion};
use crate::ids::{InstanceName, ServiceName, Session, SessionId};

/// Interval at which an instance collects its observations for a report, in milliseconds.
pub const REPORT_INTERVAL_MS: u64 = 100;

/// Maximum number of instances at which each reports to all others. In a larger fleet they report
/// to a delegate.
///
/// Load: with 295 instances that each report to all others every 0.6 s, an instance with a tenth of
/// a core gets 490 datagrams a second, and relayed rows arrive too late or not at all.
pub const MAX_FULL_MESH: usize = 12;

/// Maximum number of listed instances at which each reports to all others while no leader announces
/// the number of instances. It is larger because some listed instances no longer exist.
pub const MAX_LISTED_FULL_MESH: usize = 2 * MAX_FULL_MESH;

/// Maximum number of keys of a service in one report; if there are more, keys are left out evenly.
pub const MAX_KEYS: usize = 300;

/// Report of an instance to all others or to its delegate.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Name of the sender.
    pub instance: InstanceName,
    /// Session of its process.
    pub session: SessionId,
    /// Sequence number within the session; a report that is not newer than the last is dropped.
    pub number: u64,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Whether it cannot lead.
    pub unfit: bool,
    /// Whether no endpoint answers it.
    pub is_cut_off: bool,
    /// Part of a leader's work that its machine can do.
    pub strength: Strength,
    /// Highest term of a leader that it knows.
    pub term: u64,
    /// Newest versions of the stored tables that it has read.
    pub seen: Versions,
    /// Its requests in flight and waiting, and the answers, by endpoint.
    pub endpoints: Vec<EndpointUse>,
    /// Keys of the requests since the last report, by service.
    pub keys: Vec<KeySamples>,
    /// Members whose reports are included; empty unless the sender is a delegate.
    pub members: Vec<MemberState>,
    /// Signs of requests that crash endpoints, including those reported by members.
    pub signs: Vec<Sign>,
    /// Sequence number of the first of `signs`; the signs of a session are numbered consecutively.
    pub first_sign: u64,
    /// What endpoints stated of their limits, including what members reported.
    pub limits: Vec<StatedLimit>,
    /// Endpoints that stated that they leave, including what members reported.
    pub departures: Vec<Departure>,
    /// Endpoints that asked the sender for rest, or its members.
    pub rests: Vec<RestReport>,
    /// When its configuration was the newest one; `None` if that was never confirmed.
    pub confirmed: Option<Confirmation>,
    /// Demand by queue and rank, including that of members; `None` from an instance without
    /// admission control across instances.
    pub demand: Option<Vec<QueueDemand>>,
}

/// State of an instance whose report is included in the report of its delegate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberState {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Session of its process.
    pub session: SessionId,
    /// Time since its last report, in milliseconds.
    pub heard_ago_ms: u16,
    /// Highest term of a leader that it knows.
    pub term: u64,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Whether it cannot lead.
    pub unfit: bool,
    /// Part of a leader's work that its machine can do.
    pub strength: Strength,
}

impl Report {
    /// The observations in this report.
    #[must_use]
    pub fn into_observations(self) -> Observations {
        Observations {
            endpoints: self.endpoints,
            keys: self.keys,
        }
    }
}

/// Versions of the tables that an instance follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Versions {
    /// Version of the operator's configuration.
    pub config: RowVersion,
    /// Version of the listed endpoints.
    pub endpoints: RowVersion,
    /// Version of this product's rows, such as the leader and the assignments.
    pub own: RowVersion,
}

impl Versions {
    /// The newer version of each table.
    #[must_use]
    pub fn newer(self, other: Self) -> Self {
        Self {
            config: self.config.max(other.config),
            endpoints: self.endpoints.max(other.endpoints),
            own: self.own.max(other.own),
        }
    }

    /// Latest era of any table.
    #[must_use]
    pub fn era(&self) -> Era {
        self.config.era.max(self.endpoints.era).max(self.own.era)
    }

    /// Whether any table is newer here than in `other`.
    #[must_use]
    pub fn has_newer_than(&self, other: &Self) -> bool {
        self.config > other.config || self.endpoints > other.endpoints || self.own > other.own
    }

    /// Version of one table.
    #[must_use]
    pub const fn of(&self, table: Table) -> RowVersion {
        match table {
            Table::Config => self.config,
            Table::Endpoints => self.endpoints,
            Table::Own => self.own,
        }
    }
}

/// Use of one endpoint by one instance.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EndpointUse {
    /// Tag of the endpoint.
    pub tag: EndpointTag,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Number of requests that wait to be sent.
    pub waiting: u32,
    /// Answers since the last report.
    pub answers: Answers,
    /// Most kilobytes of request bodies in flight since the last report.
    pub kb: u32,
}

/// Totals that the leader sends to all instances of a large fleet, through the delegates of their
/// availability zones.
///
/// Load: 89 instances have one request each at an endpoint with six slots. Reports of each
/// instance to all others are too many, and with reports from its own zone alone no instance sees
/// that the endpoint is full: one request in ten waits two seconds at the endpoint, and one in four
/// is refused there. The leader gets the reports of all and sends the totals.
#[derive(Debug, Clone, PartialEq)]
pub struct Totals {
    /// Session of the leader.
    pub leader: Session,
    /// Term of the leader.
    pub term: u64,
    /// Sequence number within the term.
    pub number: u64,
    /// Whether the leader is stopping.
    pub stopping: bool,
    /// Whether the leader cannot do its work.
    pub unfit: bool,
    /// Whether the store does not answer the leader.
    pub store_lost: bool,
    /// Part of a leader's work that its machine can do.
    pub strength: Strength,
    /// The stored row that names the leader, if it is included.
    pub row: Option<Row>,
    /// Newest versions of the stored tables that any instance has read.
    pub seen: Versions,
    /// Number of instances with recent reports, including the leader.
    pub instances: u32,
    /// Instances that claim leadership first when the leader falls silent, in this order.
    pub standbys: Vec<InstanceName>,
    /// Endpoints that have, or are about to have, more requests than slots, or more than half of
    /// the bytes of requests that they may have.
    pub endpoints: Vec<EndpointTotal>,
    /// Services whose endpoints have a bound on the bytes of requests, in kilobytes.
    pub byte_bounds: Vec<(ServiceName, u32)>,
    /// Estimates for endpoints that are not average; a part of them in each message.
    pub paces: Vec<EndpointPace>,
    /// Fingerprints of requests that are refused because they crash endpoints.
    pub refused: Vec<RefusedWork>,
    /// Fingerprints of requests that are suspected to crash endpoints, since one or more endpoints
    /// that had them crashed.
    pub suspects: Vec<Fingerprint>,
    /// What endpoints stated of their limits.
    pub limits: Vec<StatedLimit>,
    /// Endpoints that stated that they leave.
    pub departures: Vec<Departure>,
    /// When the configuration of the sender, a leader or delegate, was the newest one; `None` if
    /// that was never confirmed.
    pub confirmed: Option<Confirmation>,
    /// Addresses to which the receiving delegate forwards the totals; empty for others.
    pub members: Vec<SocketAddr>,
    /// Demand of all instances by queue and rank; `None` from a leader without admission control
    /// across instances.
    pub demand: Option<Vec<QueueDemand>>,
}

/// Estimate of how slow an endpoint is and how often it fails.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointPace {
    /// Tag of the endpoint.
    pub tag: EndpointTag,
    /// Time that it takes for a request, relative to an average endpoint.
    pub slowness: f64,
    /// Share of its requests that it fails or refuses.
    pub failing: f64,
    /// Standard deviation of this time, relative to it.
    pub spread: f64,
}

/// Requests of all instances at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EndpointTotal {
    /// Tag of the endpoint.
    pub tag: EndpointTag,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Number of requests that wait to be sent.
    pub waiting: u32,
    /// Kilobytes of the bodies of the requests in flight.
    pub kb: u32,
}

/// Observations of one or more intervals, for one report.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Observations {
    /// Use of each endpoint: the requests of the last interval and the answers of all intervals.
    pub endpoints: Vec<EndpointUse>,
    /// Keys of the requests.
    pub keys: Vec<KeySamples>,
}

impl Observations {
    /// Adds the observations of a later interval.
    pub fn add(&mut self, later: Self) {
        let mut before = std::mem::take(&mut self.endpoints);
        self.endpoints = later.endpoints;
        for used in &mut self.endpoints {
            if let Some(i) = before.iter().position(|b| b.tag == used.tag) {
                let earlier = before.swap_remove(i);
                used.answers.add(&earlier.answers);
                used.kb = used.kb.max(earlier.kb);
            }
        }
        let rest = before.into_iter().map(|used| EndpointUse {
            in_flight: 0,
            waiting: 0,
            ..used
        });
        self.endpoints
            .extend(rest.filter(|used| used.kb > 0 || used.answers != Answers::default()));
        for samples in later.keys {
            match self.keys.iter_mut().find(|k| k.service == samples.service) {
                Some(known) => known.keys.extend(samples.keys),
                None => self.keys.push(samples),
            }
        }
    }
}

/// Keys of requests to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeySamples {
    /// Name of the service.
    pub service: ServiceName,
    /// One entry for each request.
    pub keys: Vec<u16>,
}
