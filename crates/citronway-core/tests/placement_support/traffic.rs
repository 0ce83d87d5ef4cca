//! Seeded arrivals at the endpoints of a service with a planner, second by second.

use citronway_core::config::Weights;
use citronway_core::ids::{EndpointName, GroupName, Key, ServiceName};
use citronway_core::peer::{EndpointLoad, HotKey, ShardLoad};
use citronway_core::placement::measures::churn;
use citronway_core::placement::{Lookup, PlannerEvent, PlannerSettings, Wanted};
use citronway_core::shard::{Assignment, KeyHash};
use indexmap::IndexMap;

use super::{GROUP, Instance, SERVICE, Store, group, members, now, owner, started, wanted};

/// A dispatcher's mean of service times reaches back this many orders.
const ORDERS_IN_MEAN: u32 = 15;

/// Hottest keys that a dispatcher reports.
const HOT_REPORTED: usize = 8;

/// A deployment and its load.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub endpoints: usize,
    pub slots: u32,
    pub shards: u32,
    pub keys: u32,
    /// Mean of exponentially distributed times, in milliseconds.
    pub service_ms: f64,
    /// Part of all slots that is busy.
    pub utilisation: f64,
    pub weights: Weights,
}

#[derive(Debug, Clone)]
pub struct Source {
    pub hash: KeyHash,
    /// Requests a second.
    pub rate: f64,
}

/// A planner, dispatchers that release at once, and keys that are asked for.
#[derive(Debug)]
pub struct Traffic {
    pub size: Size,
    pub wanted: Wanted,
    pub planner: Instance,
    pub store: Store,
    pub sources: Vec<Source>,
    pub second: u64,
    random: Random,
}

/// What a span of time brought.
#[derive(Debug, Clone, Copy, Default)]
pub struct Span {
    /// Sum of the shares of the key space that changed owner.
    pub churn: f64,
    pub moves: u64,
    /// Mean variation of the true utilisation.
    pub variation: f64,
    /// Mean utilisation of the busiest endpoint over the mean.
    pub peak: f64,
}

impl Traffic {
    pub fn new(size: Size, seed: u64) -> Self {
        let mut members = members(size.endpoints);
        for member in &mut members {
            member.slots = size.slots;
        }
        let mut wanted = wanted(1, vec![group(GROUP, None, size.shards, members)]);
        wanted.weights = size.weights;
        let (planner, store) = started(&wanted, PlannerSettings::default());
        let slots = size.endpoints as f64 * f64::from(size.slots);
        let rate = size.utilisation * slots * 1000.0 / size.service_ms / f64::from(size.keys);
        let mut sources = Vec::new();
        for key in 0..size.keys {
            let hash = KeyHash::of(&Key::new(&format!("key-{key}")));
            sources.push(Source { hash, rate });
        }
        Self {
            size,
            wanted,
            planner,
            store,
            sources,
            second: 2,
            random: Random(seed),
        }
    }

    pub fn assignment(&self) -> Assignment {
        self.store.assignment().expect("assignment")
    }

    /// Lets seconds pass.
    pub fn pass(&mut self, seconds: u64) -> Span {
        let mut span = Span::default();
        for _ in 0..seconds {
            let before = self.assignment();
            let loads = self.utilisations(&before);
            span.variation += variation(&loads) / seconds as f64;
            span.peak += peak(&loads) / seconds as f64;
            self.step(&before);
            let after = self.assignment();
            for shard in after.shards.keys() {
                let known = before.shards.contains_key(shard);
                span.moves += u64::from(known && owner(&before, *shard) != owner(&after, *shard));
            }
            span.churn += churn(&before, &after).keys;
        }
        span
    }

