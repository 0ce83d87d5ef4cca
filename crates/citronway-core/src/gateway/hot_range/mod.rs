//! Division of hot ranges: as soon as an endpoint's keys clearly have more load than it can serve,
//! they are divided at once into as many pieces as their load needs.
//!
//! Load: within an instant, 60 to 200 neighbouring keys of one endpoint get 32 to 43 % of a
//! service's requests, thirty times what the endpoint can serve. Callers expect answers within
//! less than a second. A balance that takes one piece after the other from the most loaded
//! endpoint underestimates a load that has just begun, and moves pieces again when it has grown.

mod cut;
mod key_rates;
mod recent;

use std::cmp::Ordering;

use indexmap::IndexMap;

use crate::gateway::assignment::{Assignment, Range};
use crate::gateway::keyload::KeyLoads;
use crate::gateway::leader::{Move, Span};
use crate::gateway::placement::PlacementEndpoint;
use crate::gateway::report::MAX_FULL_MESH;
use crate::gateway::routes::RouteTable;
use crate::gateway::settings::Switch;
use crate::ids::{EndpointStart, ServiceName};
use crate::time::Mono;

use cut::{Cut, Cutter, Targets};
use recent::{RecentKeys, WINDOWS_MS};

/// Usage above which an endpoint's keys are divided: with less, its requests still end in time, and
/// the balance takes its time to be sure.
const DIVIDE_ABOVE: f64 = 1.25;

/// Factor by which the usage of such an endpoint must exceed the average usage of the service.
/// Where all endpoints are full, nothing is gained by moving keys.
const ABOVE_AVERAGE: f64 = 1.5;

/// Number of standard errors by which the lower bound of a load is below its estimate.
const DOUBT_ERRORS: f64 = 2.0;

/// Shortest and longest time for which a hot range is observed before it is divided, in
/// milliseconds. The reports of its first requests come spread over 0.2 to 0.3 s.
const OBSERVE_MS: (u64, u64) = (200, 300);

/// Growth of its load between two passes below which a hot range is divided: the reports of all
/// instances have come.
const SETTLED_GROWTH: f64 = 1.1;

/// Time for which a piece that was moved is not moved again for balance, in milliseconds.
///
/// Longer than the period of the slowest wave of load between availability zones, 17 s, so that no
/// piece follows the wave to and fro.
const REST_MS: u64 = 20_000;

/// Number of requests in the short window from which a rate is calculated.
const MIN_COUNT: f64 = 30.0;

/// Objective below which callers of a route notice how long a division takes, in milliseconds.
const URGENT_BELOW_MS: u64 = 1_000;

/// Division of an endpoint's keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Division {
    /// Endpoint whose keys are divided.
    pub owner: EndpointStart,
    /// When its load was first seen.
    pub seen_at: Mono,
    /// Estimated time from its first requests until it was seen, in milliseconds.
    pub seen_ms: u64,
    /// Requests a second of its keys.
    pub per_s: f64,
    /// A key that no endpoint can serve alone; it stays.
    pub hot_key: Option<u16>,
    /// Moves of the pieces that do not stay.
    pub moves: Vec<Move>,
}

/// Requests of the last moments, and which pieces have been moved recently.
#[derive(Debug, Default)]
pub struct HotRanges {
    recent: RecentKeys,
    /// Endpoints with more load than they can serve.
    seen: IndexMap<EndpointStart, Seen>,
    rests: MoveRests,
}

/// An endpoint with more load than it can serve.
#[derive(Debug)]
struct Seen {
    since: Mono,
    /// Requests a second at the first pass, and at the last one.
    first_per_s: f64,
    per_s: f64,
}

