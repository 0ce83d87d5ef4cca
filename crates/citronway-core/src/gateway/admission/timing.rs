//! Choice of an endpoint of a service without keys by when a request is expected to end there.
//!
//! Load: endpoints differ in speed by a factor of three, turn three times slower for moments, and
//! serve work with little time to its objective beside work with much. By load alone, patient work
//! takes the fast endpoints, and urgent work waits behind it or runs on slow ones.

use indexmap::IndexMap;

use super::choose::{COLD_SLOWNESS, OTHER_ZONE_WEIGHT, random_fraction};
use crate::gateway::admission::{Admission, Job, View};
use crate::gateway::pace::{EndpointTag, Pace};
use crate::gateway::registry::ListedEndpoint;
use crate::gateway::report::MAX_FULL_MESH;
use crate::gateway::routes::{RouteTable, Target};
use crate::gateway::settings::Switch;
use crate::ids::ServiceName;
use crate::time::Mono;

/// Multiple of the shortest objective of a service from which on a request has time to spare.
const PATIENT_OBJECTIVES: u64 = 2;

/// Multiple of the shortest objective that the longest one of a service must be for the feature to
/// be on by itself. With less, patient requests have little room to choose from in their own zone,
/// and their answers cross zones.
const AUTO_OBJECTIVES: u64 = 3;

/// Multiple of its usual work time that a request with time to spare has left: enough for an endpoint
/// of half of the usual speed with a queue of one request for each slot.
const PATIENT_WORK: u64 = 4;

/// Time after an urgent request in which patient work leaves the fast endpoints free, in
/// milliseconds. With two urgent requests a second at an instance, a second without one is usual.
const URGENT_SEEN_MS: u64 = 2_000;

/// Standard deviations that are added to the expected end of a request.
///
/// Urgent requests prefer a steady endpoint to one that is faster by less than half of its
/// deviation; patient ones leave an endpoint where one in six would miss its objective.
const URGENT_MARGIN: f64 = 0.5;
const PATIENT_MARGIN: f64 = 1.0;

/// Part of a work time by which an endpoint of the own zone may be slower.
const OTHER_ZONE_WORK: f64 = 0.35;

/// Answers of this size stay in their zone while it has room, in bytes. Traffic between zones costs
/// money.
const LARGE_ANSWER_BYTES: u64 = 20 * 1_024;

/// Standard deviations beyond the expected end after which an endpoint that answered nothing counts
/// as silent, and the least time, in milliseconds: an instance that is short of processor time
/// reads answers that late.
const SILENT_DEVIATIONS: f64 = 4.0;
const MIN_SILENT_MS: f64 = 250.0;

/// Number of endpoints that are sampled for a request where sums arrive late.
const SAMPLE_SIZE: u64 = 2;

/// Where the load decides, time without an answer after which an endpoint with requests in flight
/// counts as unresponsive: this many times the usual work time, and at least this many milliseconds.
const UNRESPONSIVE_WORK_FACTOR: u64 = 4;
const UNRESPONSIVE_MS: u64 = 500;

/// How much time a request has, compared with others of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Urgency {
    /// It goes where it ends first.
    Urgent,
    /// It leaves the fast endpoints to urgent ones.
    Patient,
}

impl Urgency {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Patient => "patient",
        }
    }
}

/// Why an endpoint was chosen by expected end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimedChoice {
    /// How much time the request has.
    pub urgency: Urgency,
    /// Time after which it is expected to end, in milliseconds.
    pub expected_ms: u64,
    /// Time left to its objective at the choice, in milliseconds.
    pub left_ms: u64,
}

/// Services whose endpoints are chosen by expected end.
#[derive(Debug, Default)]
pub(super) struct Timing {
    switch: Switch,
    services: IndexMap<ServiceName, TimedService>,
}

#[derive(Debug, Clone, Copy)]
struct TimedService {
    shortest_ms: u64,
    /// When an urgent request last arrived.
    urgent_at: Option<Mono>,
}

impl Timing {
    pub(super) fn new(switch: Switch) -> Self {
        Self {
            switch,
            services: IndexMap::new(),
        }
    }

    /// Takes over the routes of a view.
    pub(super) fn update(&mut self, view: &View) {
        let Some(routes) = &view.routes else {
            return;
        };
        let mut services = IndexMap::new();
        for name in routes.services.keys() {
            let Some(shortest_ms) = shortest_objective_ms(self.switch, routes, name) else {
                continue;
            };
            let before = self.services.get(name);
            let service = TimedService {
                shortest_ms,
                urgent_at: before.and_then(|before| before.urgent_at),
            };
            services.insert(name.clone(), service);
        }
        self.services = services;
    }

