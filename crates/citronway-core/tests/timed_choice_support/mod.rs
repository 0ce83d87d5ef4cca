//! A play of many instances that share the endpoints of one service without keys. What they know of
//! each other is late, as in a fleet whose leader sends sums.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::VecDeque;
use std::sync::Arc;

use citronway_core::gateway::admission::{Admission, Choice, Decision, Job, ReportedLoad, View};
use citronway_core::gateway::limit::EndpointLoad;
use citronway_core::gateway::pace::{Answers, EndpointPaces, EndpointTag};
use citronway_core::gateway::registry::{Listing, Registry};
use citronway_core::gateway::routes::{
    CallerLimits, Draft, Repeat, Route, RouteTable, Service, Target,
};
use citronway_core::gateway::settings::Switch;
use citronway_core::ids::{EndpointStart, ServiceName, Version, ZoneName};
use citronway_core::time::Mono;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// Interval between two sums, and age of what they count when they are sent.
const REPORT_MS: u64 = 50;
const SUMS_MS: u64 = 200;
const SUMS_DELAY_MS: u64 = 150;

/// Requests before this time are not counted: paces are learned.
const WARM_UP_MS: u64 = 4_000;

pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// A route of the play.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    pub per_s: f64,
    pub work_ms: f64,
    pub objective_ms: u64,
    pub timeout_ms: u64,
    pub priority: u8,
    pub answer_bytes: u64,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Play {
    pub instances: usize,
    pub endpoints: usize,
    pub slots: usize,
    /// Requests that an endpoint queues.
    pub queue: usize,
    /// Lowest and highest speed.
    pub speeds: (f64, f64),
    /// Share of the time in which an endpoint is three times slower, 400 ms at a time.
    pub slow_share: f64,
    pub routes: Vec<Demand>,
    /// Whether endpoints state their load and refuse what they cannot queue; otherwise they never
    /// answer that.
    pub states_load: bool,
    /// From when on the first endpoint answers nothing.
    pub hangs_at: Option<u64>,
    pub for_ms: u64,
    pub seed: u64,
}

/// What became of the requests of one route.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub sent: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Requests that an endpoint could not queue.
    pub overflowed: u32,
    /// Requests at an endpoint that hangs, from half a second after it began on.
    pub hung: u32,
    pub other_zone: u32,
    pub total_ms: u64,
}

impl Outcome {
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }
}

/// Requests in flight and waiting, by endpoint.
type Usage = IndexMap<EndpointTag, (u32, u32)>;

struct Endpoint {
    start: EndpointStart,
    speed: f64,
    running: Vec<(u64, Sent)>,
    queued: VecDeque<Sent>,
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    instance: usize,
    route: usize,
    arrived: u64,
    at: u64,
    work: f64,
}

struct Instance {
    admission: Admission,
    view: View,
    waiting: IndexMap<u64, Sent>,
    /// Mean work time of each route, as an instance estimates it.
    means: Vec<f64>,
}

pub struct World {
    play: Play,
    rng: StdRng,
    endpoints: Vec<Endpoint>,
    instances: Vec<Instance>,
    paces: EndpointPaces,
    /// What instances reported, and when.
    reports: VecDeque<(u64, Vec<Usage>)>,
    /// Requests that get no answer, and until when their instances wait for one.
    lost: Vec<(u64, usize, usize)>,
    tickets: u64,
    pub outcomes: Vec<Outcome>,
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times are positive and small"
)]
const fn whole(ms: f64) -> u64 {
    ms as u64
}

fn service() -> ServiceName {
    ServiceName::new("open")
}