impl Seen {
    /// Estimated time from the first requests to the first pass, from the number of requests that
    /// had been reported by then.
    fn ms_before(&self) -> u64 {
        let part = self.first_per_s / self.per_s.max(f64::MIN_POSITIVE);
        let ms = part.min(1.0) * WINDOWS_MS[0] as f64;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "at most the length of a window"
        )]
        let ms = ms as u64;
        ms
    }

    /// Whether the load is known well enough; `per_s` is that of this pass.
    fn is_settled(&mut self, now: Mono, per_s: f64) -> bool {
        let before = std::mem::replace(&mut self.per_s, per_s);
        let for_ms = now.since(self.since);
        for_ms >= OBSERVE_MS.1 || (for_ms >= OBSERVE_MS.0 && per_s < before * SETTLED_GROWTH)
    }
}

/// Pieces that were moved recently and are not moved again for balance.
#[derive(Debug, Default)]
pub struct MoveRests {
    until: Vec<(Span, Mono)>,
    /// Endpoints whose keys are about to be divided.
    ///
    /// Failure guarded against: the balance moves half of a hot range to an endpoint that cannot
    /// serve it either, and the range has to be divided in several places.
    observed: Vec<EndpointStart>,
}

impl MoveRests {
    /// Records that pieces start to move.
    pub fn record(&mut self, now: Mono, moves: &[Move]) {
        let until = now.plus(REST_MS);
        self.until.retain(|(_, end)| now < *end);
        self.until
            .extend(moves.iter().map(|request| (request.span, until)));
    }

    /// Whether a span of an owner overlaps a piece that rests, or is about to be divided.
    #[must_use]
    pub fn is_resting(&self, now: Mono, owner: &EndpointStart, span: Span) -> bool {
        if self.observed.contains(owner) {
            return true;
        }
        let mut all = self.until.iter();
        all.any(|(of, until)| now < *until && of.overlaps(span))
    }
}

/// Whether hot ranges of a service are divided at once: always or never by the switch, else if
/// callers of one of its routes expect answers within a second and the fleet is so large that
/// reports pass through delegates, which makes a division take longer.
#[must_use]
pub fn is_used(
    switch: Switch,
    routes: Option<&RouteTable>,
    service: &ServiceName,
    instances: usize,
) -> bool {
    match switch {
        Switch::On => true,
        Switch::Off => false,
        Switch::Auto => {
            let mut routes = routes.into_iter().flat_map(|table| &table.routes);
            instances > MAX_FULL_MESH
                && routes.any(|route| {
                    route.objective_ms < URGENT_BELOW_MS
                        && route.targets.iter().any(|to| to.service == *service)
                })
        }
    }
}

impl HotRanges {
    /// Creates them without any requests.
    #[must_use]
    pub fn new(now: Mono) -> Self {
        Self {
            recent: RecentKeys::new(now),
            ..Self::default()
        }
    }

    /// Adds a request for a key.
    pub fn add(&mut self, now: Mono, key: u16) {
        self.recent.add(now, key);
    }

    /// Whether no load is known yet. Nothing is balanced until then: it would halve a range that is
    /// about to be divided.
    #[must_use]
    pub fn is_learning(&self, now: Mono) -> bool {
        self.recent.seconds(now, WINDOWS_MS[0]).is_none()
    }

    /// Pieces that rest.
    #[must_use]
    pub const fn rests(&self) -> &MoveRests {
        &self.rests
    }

    /// Records that pieces start to move.
    pub fn record_moves(&mut self, now: Mono, moves: &[Move]) {
        self.rests.record(now, moves);
    }

