//! Many instances in front of endpoints with six slots each and work of 100 to 300 ms: two that own
//! the keys of one service, 60 requests a second, or three of a service without keys, 90.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small positive numbers"
)]

use citronway_core::gateway::admission::{Admission, Choice, Decision, Job, ReportedLoad, View};
use citronway_core::gateway::fleet_admission::{FleetDemand, QueueDemand, add_up, largest};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::report::MAX_FULL_MESH;
use citronway_core::gateway::share::Demand;
use citronway_core::ids::EndpointStart;
use citronway_core::time::Mono;
use indexmap::IndexMap;

use crate::admission_support::{Scene, job, keyed};

const SLOTS: usize = 6;
const STEP_MS: u64 = 10;

/// One kind of callers.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub rank: u8,
    /// Requests a second: at most times, and in the first 1.5 s of six.
    pub per_s: [f64; 2],
    pub objective_ms: u64,
    pub patience_ms: u64,
    /// Whether its callers repeat at once, up to ten times, instead of waiting as told.
    pub repeats_at_once: bool,
}

/// What callers got.
#[derive(Debug, Clone, Copy, Default)]
pub struct Got {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    /// Attempts after a wait as told, and how many of them were refused again.
    pub came_back: u32,
    pub refused_again: u32,
}

impl Got {
    pub fn in_time_part(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked)
    }
}

#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub instances: usize,
    pub is_on: bool,
    /// Part of the reports and of the sums that are lost.
    pub lost: f64,
    /// Part of the callers that the first half of the instances has.
    pub first_half: f64,
    pub has_keys: bool,
}

struct Caller {
    kind: usize,
    key: u16,
    began: Mono,
    half: usize,
    attempts: u32,
    has_waited: bool,
}

struct Instance {
    admission: Admission,
    view: View,
    /// Use and demand by the last report that was not lost.
    heard: (Vec<(EndpointTag, u32, u32)>, Vec<QueueDemand>),
}

/// A request at an endpoint: caller, instance, choice, and the end of its work once it has a slot.
type Place = (usize, usize, Choice, Option<Mono>);

pub struct World {
    plan: Plan,
    kinds: Vec<Kind>,
    now: Mono,
    draws: u64,
    instances: Vec<Instance>,
    callers: Vec<Caller>,
    /// Attempts to come: when, and whose.
    due: Vec<(Mono, usize)>,
    endpoints: IndexMap<EndpointStart, Vec<Place>>,
    got: Vec<[Got; 2]>,
}

/// What callers of each kind got in half a minute, at the first and second half of the instances.
pub fn play(plan: Plan, kinds: &[Kind]) -> Vec<[Got; 2]> {
    let instance = |rank| {
        let mut view = Scene::new().view();
        view.rank = rank as u64 * 7_919 + 3;
        view.instances = plan.instances as u32;
        let mut admission = Admission::default().with_fleet_admission(plan.is_on);
        admission.update_view(Mono(1_000), &view);
        let heard = Default::default();
        Instance {
            admission,
            view,
            heard,
        }
    };
    let mut world = World {
        plan,
        kinds: kinds.to_vec(),
        now: Mono(60_000),
        draws: 0,
        instances: (0..plan.instances).map(instance).collect(),
        callers: Vec::new(),
        due: Vec::new(),
        endpoints: IndexMap::new(),
        got: vec![Default::default(); kinds.len()],
    };
    for _ in 0..3_000 {
        world.step();
    }
    world.got
}

impl World {
    fn draw(&mut self) -> f64 {
        self.draws += 1;
        xxhash_rust::xxh3::xxh3_64(&self.draws.to_le_bytes()) as f64 / u64::MAX as f64
    }