/// Routes with these objectives to an unsharded service.
pub fn route_table(service: &str, objectives: &[u64]) -> Arc<RouteTable> {
    let route = |(i, objective_ms): (usize, &u64)| Route {
        name: format!("r{i}"),
        host: "h".to_owned(),
        prefix: format!("/{i}/"),
        targets: vec![Target {
            service: ServiceName::new(service),
            weight: 1,
        }],
        repeat: Repeat::AtMostOnce,
        timeout_ms: 6_000,
        objective_ms: *objective_ms,
        priority: 0,
        attempts: 1,
    };
    let unsharded = Service {
        max_connections: 500,
        sharded: false,
        warm_ms: 0,
        cold_per_s: None,
    };
    let draft = Draft {
        routes: objectives.iter().enumerate().map(route).collect(),
        services: [(ServiceName::new(service), unsharded)]
            .into_iter()
            .collect(),
        ..Draft::default()
    };
    Arc::new(RouteTable::check(Version(1), CallerLimits::default(), draft).routes)
}

impl World {
    pub fn new(play: Play, choice: Switch) -> Self {
        let mut rng = StdRng::seed_from_u64(play.seed);
        let mut registry = Registry::default();
        let mut endpoints = Vec::new();
        for i in 0..play.endpoints {
            let start = EndpointStart::new(&format!("i-{i}"), Some(1));
            registry.put(
                Mono(0),
                Listing {
                    start: start.clone(),
                    service: service(),
                    address: ([10, 0, 0, 1], 1_000 + u16::try_from(i).expect("few")).into(),
                    zone: ZoneName::new(ZONES[i % ZONES.len()]),
                    slots: u32::try_from(play.slots).expect("few"),
                    draining: false,
                    cold_ms: 0,
                },
            );
            endpoints.push(Endpoint {
                start,
                speed: rng.random_range(play.speeds.0..play.speeds.1),
                running: Vec::new(),
                queued: VecDeque::new(),
            });
        }
        let objectives: Vec<_> = play.routes.iter().map(|r| r.objective_ms).collect();
        let table = route_table(service().as_str(), &objectives);
        let registry = Arc::new(registry);
        let instances = (0..play.instances).map(|i| {
            let zone = ZoneName::new(ZONES[i % ZONES.len()]);
            let mut view = View::empty(zone, rng.random());
            view.routes = Some(Arc::clone(&table));
            view.registry = Arc::clone(&registry);
            view.instances = u32::try_from(play.instances).expect("few");
            let mut admission = Admission::new(choice);
            admission.update_view(Mono(0), &view);
            Instance {
                admission,
                view,
                waiting: IndexMap::new(),
                means: play
                    .routes
                    .iter()
                    .map(|r| r.objective_ms as f64 * 0.3)
                    .collect(),
            }
        });
        Self {
            instances: instances.collect(),
            endpoints,
            rng,
            paces: EndpointPaces::default(),
            reports: VecDeque::new(),
            lost: Vec::new(),
            tickets: 0,
            outcomes: vec![Outcome::default(); play.routes.len()],
            play,
        }
    }

    /// Plays to the end.
    pub fn run(mut self) -> Vec<Outcome> {
        for now in 0..self.play.for_ms {
            self.end_work(now);
            if now % REPORT_MS == 0 {
                self.collect_reports(now);
            }
            if now % SUMS_MS == 0 {
                self.share_sums(now);
            }
            for route in 0..self.play.routes.len() {
                let mut left = self.play.routes[route].per_s / 1_000.0;
                while self.rng.random_bool(left.min(1.0)) {
                    self.arrive(now, route);
                    left = 0.0;
                }
            }
            if now % 20 == 0 {
                for i in 0..self.instances.len() {
                    self.decide_waiting(now, i);
                }
            }
        }
        self.outcomes
    }