    /// Divides the keys of all endpoints that have clearly more load than they can serve.
    ///
    /// The load of the divided keys becomes their load in the long window of `loads`, so that the
    /// balance does not take pieces for idle that have just become hot.
    pub fn divide(
        &mut self,
        now: Mono,
        row: &Assignment,
        loads: &mut KeyLoads,
        endpoints: &[PlacementEndpoint],
    ) -> Vec<Division> {
        self.recent.prune(now);
        let rates = self.range_rates(now, row);
        let Some(rates) = rates else {
            return Vec::new();
        };
        let hot = hot_owners(row, &rates, endpoints);
        self.seen.retain(|owner, _| hot.contains_key(owner));
        let mut due = Vec::new();
        for (owner, (_, per_s)) in &hot {
            let seen = self.seen.entry((*owner).clone()).or_insert(Seen {
                since: now,
                first_per_s: *per_s,
                per_s: 0.0,
            });
            if seen.is_settled(now, *per_s) {
                due.push(*owner);
            }
        }
        let near = neighbours(row, &due);
        due.extend(hot.keys().filter(|owner| near.contains(*owner)));
        self.rests.observed = self.seen.keys().cloned().collect();
        if due.is_empty() {
            return Vec::new();
        }
        let mut targets = Targets::new(row, &rates, loads, endpoints, &hot);
        let mut divisions = Vec::new();
        for (owner, (endpoint, _)) in &hot {
            let seen = self.seen.get(*owner).filter(|_| due.contains(owner));
            let Some(seen) = seen else {
                continue;
            };
            let cut = self.cut(now, row, &rates, endpoint, &mut targets);
            if cut.moves.is_empty() {
                continue;
            }
            divisions.push(Division {
                owner: (*owner).clone(),
                seen_at: seen.since,
                seen_ms: seen.ms_before(),
                per_s: cut.rates.iter().map(|(_, of)| of.iter().sum::<f64>()).sum(),
                hot_key: cut.hot_key,
                moves: cut.moves,
            });
            for (span, rates) in &cut.rates {
                targets.known.push((*span, rates.clone()));
            }
        }
        if !divisions.is_empty() {
            loads.set_steady(targets.others_factor, &targets.known);
        }
        divisions
    }

    /// Load of each range; `None` before the shortest window has passed.
    fn range_rates(&self, now: Mono, row: &Assignment) -> Option<Vec<RangeRate>> {
        let mut rates = vec![RangeRate::default(); row.ranges.len()];
        for window_ms in WINDOWS_MS {
            let seconds = self.recent.seconds(now, window_ms)?;
            let mut counts = vec![0.0; row.ranges.len()];
            for key in self.recent.keys(now, window_ms) {
                let i = row.ranges.partition_point(|range| range.last < key);
                if let Some(count) = counts.get_mut(i) {
                    *count += 1.0;
                }
            }
            for (rate, count) in rates.iter_mut().zip(counts) {
                // The load may have begun within the longer window.
                rate.at_least = rate.at_least.max(at_least(count / seconds, count));
                if count >= MIN_COUNT || window_ms == WINDOWS_MS[1] {
                    rate.per_s = rate.per_s.max(count / seconds);
                }
            }
        }
        Some(rates)
    }

    /// Cuts the keys of a hot endpoint into pieces for the targets.
    fn cut(
        &self,
        now: Mono,
        row: &Assignment,
        rates: &[RangeRate],
        owner: &PlacementEndpoint,
        targets: &mut Targets<'_>,
    ) -> Cut {
        let mut cutter = Cutter::new(owner);
        let mut mine: Vec<_> = (0..row.ranges.len())
            .filter(|i| !row.ranges[*i].is_moving())
            .filter(|i| row.ranges[*i].holder.endpoint == owner.endpoint)
            .collect();
        mine.sort_by(|a, b| by_load(rates[*b].per_s, rates[*a].per_s));
        for i in mine {
            let span = row.ranges[i].span();
            let counts = key_rates::count(span, self.recent.keys(now, WINDOWS_MS[1]));
            let of_keys = key_rates::estimate(&counts, rates[i].per_s);
            cutter.find_hot_key(span, &of_keys, targets);
            cutter.cut.rates.push((span, of_keys));
        }
        for i in 0..cutter.cut.rates.len() {
            let (span, mut of_keys) = cutter.cut.rates[i].clone();
            // An overestimated load costs a few more pieces, an underestimated one a second division.
            let count = of_keys.iter().sum::<f64>() * WINDOWS_MS[0] as f64 / 1_000.0;
            for load in &mut of_keys {
                *load *= 1.0 + 1.0 / count.max(1.0).sqrt();
            }
            cutter.cut_span(span, &of_keys, targets);
        }
        cutter.cut
    }
}

