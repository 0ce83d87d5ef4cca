//! What instances tell each other several times a second.

use std::net::SocketAddr;

use crate::gateway::crashes::{Fingerprint, RefusedWork, Sign};
use crate::gateway::election::Strength;
use crate::gateway::pace::{Answers, EndpointTag};
use crate::gateway::rows::{Row, Table};
use crate::ids::{InstanceName, ServiceName, Session, SessionId};

/// Time between two looks at what there is to report, in milliseconds.
pub const REPORT_INTERVAL_MS: u64 = 100;

/// Instances up to which all tell all; with more, they report to a delegate of theirs.
///
/// Load: among 295 instances that all told all each 0.6 s, one received 490 datagrams a
/// second on a tenth of a core, and relayed rows came too late or not at all.
pub const MAX_FULL_MESH: usize = 12;

/// The same for instances that are listed, while no leader tells how many there are: some
/// of them are gone for good.
pub const MAX_LISTED_FULL_MESH: usize = 2 * MAX_FULL_MESH;

/// Most keys that one report carries for a service; more are left out evenly.
pub const MAX_KEYS: usize = 300;

/// One report of an instance: to all others, or to the one that sums up for it.
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
    /// It cannot do a leader's work.
    pub unfit: bool,
    /// How much of a leader's work its machine could do.
    pub strength: Strength,
    /// Highest term of a leader that it knows.
    pub term: u64,
    /// Newest version of the stored tables that it has seen.
    pub seen: Versions,
    /// What it has at endpoints or wants to send there.
    pub endpoints: Vec<EndpointUse>,
    /// Keys that were asked for since the last report, by service.
    pub keys: Vec<KeySamples>,
    /// Other instances whose reports this one sums up; none where it reports for itself.
    pub members: Vec<MemberState>,
    /// What was seen of work that may crash endpoints; of a delegate, by its members too.
    pub signs: Vec<Sign>,
    /// Number of the first of these signs; each sign of a start has its own.
    pub first_sign: u64,
}

/// An instance whose report another one sums up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberState {
    /// Which instance.
    pub instance: InstanceName,
    /// Start of its process.
    pub session: SessionId,
    /// Time since its last report, in milliseconds.
    pub heard_ago_ms: u16,
    /// Highest term of a leader that it knows.
    pub term: u64,
    /// It is about to stop.
    pub stopping: bool,
    /// It cannot do a leader's work.
    pub unfit: bool,
    /// How much of a leader's work its machine could do.
    pub strength: Strength,
}

impl Report {
    /// What this one says was seen.
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
    /// Operator's configuration.
    pub config: u64,
    /// Listed endpoints.
    pub endpoints: u64,
    /// Leader and assignments.
    pub own: u64,
}

impl Versions {
    /// The newer ones of two.
    #[must_use]
    pub fn newer(self, other: Self) -> Self {
        Self {
            config: self.config.max(other.config),
            endpoints: self.endpoints.max(other.endpoints),
            own: self.own.max(other.own),
        }
    }

    /// That of one table.
    #[must_use]
    pub const fn of(&self, table: Table) -> u64 {
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
    /// Which endpoint.
    pub tag: EndpointTag,
    /// Requests in flight there.
    pub in_flight: u32,
    /// Requests that wait to be sent there.
    pub waiting: u32,
    /// Its answers since the last report.
    pub answers: Answers,
}

/// What the leader tells all instances of a large fleet, through delegates of their
/// availability zones.
///
/// Load: 89 instances have one request each at an endpoint with six slots. Reports of all
/// of them to all others are too many, and with reports from the own zone alone nobody saw
/// that it was full: one request in ten waited two seconds at the endpoint, and one in
/// four was refused there. The leader hears of all, and tells the sums.
#[derive(Debug, Clone, PartialEq)]
pub struct Totals {
    /// The leader that tells.
    pub leader: Session,
    /// Its term.
    pub term: u64,
    /// Grows with each that it tells.
    pub number: u64,
    /// It is about to stop.
    pub stopping: bool,
    /// It cannot do its work.
    pub unfit: bool,
    /// The store does not answer it.
    pub store_lost: bool,
    /// How much of a leader's work its machine could do.
    pub strength: Strength,
    /// The stored row that names it.
    pub row: Option<Row>,
    /// Newest versions of the stored tables that any instance has seen.
    pub seen: Versions,
    /// Instances that are heard, the leader included.
    pub instances: u32,
    /// Who claims the duty first when the leader falls silent, in this order.
    pub standbys: Vec<InstanceName>,
    /// Endpoints that have, or are about to have, more requests than slots.
    pub endpoints: Vec<EndpointTotal>,
    /// Estimates for endpoints that are not average; a part of them each time.
    pub paces: Vec<EndpointPace>,
    /// Work that was taken as harmful.
    pub refused: Vec<RefusedWork>,
    /// Work that was at several endpoints that crashed.
    pub suspects: Vec<Fingerprint>,
    /// To a delegate: instances to which it passes this on.
    pub members: Vec<SocketAddr>,
}

/// How fast an endpoint works and how often it fails, as the leader knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointPace {
    /// Which endpoint.
    pub tag: EndpointTag,
    /// Time that it takes, relative to an average endpoint.
    pub slowness: f64,
    /// Share of its requests that it fails or refuses.
    pub failing: f64,
}

/// Requests of all instances at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EndpointTotal {
    /// Which endpoint.
    pub tag: EndpointTag,
    /// Requests in flight there.
    pub in_flight: u32,
    /// Requests that wait to be sent there.
    pub waiting: u32,
}

/// What was seen in several looks, to be reported at once.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Observations {
    /// Use of each endpoint: the last look's, and all its answers.
    pub endpoints: Vec<EndpointUse>,
    /// Keys that were asked for.
    pub keys: Vec<KeySamples>,
}

impl Observations {
    /// Adds a later look.
    pub fn add(&mut self, later: Self) {
        let mut before = std::mem::take(&mut self.endpoints);
        self.endpoints = later.endpoints;
        for used in &mut self.endpoints {
            if let Some(i) = before.iter().position(|b| b.tag == used.tag) {
                used.answers.add(&before.swap_remove(i).answers);
            }
        }
        let rest = before.into_iter().map(|used| EndpointUse {
            in_flight: 0,
            waiting: 0,
            ..used
        });
        self.endpoints
            .extend(rest.filter(|used| used.answers != Answers::default()));
        for samples in later.keys {
            match self.keys.iter_mut().find(|k| k.service == samples.service) {
                Some(known) => known.keys.extend(samples.keys),
                None => self.keys.push(samples),
            }
        }
    }
}

/// Keys asked for at one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeySamples {
    /// Which service.
    pub service: ServiceName,
    /// One entry for each request.
    pub keys: Vec<u16>,
}
