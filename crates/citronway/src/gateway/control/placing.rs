//! Starts moves of keys between endpoints, by the load of keys and endpoints.

use citronway_core::gateway::hot_range::{Division, HotRanges};
use citronway_core::gateway::keyload::KeyLoads;
use citronway_core::gateway::leader::{Leader, Move};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::placement::{self, Balance, PlacementEndpoint, PlacementInput};
use citronway_core::gateway::registry::ListedEndpoint;
use citronway_core::gateway::report::Report;
use citronway_core::gateway::stated_limits::MIN_PER_S;
use citronway_core::ids::ServiceName;
use citronway_core::time::Mono;
use indexmap::IndexMap;

use super::cluster::Cluster;

/// Time between two passes of the placement, in milliseconds: as often as reports come.
const PLACE_INTERVAL_MS: u64 = 100;

/// Time to the next pass after moves have started, in milliseconds: their effect must first
/// show in the queues.
const AFTER_MOVES_MS: u64 = 300;

/// Half-life of key samples in the window for steady load, in milliseconds: the weights of
/// the samples of an endpoint that serves seven requests a second add up to 60.
const STEADY_HALF_LIFE_MS: f64 = 6_000.0;

/// Half-life of key samples in the window for changing load, in milliseconds: a hot range
/// lasts a few seconds, and its callers queue until it is detected.
const RECENT_HALF_LIFE_MS: f64 = 400.0;

/// Time from the listing of a service's first endpoint until its keys are divided, in
/// milliseconds: endpoints that start at the same time list themselves meanwhile.
const FIRST_DIVISION_AFTER_MS: u64 = 1_200;

/// Service time that is assumed until answers show it, in milliseconds.
const DEFAULT_WORK_MS: f64 = 200.0;

/// Largest failure share by which an endpoint's capacity is reduced; some of its requests
/// must still show whether it has recovered.
const MAX_FAILURE_SHARE: f64 = 0.9;

/// Load of keys and service times on which the placement of all services is based.
#[derive(Debug, Default)]
pub(super) struct Placer {
    loads: IndexMap<ServiceName, KeyLoads>,
    work_ms: IndexMap<ServiceName, f64>,
    /// Recent requests of the services whose hot ranges are divided at once.
    hot: IndexMap<ServiceName, HotRanges>,
    next_at: Mono,
}

impl Placer {
    /// Clears all loads, as a new leader starts without them.
    pub(super) fn reset(&mut self) {
        self.loads.clear();
        self.hot.clear();
    }

    /// Sets the typical service time of each service, in milliseconds.
    pub(super) fn set_work_ms(&mut self, work_ms: &[(ServiceName, f64)]) {
        for (service, ms) in work_ms {
            self.work_ms.insert(service.clone(), *ms);
        }
    }

    /// Adds the sampled keys of an instance's report.
    pub(super) fn record_traffic(&mut self, now: Mono, report: &Report) {
        for samples in &report.keys {
            let loads = self
                .loads
                .entry(samples.service.clone())
                .or_insert_with(|| new_loads(now));
            let mut hot = self.hot.get_mut(&samples.service);
            for key in &samples.keys {
                loads.add(*key);
                if let Some(hot) = &mut hot {
                    hot.add(now, *key);
                }
            }
        }
    }

    /// Runs a pass over all services, if it is due.
    pub(super) fn place(
        &mut self,
        now: Mono,
        cluster: &Cluster,
        leaders: &mut IndexMap<ServiceName, Leader>,
    ) {
        if now < self.next_at {
            return;
        }
        self.next_at = now.plus(PLACE_INTERVAL_MS);
        for (service, leader) in leaders {
            leader.forget_absent(&cluster.registry);
            if leader.row().ranges.is_empty() {
                divide_first(now, cluster, service, leader);
            } else if !leader.is_cut_off(now) {
                self.move_keys(now, cluster, service, leader);
            }
        }
    }

    fn move_keys(
        &mut self,
        now: Mono,
        cluster: &Cluster,
        service: &ServiceName,
        leader: &mut Leader,
    ) {
        let work_ms = self
            .work_ms
            .get(service)
            .copied()
            .unwrap_or(DEFAULT_WORK_MS);
        let listed = cluster.registry.of_service(service);
        let waiting = cluster.waiting(now);
        let queues = |tag, slots| waiting.get(&tag).is_some_and(|count| *count > slots);
        let endpoints: Vec<_> = listed
            .map(|known| {
                let queue = queues(EndpointTag::of(&known.listing.start), known.listing.slots);
                placement_endpoint(now, cluster, leader, known, work_ms, queue)
            })
            .collect();
        let loads = self
            .loads
            .entry(service.clone())
            .or_insert_with(|| new_loads(now));
        loads.decay(now);
        if cluster.divides_fast(now, service) {
            if leader.can_start_moves() {
                let hot = self.hot.entry(service.clone());
                let hot = hot.or_insert_with(|| HotRanges::new(now));
                let moves = plan_fast(now, service, leader, loads, hot, &endpoints);
                start_moves(service, leader, &moves, cluster);
            }
            return;
        }
        self.hot.swap_remove(service);
        let input = PlacementInput {
            row: leader.row(),
            load: loads,
            endpoints: &endpoints,
        };
        let moves = placement::propose(&input);
        if moves.is_empty() {
            return;
        }
        self.next_at = now.plus(AFTER_MOVES_MS);
        start_moves(service, leader, &moves, cluster);
    }
}