    /// Names of the services.
    pub(super) fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// How much time a request has; `None` if its endpoint is chosen by load.
    pub(super) fn urgency(&mut self, now: Mono, job: &Job) -> Option<Urgency> {
        let service = self.services.get_mut(&job.service)?;
        let patient_ms = service.shortest_ms * PATIENT_OBJECTIVES;
        if job.objective_at.since(job.arrived) < patient_ms {
            service.urgent_at = Some(now);
            return Some(Urgency::Urgent);
        }
        let left_ms = job.objective_at.since(now);
        if left_ms < patient_ms || left_ms < PATIENT_WORK * job.work_ms {
            return Some(Urgency::Urgent);
        }
        let urgent_at = service.urgent_at?;
        (now.since(urgent_at) < URGENT_SEEN_MS).then_some(Urgency::Patient)
    }
}

/// Shortest objective of the routes of a service; `None` if its endpoints are chosen by load.
fn shortest_objective_ms(
    switch: Switch,
    routes: &RouteTable,
    service: &ServiceName,
) -> Option<u64> {
    if switch == Switch::Off || routes.services.get(service)?.sharded {
        return None;
    }
    let has_service = |target: &Target| target.service == *service;
    let users = routes.routes.iter();
    let users = users.filter(|route| route.targets.iter().any(has_service));
    let objectives = users.map(|route| route.objective_ms);
    let shortest = objectives.clone().min()?;
    let is_uneven = shortest * AUTO_OBJECTIVES <= objectives.max()?;
    (switch == Switch::On || is_uneven).then_some(shortest)
}

/// What is expected of a request at an endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimate {
    /// Requests for each slot.
    pub queue: f64,
    /// Time until it ends, and the standard deviation of it, in milliseconds.
    pub end_ms: f64,
    pub deviation_ms: f64,
    /// Whether it has answered nothing for longer than expected.
    pub is_silent: bool,
    /// Whether it is in the instance's zone.
    pub is_near: bool,
    /// Sampling weight, relative to other endpoints.
    pub weight: f64,
}

impl Estimate {
    /// Estimate for a request at an endpoint with `in_flight` others.
    pub(super) fn new(job: &Job, pace: &Pace, in_flight: u32, slots: u32) -> Self {
        let work_ms = job.work_ms.max(1) as f64 * pace.slowness;
        let (others, all) = (f64::from(in_flight), f64::from(slots));
        // Others arrive unseen before the next sums, in proportion to what is there, so that a slot
        // that seems free may not be.
        let queued = (others + 1.0 - all).max(0.0) / all + others / all;
        Self {
            queue: others / all,
            end_ms: work_ms * (1.0 + queued),
            deviation_ms: work_ms * pace.spread * (1.0 + queued).sqrt(),
            is_silent: false,
            is_near: true,
            weight: all / pace.slowness,
        }
    }

    /// Time without an answer after which the endpoint counts as silent, in milliseconds.
    ///
    /// It depends on the pace, since one limit for all endpoints takes a slow one for silent, or sends
    /// to a fast one that hangs for too long.
    pub(super) fn silence_ms(&self) -> f64 {
        let end_ms = self.deviation_ms.mul_add(SILENT_DEVIATIONS, self.end_ms);
        end_ms.max(MIN_SILENT_MS)
    }

    /// Why the endpoint is chosen.
    pub(super) fn reason(&self, now: Mono, job: &Job, urgency: Urgency) -> TimedChoice {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "times are positive and far below the range"
        )]
        let expected_ms = self.end_ms as u64;
        TimedChoice {
            urgency,
            expected_ms,
            left_ms: job.objective_at.since(now),
        }
    }

    fn end_with_margin(&self, deviations: f64) -> f64 {
        self.deviation_ms.mul_add(deviations, self.end_ms)
    }
}

impl Admission {
    /// What is expected of a request at an endpoint of a service without keys.
    pub(super) fn estimate(
        &self,
        now: Mono,
        view: &View,
        listed: &ListedEndpoint,
        tag: EndpointTag,
        job: &Job,
    ) -> Estimate {
        let mut pace = view.paces.get(&tag).copied().unwrap_or(Pace::UNKNOWN);
        if listed.is_cold(now) {
            pace.slowness *= COLD_SLOWNESS;
        }
        pace.slowness /= 1.0 - pace.failing.min(0.9);
        let others = view.reported_loads.get(&tag);
        let others = others.map_or(0, |reported| reported.in_flight);
        let in_flight = self.in_flight.get(&tag).copied().unwrap_or_default() + others;
        let mut estimate = Estimate::new(job, &pace, in_flight, listed.listing.slots);
        estimate.is_near = listed.listing.zone == view.zone;
        if !estimate.is_near {
            estimate.weight *= OTHER_ZONE_WEIGHT;
        }
        let unanswered = self.unanswered.get(&tag);
        estimate.is_silent =
            unanswered.is_some_and(|since| now.since(*since) as f64 > estimate.silence_ms());
        estimate
    }

