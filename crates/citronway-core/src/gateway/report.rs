//! What instances tell each other several times a second.

use crate::gateway::election::Strength;
use crate::gateway::pace::{Answers, EndpointTag};
use crate::gateway::rows::Table;
use crate::ids::{InstanceName, ServiceName, SessionId};

/// Time between two looks at what there is to report, in milliseconds.
pub const REPORT_MS: u64 = 100;

/// Instances up to which each look is reported; with more, reports are rarer, so that
/// what one instance receives stays the same.
const OFTEN_UP_TO: usize = 12;

/// Fewest reports: one in so many looks.
const RAREST: u64 = 6;

/// Of how many looks one is reported, among so many instances.
#[must_use]
pub fn looks_a_report(instances: usize) -> u64 {
    (instances.div_ceil(OFTEN_UP_TO) as u64).clamp(1, RAREST)
}

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
}

impl Report {
    /// The report for instances of other availability zones, where there are many.
    ///
    /// Load: 87 instances told each other of each request in flight, 700 bytes each
    /// 0.6 s, which was more than half of all bytes between zones. Sums come from the
    /// leader (`has_totals`); without them, what decides about an endpoint's places is
    /// where requests wait or several are in flight. Speeds and failures show in the
    /// answers that the zone's own instances get.
    #[must_use]
    pub fn brief(&self, has_totals: bool) -> Self {
        let contended =
            |used: &&EndpointUse| !has_totals && (used.waiting > 0 || used.in_flight > 1);
        let endpoints = self
            .endpoints
            .iter()
            .filter(contended)
            .map(|used| EndpointUse {
                answers: Answers::default(),
                ..*used
            });
        Self {
            endpoints: endpoints.collect(),
            keys: Vec::new(),
            ..self.clone()
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

/// Requests of all instances at contended endpoints, as the leader knows them.
///
/// Load: 89 instances have one request each at an endpoint with six slots. Reports of all
/// of them to all others are too many, and with reports from the own zone alone nobody saw
/// that it was full: one request in ten waited two seconds at the endpoint, and one in
/// four was refused there. The leader hears of all, and tells the sums.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Totals {
    /// Term of the leader that tells.
    pub term: u64,
    /// Grows with each that it tells.
    pub number: u64,
    /// Endpoints that have, or are about to have, more requests than slots.
    pub endpoints: Vec<EndpointTotal>,
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
pub struct Seen {
    /// Use of each endpoint: the last look's, and all its answers.
    pub endpoints: Vec<EndpointUse>,
    /// Keys that were asked for.
    pub keys: Vec<KeySamples>,
}

impl Seen {
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