    fn step(&mut self) {
        self.now = self.now.plus(STEP_MS);
        let is_burst = self.now.0 % 6_000 < 1_500;
        for kind in 0..self.kinds.len() {
            let per_s = self.kinds[kind].per_s[usize::from(is_burst)];
            if self.draw() * 1_000.0 >= per_s * STEP_MS as f64 {
                continue;
            }
            self.due.push((self.now, self.callers.len()));
            let caller = Caller {
                kind,
                key: (self.draw() * 65_535.0) as u16,
                began: self.now,
                half: usize::from(self.draw() >= self.plan.first_half),
                attempts: 0,
                has_waited: false,
            };
            self.got[kind][caller.half].asked += 1;
            self.callers.push(caller);
        }
        let now = self.now;
        let due: Vec<_> = self.due.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, caller) in due {
            let half = self.plan.instances / 2;
            let instance = (self.draw() * half as f64) as usize;
            self.attempt(caller, instance + half * self.callers[caller].half);
        }
        self.work();
        // Sums come every 200 ms, reports of each to all every 100 ms.
        let is_small = self.plan.instances <= MAX_FULL_MESH;
        let period = if is_small { 100 } else { 200 };
        if now.0.is_multiple_of(period) {
            self.report();
        }
        for i in 0..self.instances.len() {
            let Instance {
                admission, view, ..
            } = &mut self.instances[i];
            for (ticket, decision) in admission.decide_waiting(now, view) {
                self.carry_out(ticket as usize, i, decision);
            }
        }
    }

    fn attempt(&mut self, number: usize, instance: usize) {
        let caller = &mut self.callers[number];
        let kind = self.kinds[caller.kind];
        caller.attempts += 1;
        self.got[caller.kind][caller.half].came_back += u32::from(caller.has_waited);
        let job = if self.plan.has_keys {
            keyed(number as u64, caller.key, self.now)
        } else {
            job(number as u64, self.now)
        };
        let job = Job {
            priority: kind.rank,
            objective_at: caller.began.plus(kind.objective_ms),
            deadline: caller.began.plus(kind.patience_ms),
            caller_deadline: caller.began.plus(kind.patience_ms),
            spent_ms: self.now.since(caller.began),
            ..job
        };
        let Instance {
            admission, view, ..
        } = &mut self.instances[instance];
        if let Some(decision) = admission.submit(self.now, view, job) {
            self.carry_out(number, instance, decision);
        }
    }

    fn carry_out(&mut self, number: usize, instance: usize, decision: Decision) {
        let caller = &mut self.callers[number];
        let kind = self.kinds[caller.kind];
        match decision {
            Decision::Send(choice) => {
                let places = self.endpoints.entry(choice.endpoint.clone()).or_default();
                places.push((number, instance, choice, None));
            }
            Decision::Refuse(refusal) => {
                let refused_again = &mut self.got[caller.kind][caller.half].refused_again;
                *refused_again += u32::from(caller.has_waited);
                let left = caller.began.plus(kind.patience_ms).since(self.now);
                let (wait_ms, attempts) = if kind.repeats_at_once {
                    (STEP_MS, 10)
                } else {
                    (refusal.retry_after_ms.min(left / 3), 3)
                };
                caller.has_waited = !kind.repeats_at_once;
                if caller.attempts < attempts {
                    self.due.push((self.now.plus(wait_ms), number));
                }
            }
            Decision::Forward => {}
        }
    }

    fn work(&mut self) {
        let now = self.now;
        for i in 0..self.endpoints.len() {
            let is_done = |place: &mut Place| place.3.is_some_and(|end| end <= now);
            let done: Vec<_> = self.endpoints[i].extract_if(.., is_done).collect();
            for (caller, instance, choice, _) in done {
                let admission = &mut self.instances[instance].admission;
                admission.record_finished(&choice.endpoint);
                let Caller {
                    kind, half, began, ..
                } = self.callers[caller];
                let in_time = now.since(began) <= self.kinds[kind].objective_ms;
                self.got[kind][half].in_time += u32::from(in_time);
                self.got[kind][half].late += u32::from(!in_time);
            }
            for place in 0..SLOTS.min(self.endpoints[i].len()) {
                let end = now.plus(100 + (self.draw() * 200.0) as u64);
                self.endpoints[i][place].3.get_or_insert(end);
            }
        }
    }

    /// What was heard last takes effect, and all report anew.
    fn report(&mut self) {
        let is_small = self.plan.instances <= MAX_FULL_MESH;
        let heard: Vec<_> = self
            .instances
            .iter()
            .map(|of| (of.view.rank, of.heard.clone()))
            .collect();
        let sums = largest(add_up(heard.iter().flat_map(|(_, (_, demand))| demand)));
        for i in 0..self.instances.len() {
            let (is_sum_lost, is_report_lost) =
                (self.draw() < self.plan.lost, self.draw() < self.plan.lost);
            let Instance {
                admission,
                view,
                heard: own,
            } = &mut self.instances[i];
            if !is_sum_lost {
                let others = heard.iter().filter(|(rank, _)| *rank != view.rank);
                let mut loads = IndexMap::<_, ReportedLoad>::new();
                for (rank, (uses, _)) in others.clone() {
                    for (tag, in_flight, waiting) in uses {
                        let load = loads.entry(*tag).or_insert_with(ReportedLoad::unknown);
                        load.is_sum = !is_small;
                        load.in_flight += in_flight;
                        load.waiting += waiting;
                        let (rank, wanted) = (*rank, in_flight + waiting);
                        load.others.push(Demand { rank, wanted });
                    }
                }
                view.reported_loads = loads;
                let reports: Vec<_> = others
                    .map(|(rank, (_, all))| (*rank, all.as_slice()))
                    .collect();
                view.fleet = Some(if is_small {
                    FleetDemand::from_reports(self.now, &reports)
                } else {
                    FleetDemand::from_sums(self.now, &sums, &own.1)
                });
            }
            let demand = admission.take_demand(self.now, view).unwrap_or_default();
            if !is_report_lost {
                *own = (admission.usage().collect(), demand);
            }
        }
    }
}