    /// Whether the endpoint has answered nothing for longer than work takes.
    ///
    /// Failure: a machine stops responding while its connections stay open, and non-idempotent
    /// requests are sent to it until its entry expires.
    pub(super) fn is_unresponsive(&self, now: Mono, job: &Job, tag: EndpointTag) -> bool {
        let limit = (job.work_ms * UNRESPONSIVE_WORK_FACTOR).max(UNRESPONSIVE_MS);
        self.unanswered
            .get(&tag)
            .is_some_and(|since| now.since(*since) > limit)
    }

    /// Place of the endpoint to choose; `None` if none suits and the load decides.
    pub(super) fn choose_timed(
        &self,
        now: Mono,
        view: &View,
        job: &Job,
        urgency: Urgency,
        estimates: &[Estimate],
    ) -> Option<usize> {
        let draw = Draw {
            rank: view.rank,
            sequence: self.sequence,
            is_sampled: view.instances as usize > MAX_FULL_MESH,
        };
        choose(now, job, urgency, estimates, draw)
    }
}

/// What the instance draws its samples by.
#[derive(Debug, Clone, Copy)]
struct Draw {
    rank: u64,
    sequence: u64,
    /// Whether there are so many instances that all would choose alike by sums that are late.
    is_sampled: bool,
}

impl Draw {
    fn fraction(&self, n: u64) -> f64 {
        let sequence = self.sequence.wrapping_mul(SAMPLE_SIZE).wrapping_add(n);
        random_fraction(self.rank, sequence)
    }
}

/// Place of the endpoint to choose; `None` if none suits and the load decides.
fn choose(
    now: Mono,
    job: &Job,
    urgency: Urgency,
    estimates: &[Estimate],
    draw: Draw,
) -> Option<usize> {
    let mut places: Vec<_> = (0..estimates.len()).collect();
    prefer(&mut places, |i| !estimates[i].is_silent);
    match urgency {
        Urgency::Urgent => {
            let score = |i: usize| {
                let far = if estimates[i].is_near {
                    0.0
                } else {
                    OTHER_ZONE_WORK
                };
                let end_ms = estimates[i].end_with_margin(URGENT_MARGIN);
                far.mul_add(job.work_ms as f64, end_ms)
            };
            if draw.is_sampled {
                let weight = |i: usize| estimates[i].weight;
                places = (0..SAMPLE_SIZE)
                    .filter_map(|n| sample(&places, weight, draw.fraction(n)))
                    .collect();
            }
            places
                .into_iter()
                .min_by(|a, b| score(*a).total_cmp(&score(*b)))
        }
        Urgency::Patient => {
            let left_ms = job.objective_at.since(now) as f64;
            places.retain(|i| estimates[*i].end_with_margin(PATIENT_MARGIN) < left_ms);
            if job.answer_bytes >= LARGE_ANSWER_BYTES {
                prefer(&mut places, |i| estimates[i].is_near);
            }
            // All endpoints are sampled alike, not by their speed as for urgent requests, so that the
            // slower ones get a larger part of this work than by load.
            let samples =
                (0..SAMPLE_SIZE).filter_map(|n| sample(&places, |_| 1.0, draw.fraction(n)));
            let queue = |i: usize| estimates[i].queue;
            samples.min_by(|a, b| queue(*a).total_cmp(&queue(*b)))
        }
    }
}

/// Leaves only places of a kind, unless there are none.
fn prefer(places: &mut Vec<usize>, is_preferred: impl Fn(usize) -> bool) {
    if places.iter().any(|i| is_preferred(*i)) {
        places.retain(|i| is_preferred(*i));
    }
}

fn sample(places: &[usize], weight: impl Fn(usize) -> f64, fraction: f64) -> Option<usize> {
    let all = places.iter().map(|i| weight(*i)).sum::<f64>();
    let mut left = fraction * all;
    for place in places {
        left -= weight(*place);
        if left < 0.0 {
            return Some(*place);
        }
    }
    places.last().copied()
}