    fn arrive(&mut self, now: u64, route: usize) {
        let i = self.rng.random_range(0..self.instances.len());
        let demand = self.play.routes[route];
        let sent = Sent {
            instance: i,
            route,
            arrived: now,
            at: now,
            // A standard deviation of half of the mean.
            work: demand.work_ms * self.rng.random_range(0.134..1.866),
        };
        if now >= WARM_UP_MS {
            self.outcomes[route].sent += 1;
        }
        self.tickets += 1;
        let work_ms = whole(self.instances[i].means[route]);
        let job = Job {
            ticket: self.tickets,
            service: service(),
            key: None,
            priority: demand.priority,
            repeat: Repeat::AtMostOnce,
            arrived: Mono(now),
            objective_at: Mono(now + demand.objective_ms),
            deadline: Mono(now + demand.timeout_ms),
            caller_deadline: Mono(now + 2 * demand.timeout_ms),
            work_ms,
            answer_bytes: demand.answer_bytes,
            tried: Vec::new(),
            pauses: Vec::new(),
            body_bytes: 0,
            spent_ms: 0,
            is_forwarded: false,
        };
        let instance = &mut self.instances[i];
        let decision = instance.admission.submit(Mono(now), &instance.view, job);
        match decision {
            Some(decision) => self.carry_out(now, sent, &decision),
            None => {
                self.instances[i].waiting.insert(self.tickets, sent);
            }
        }
    }

    fn decide_waiting(&mut self, now: u64, i: usize) {
        let instance = &mut self.instances[i];
        if instance.waiting.is_empty() {
            return;
        }
        for (ticket, decision) in instance.admission.decide_waiting(Mono(now), &instance.view) {
            let sent = self.instances[i].waiting.swap_remove(&ticket);
            self.carry_out(now, sent.expect("it waits"), &decision);
        }
    }

    fn carry_out(&mut self, now: u64, mut sent: Sent, decision: &Decision) {
        let is_counted = sent.arrived >= WARM_UP_MS;
        let outcome = &mut self.outcomes[sent.route];
        let Decision::Send(choice) = decision else {
            outcome.refused += u32::from(is_counted);
            return;
        };
        let is_chosen = |endpoint: &Endpoint| endpoint.start == choice.endpoint;
        let at = self.endpoints.iter().position(is_chosen).expect("listed");
        sent.at = now;
        outcome.other_zone +=
            u32::from(is_counted && at % ZONES.len() != sent.instance % ZONES.len());
        let hangs = at == 0 && self.play.hangs_at.is_some_and(|from| now >= from + 500);
        outcome.hung += u32::from(hangs);
        let endpoint = &mut self.endpoints[at];
        if endpoint.queued.len() >= self.play.queue {
            outcome.overflowed += u32::from(is_counted);
            let instance = &mut self.instances[sent.instance];
            if self.play.states_load {
                instance.admission.record_finished(&endpoint.start);
                instance
                    .admission
                    .record_rejection(Mono(now), &instance.view, &service());
            } else {
                // Its instance gives it up as one that another endpoint could run.
                let demand = &self.play.routes[sent.route];
                let until = now + (demand.objective_ms / 2).max(5 * whole(demand.work_ms));
                self.lost.push((until, sent.instance, at));
            }
            return;
        }
        endpoint.queued.push_back(sent);
        self.begin_work(now, at);
    }

    fn begin_work(&mut self, now: u64, at: usize) {
        // Slow and usual times follow each other at random.
        let seed = self.play.seed ^ ((at as u64) << 32) ^ (now / 400);
        let is_slow = StdRng::seed_from_u64(seed).random_bool(self.play.slow_share);
        let endpoint = &mut self.endpoints[at];
        while endpoint.running.len() < self.play.slots
            && let Some(sent) = endpoint.queued.pop_front()
        {
            let ms = sent.work / endpoint.speed * if is_slow { 3.0 } else { 1.0 };
            endpoint.running.push((now + whole(ms), sent));
        }
    }