/// Plans moves of a service whose hot ranges are divided at once. The divisions are observed by
/// its leader.
fn plan_fast(
    now: Mono,
    service: &ServiceName,
    leader: &mut Leader,
    loads: &mut KeyLoads,
    hot: &mut HotRanges,
    endpoints: &[PlacementEndpoint],
) -> Vec<Move> {
    let divisions = hot.divide(now, leader.row(), loads, endpoints);
    let input = PlacementInput {
        row: leader.row(),
        load: loads,
        endpoints,
    };
    let rests = hot.rests();
    let mut moves = placement::propose_by(&input, Balance::Calm { now, rests });
    if !divisions.is_empty() || hot.is_learning(now) {
        // The balance does not know of the division. Keys of lost endpoints do not wait for it.
        moves.retain(|request| must_leave(leader, endpoints, request));
        moves.extend(divisions.iter().flat_map(|division| division.moves.clone()));
    }
    hot.record_moves(now, &moves);
    for division in divisions {
        log_division(service, &division);
        leader.observe_division(now, division);
    }
    moves
}

/// Whether the keys of a move have to leave their owner.
fn must_leave(leader: &Leader, endpoints: &[PlacementEndpoint], request: &Move) -> bool {
    let Some(range) = leader.row().range_at(request.span.first) else {
        return false;
    };
    let owner = &range.next.as_ref().unwrap_or(&range.holder).endpoint;
    let stays = |p: &PlacementEndpoint| p.endpoint == *owner && !p.must_drain;
    !endpoints.iter().any(stays)
}

fn log_division(service: &ServiceName, division: &Division) {
    let (service, owner) = (service.as_str(), &division.owner);
    let (moves, per_s) = (division.moves.len(), division.per_s.round());
    match division.hot_key {
        Some(_) => {
            log::info!(service, endpoint:% = owner, moves, per_s; "neighbors leave a key that no endpoint can serve");
        }
        None => log::info!(service, endpoint:% = owner, moves, per_s; "hot range is divided"),
    }
}

fn start_moves(service: &ServiceName, leader: &mut Leader, moves: &[Move], cluster: &Cluster) {
    if moves.is_empty() {
        return;
    }
    log::info!(service = service.as_str(), moves = moves.len(); "key moves started");
    let left_out = leader.start_moves(moves, &cluster.registry);
    if left_out > 0 {
        let ranges = leader.row().ranges.len();
        log::warn!(service = service.as_str(), left_out, ranges; "assignment row has no room for all moves");
    }
}

fn new_loads(now: Mono) -> KeyLoads {
    KeyLoads::new(now, STEADY_HALF_LIFE_MS, RECENT_HALF_LIFE_MS)
}

/// Divides the keys of a service for the first time.
fn divide_first(now: Mono, cluster: &Cluster, service: &ServiceName, leader: &mut Leader) {
    let listed: Vec<_> = cluster.registry.of_service(service).collect();
    let first = listed.iter().map(|known| known.first_seen).min();
    if first.is_none_or(|at| now.since(at) < FIRST_DIVISION_AFTER_MS) {
        return;
    }
    let usable = listed.iter().filter(|known| known.accepts_work());
    let usable: Vec<_> = usable.map(|known| &known.listing).collect();
    leader.create_assignment(&usable);
}

/// Describes an endpoint for the placement.
fn placement_endpoint(
    now: Mono,
    cluster: &Cluster,
    leader: &Leader,
    known: &ListedEndpoint,
    work_ms: f64,
    queue: bool,
) -> PlacementEndpoint {
    let listing = &known.listing;
    let tag = EndpointTag::of(&listing.start);
    let healthy = 1.0 - cluster.paces.failing(now, tag).min(MAX_FAILURE_SHARE);
    let lost = leader.is_lost(now, &listing.start);
    let expected_ms = work_ms * cluster.paces.slowness(now, tag);
    let by_slots = f64::from(listing.slots) * 1_000.0 * healthy / expected_ms;
    let limit = cluster.stated_limits.for_placement(now, tag);
    PlacementEndpoint {
        endpoint: listing.start.clone(),
        capacity: if cluster.rests.is_full(now, tag) {
            MIN_PER_S
        } else {
            limit.map_or(by_slots, |per_s| by_slots.min(per_s.max(MIN_PER_S)))
        },
        accepts_keys: known.accepts_work() && !lost && known.warm_at <= now,
        must_drain: lost || !known.accepts_work(),
        has_queue: queue,
    }
}