/// Load of a range in requests a second.
#[derive(Debug, Clone, Copy, Default)]
struct RangeRate {
    per_s: f64,
    /// Lower bound.
    at_least: f64,
}

/// Endpoints with more load than they can serve, and that load in requests a second.
type HotOwners<'a> = IndexMap<&'a EndpointStart, (&'a PlacementEndpoint, f64)>;

/// Endpoints with more load than they can serve, the most loaded first.
fn hot_owners<'a>(
    row: &'a Assignment,
    rates: &[RangeRate],
    endpoints: &'a [PlacementEndpoint],
) -> HotOwners<'a> {
    let mut by_owner = IndexMap::<_, RangeRate>::new();
    for (range, rate) in row.ranges.iter().zip(rates) {
        let sum = by_owner.entry(planned_owner(range)).or_default();
        sum.per_s += rate.per_s;
        sum.at_least += rate.at_least;
    }
    let load = rates.iter().map(|rate| rate.per_s).sum::<f64>();
    let average = load / total_capacity(endpoints);
    let limit = DIVIDE_ABOVE.max(ABOVE_AVERAGE * average);
    let rate_of = |p: &PlacementEndpoint| by_owner.get(&p.endpoint).copied().unwrap_or_default();
    let is_above = |p: &PlacementEndpoint, per_s: f64| !p.must_drain && per_s > limit * p.capacity;
    let surely = endpoints
        .iter()
        .filter(|p| is_above(p, rate_of(p).at_least));
    let surely: Vec<_> = surely.map(|p| &p.endpoint).collect();
    let near = neighbours(row, &surely);
    let mut hot: Vec<_> = endpoints
        .iter()
        .filter(|p| {
            let rate = rate_of(p);
            // One standard error below the estimate is enough beside a hot range.
            let likely = f64::midpoint(rate.per_s, rate.at_least);
            let is_near = near.contains(&&p.endpoint) && is_above(p, likely);
            is_near || surely.contains(&&p.endpoint)
        })
        .collect();
    let usage = |p: &PlacementEndpoint| rate_of(p).per_s / p.capacity.max(f64::MIN_POSITIVE);
    hot.sort_by(|a, b| by_load(usage(b), usage(a)));
    hot.into_iter()
        .map(|p| (&p.endpoint, (p, rate_of(p).per_s)))
        .collect()
}

/// Owners of the ranges beside those of some owners.
///
/// A hot range seldom ends where a range of the assignment does. The smaller part of it shows some
/// tenths of a second later by itself.
fn neighbours<'a>(row: &'a Assignment, of: &[&EndpointStart]) -> Vec<&'a EndpointStart> {
    let mut found = Vec::new();
    if of.is_empty() {
        return found;
    }
    for pair in row.ranges.windows(2) {
        let (left, right) = (planned_owner(&pair[0]), planned_owner(&pair[1]));
        if of.contains(&left) {
            found.push(right);
        }
        if of.contains(&right) {
            found.push(left);
        }
    }
    found
}

/// Lower bound of a load that was calculated from a number of requests.
fn at_least(load: f64, count: f64) -> f64 {
    load * (1.0 - DOUBT_ERRORS / count.max(1.0).sqrt()).max(0.0)
}

fn by_load(a: f64, b: f64) -> Ordering {
    a.total_cmp(&b)
}

fn planned_owner(range: &Range) -> &EndpointStart {
    &range.next.as_ref().unwrap_or(&range.holder).endpoint
}

/// Requests a second that all endpoints that take keys can serve.
fn total_capacity(endpoints: &[PlacementEndpoint]) -> f64 {
    let usable = endpoints.iter().filter(|p| p.accepts_keys && !p.must_drain);
    usable
        .map(|p| p.capacity)
        .sum::<f64>()
        .max(f64::MIN_POSITIVE)
}