    fn end_work(&mut self, now: u64) {
        for (_, instance, at) in self.lost.extract_if(.., |(until, ..)| *until <= now) {
            let start = &self.endpoints[at].start;
            self.instances[instance].admission.record_finished(start);
        }
        for at in 0..self.endpoints.len() {
            if at == 0 && self.play.hangs_at.is_some_and(|from| now >= from) {
                continue;
            }
            let running = std::mem::take(&mut self.endpoints[at].running);
            let (done, running): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|(end, _)| *end <= now);
            self.endpoints[at].running = running;
            if done.is_empty() {
                continue;
            }
            for (_, sent) in done {
                self.answer(now, at, sent);
            }
            self.begin_work(now, at);
        }
    }

    fn answer(&mut self, now: u64, at: usize, sent: Sent) {
        let took = now - sent.arrived;
        if sent.arrived >= WARM_UP_MS {
            let outcome = &mut self.outcomes[sent.route];
            outcome.total_ms += took;
            if took <= self.play.routes[sent.route].objective_ms {
                outcome.in_time += 1;
            } else {
                outcome.late += 1;
            }
        }
        let start = &self.endpoints[at].start;
        let instance = &mut self.instances[sent.instance];
        instance.admission.record_finished(start);
        let choice = Choice {
            endpoint: start.clone(),
            address: ([10, 0, 0, 1], 1).into(),
            fence: None,
            timed: None,
        };
        instance.admission.record_answer(Mono(now), &choice, None);
        let load = EndpointLoad {
            running: u32::try_from(self.endpoints[at].running.len()).expect("few"),
            waiting: u32::try_from(self.endpoints[at].queued.len()).expect("few"),
            slots: u32::try_from(self.play.slots).expect("few"),
        };
        let load = Some(load).filter(|_| self.play.states_load);
        instance
            .admission
            .record_load(&instance.view, &service(), load);
        let took_there = (now - sent.at) as f64;
        let mean = &mut instance.means[sent.route];
        let answers = Answers {
            served: 1.0,
            relative: took_there / mean.max(1.0),
            ..Answers::default()
        };
        *mean += (took_there - *mean) * 0.02;
        self.paces.add(Mono(now), EndpointTag::of(start), &answers);
        self.decide_waiting(now, sent.instance);
    }

    /// Keeps what instances report now.
    fn collect_reports(&mut self, now: u64) {
        let all = self.instances.iter();
        let usage = |instance: &Instance| {
            let used = instance.admission.usage();
            used.map(|(tag, in_flight, waiting)| (tag, (in_flight, waiting)))
                .collect()
        };
        self.reports.push_back((now, all.map(usage).collect()));
    }

    /// Gives all instances the sums that the leader made of earlier reports.
    fn share_sums(&mut self, now: u64) {
        while self
            .reports
            .get(1)
            .is_some_and(|(at, _)| at + SUMS_DELAY_MS <= now)
        {
            self.reports.pop_front();
        }
        let reports = &self.reports[0].1;
        let mut sums = Usage::new();
        for (tag, used) in reports.iter().flatten() {
            let sum = sums.entry(*tag).or_default();
            *sum = (sum.0 + used.0, sum.1 + used.1);
        }
        // Only contended endpoints are in the sums.
        sums.retain(|_, sum| (sum.0 + sum.1) as usize * 2 > self.play.slots);
        for (instance, own) in self.instances.iter_mut().zip(reports) {
            let load = |(tag, sum): (&EndpointTag, &(u32, u32))| {
                let own = own.get(tag).copied().unwrap_or_default();
                let load = ReportedLoad {
                    in_flight: sum.0 - own.0,
                    waiting: sum.1 - own.1,
                    is_sum: true,
                    slowness: self.paces.slowness(Mono(now), *tag),
                    ..ReportedLoad::unknown()
                };
                (*tag, load)
            };
            instance.view.reported_loads = sums.iter().map(load).collect();
            instance.view.paces = self.paces.estimates(Mono(now));
            instance.admission.update_view(Mono(now), &instance.view);
        }
        for i in 0..self.instances.len() {
            self.decide_waiting(now, i);
        }
    }
}