    /// True utilisation of each endpoint.
    pub fn utilisations(&self, assignment: &Assignment) -> Vec<f64> {
        let slot_rate = f64::from(self.size.slots) * 1000.0 / self.size.service_ms;
        let mut loads = IndexMap::new();
        for member in &self.wanted.groups[0].members {
            loads.insert(member.endpoint.clone(), 0.0);
        }
        for (source, endpoint) in self.owners(assignment) {
            if let Some(load) = loads.get_mut(&endpoint) {
                *load += self.sources[source].rate / slot_rate;
            }
        }
        loads.into_values().collect()
    }

    fn owners(&self, assignment: &Assignment) -> Vec<(usize, EndpointName)> {
        let lookup = Lookup::new(assignment).expect("stored assignments are checked");
        let group = GroupName::new(GROUP);
        let mut owners = Vec::new();
        for (index, source) in self.sources.iter().enumerate() {
            let shard = lookup.shard(&group, source.hash).expect("covered");
            if let Some(owner) = owner(assignment, shard) {
                owners.push((index, owner));
            }
        }
        owners
    }

    fn step(&mut self, assignment: &Assignment) {
        let lookup = Lookup::new(assignment).expect("stored assignments are checked");
        let service = ServiceName::new(SERVICE);
        let group = GroupName::new(GROUP);
        let mut reports = IndexMap::new();
        for member in &self.wanted.groups[0].members {
            reports.insert(
                member.endpoint.clone(),
                super::idle(member.endpoint.as_str()),
            );
        }
        for (index, endpoint) in self.owners(assignment) {
            let source = self.sources[index].clone();
            let requests = self.random.poisson(source.rate);
            let Some(report) = reports.get_mut(&endpoint) else {
                continue;
            };
            if requests == 0 {
                continue;
            }
            report.requests += requests;
            report.hot.push(HotKey {
                service: service.clone(),
                hash: source.hash,
                requests,
            });
            let shard = lookup.shard(&group, source.hash).expect("covered");
            match report.shards.iter_mut().find(|load| load.shard == shard) {
                Some(load) => load.requests += requests,
                None => report.shards.push(ShardLoad {
                    service: service.clone(),
                    shard,
                    requests,
                }),
            }
        }
        self.second += 1;
        let now = now(self.second * 1000);
        for mut report in reports.into_values() {
            self.finish(&mut report);
            self.planner.event(PlannerEvent::Load { report }, now);
        }
        for _ in 0..2 {
            self.planner.run(&mut self.store, now);
            self.planner.release_all(&self.store, now);
        }
        self.planner.run(&mut self.store, now);
        self.planner.trace.clear();
        self.planner.published.clear();
    }

    fn finish(&mut self, report: &mut EndpointLoad) {
        report
            .hot
            .sort_by_key(|hot| std::cmp::Reverse(hot.requests));
        report.hot.truncate(HOT_REPORTED);
        let mut sum = 0.0;
        for _ in 0..ORDERS_IN_MEAN {
            sum -= self.random.unit().ln() * self.size.service_ms;
        }
        let mut rounded = 1_u32;
        while f64::from(rounded) < sum / f64::from(ORDERS_IN_MEAN) {
            rounded += 1;
        }
        report.service_ms = u64::from(rounded);
    }
}

fn variation(loads: &[f64]) -> f64 {
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    let squares: f64 = loads.iter().map(|load| (load / mean - 1.0).powi(2)).sum();
    (squares / loads.len() as f64).sqrt()
}

fn peak(loads: &[f64]) -> f64 {
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    loads.iter().fold(0.0_f64, |most, load| most.max(*load)) / mean
}

/// The splitmix64 generator.
#[derive(Debug)]
struct Random(u64);

impl Random {
    /// Above 0, at most 1.
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^= z >> 31;
        ((z >> 11) + 1) as f64 / 9_007_199_254_740_992.0
    }

    /// Number of arrivals where `mean` are expected.
    fn poisson(&mut self, mean: f64) -> u64 {
        let mut arrivals = 0;
        let mut left = mean + self.unit().ln();
        while left > 0.0 {
            arrivals += 1;
            left += self.unit().ln();
        }
        arrivals
    }
}
