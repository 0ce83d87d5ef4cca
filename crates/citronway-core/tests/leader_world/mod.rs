//! Simulation of leaders, a store and endpoints in one process, with faults drawn from a seed.
//!
//! Time advances in steps. Calls arrive at once or never. A grant whose answer is lost may be
//! carried out up to 12 s later, with a hold that counts from its arrival. A leader may lose the
//! connection to the store or to endpoints, or be paused; another instance then claims the
//! leadership. Leaders do not learn of one another. The store may come back from an older copy; the
//! numbers of its versions then repeat.

#![allow(dead_code, reason = "each test file uses its own part")]

mod endpoint;
mod links;
mod random;
mod store;

use citronway_core::gateway::assignment::Assignment;
use citronway_core::gateway::keyload::KeyLoads;
use citronway_core::gateway::leader::{
    Action, FormerLeaderLimits, Leader, LeaderSettings, Move, Order, OrderResult, Span, WriteResult,
};
use citronway_core::gateway::placement::{self, PlacementEndpoint, PlacementInput};
use citronway_core::gateway::registry::{Listing, Registry};
use citronway_core::gateway::version::{Era, RowVersion};
use citronway_core::ids::{EndpointStart, ServiceName, ZoneName};
use citronway_core::time::Mono;

use links::{LateOrders, Links};
use store::{LeaderEntry, Store};

pub use endpoint::{Clock, Endpoint};
pub use random::Random;

/// Length of a step, in milliseconds.
pub const STEP_MS: u64 = 25;

/// Interval between two runs of the placement, in milliseconds.
const PLACE_MS: u64 = 100;

/// Time without a sign of the leader after which another instance claims, in milliseconds.
const CLAIM_AFTER_MS: u64 = 1_000;

/// Probability of each fault in one step, in units of 1/10,000.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    /// The answer to an order is lost; half of these orders are carried out late.
    pub lost_orders: u64,
    /// A leader loses the connection to the store.
    pub store_cuts: u64,
    /// Longest loss of that connection, in milliseconds.
    pub longest_cut_ms: u64,
    /// A leader is paused for up to 20 s.
    pub pauses: u64,
    /// An endpoint is unreachable from one leader for up to 6 s.
    pub endpoint_cuts: u64,
    /// An endpoint's process ends and another one starts at its address.
    pub crashes: u64,
    /// The answer to a write is lost; half of these writes are carried out late.
    pub lost_writes: u64,
    /// An endpoint restarts under its name. One in four restarts twice in a row, and one in four
    /// has a clock that was set back or shows the same time as at the earlier start.
    pub restarts: u64,
    /// An entry expires; half of these during a loss of the store, in which entries stay valid.
    pub expirations: u64,
    /// A connection of one leader to one endpoint is closed.
    pub closed_links: u64,
    /// The store is away for up to 4 s and comes back from a copy of up to 30 s before. One in four
    /// times it does so twice in a row.
    pub restores: u64,
    /// All instances restart and know nothing.
    pub fleet_restarts: u64,
    /// An instance without the store hears the stored row from another one.
    pub relays: u64,
}

/// An instance that may lead.
#[derive(Debug)]
struct Instance {
    leader: Leader,
    term: u64,
    /// Era of the store that it knows.
    era: Era,
    /// Claim by which the leader was elected that it last saw in the store.
    seen_claim: u64,
    contact: Mono,
    cut_until: Mono,
    paused_until: Mono,
    unreached: Vec<(usize, Mono)>,
    links: Links,
}

impl Instance {
    fn reaches_store(&self, now: Mono) -> bool {
        self.cut_until <= now && self.paused_until <= now
    }

    /// Reads the stored assignment.
    fn read(&mut self, store: &Store) {
        if store.row.ranges.is_empty() {
            let known = self.leader.row().clone();
            self.leader.update_row(known, RowVersion::absent(store.era));
        } else {
            self.leader.update_row(store.row.clone(), store.version);
        }
    }
}

#[derive(Debug)]
struct LateWrite {
    at: Mono,
    claim: u64,
    row: Assignment,
    expected: RowVersion,
}

/// State of the simulation.
#[derive(Debug)]
pub struct World {
    pub now: Mono,
    pub random: Random,
    faults: Faults,
    instances: Vec<Instance>,
    pub endpoints: Vec<Endpoint>,
    store: Store,
    leader_acted: Mono,
    /// When all instances last restarted.
    restarted: Option<Mono>,
    /// Next restore that follows soon after the last one.
    next_restore: Option<Mono>,
    /// Number of times that the store came back from a copy.
    pub restores: u64,
    late_orders: LateOrders,
    late_writes: Vec<LateWrite>,
    /// Second restarts that follow soon after a first one, with the index of the endpoint.
    restarts: Vec<(Mono, usize)>,
    started: Mono,
    registry: Registry,
    /// Number of steps in which a key had no holder, summed over all checked keys.
    pub unserved: u64,
    pub moves: u64,
    /// Number of writes of the row that the store accepted.
    pub writes: u64,
    /// Whether the first zone is evacuated.
    evacuated: bool,
    /// Whether keys are moved all the time.
    pub moving: bool,
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let cfg = LeaderSettings::default();
        let service = ServiceName::new("batch");
        let start = Mono(100_000);
        let instances = (0..3).map(|_| Instance {
            leader: Leader::new(cfg, service.clone()),
            term: 0,
            era: Era::FIRST,
            seen_claim: 0,
            contact: start,
            cut_until: Mono(0),
            paused_until: Mono(0),
            unreached: Vec::new(),
            links: Links::default(),
        });
        let mut world = Self {
            now: start,
            random: Random::new(seed),
            faults,
            instances: instances.collect(),
            endpoints: (0..4).map(Endpoint::new).collect(),
            store: Store::new(start),
            leader_acted: start,
            restarted: None,
            next_restore: None,
            restores: 0,
            late_orders: LateOrders::default(),
            late_writes: Vec::new(),
            restarts: Vec::new(),
            started: start.plus(STEP_MS),
            registry: Registry::default(),
            unserved: 0,
            moves: 0,
            writes: 0,
            evacuated: false,
            moving: true,
        };
        world.instances[0].term = 1;
        world.instances[0]
            .leader
            .begin_term(1, start, FormerLeaderLimits::default());
        world
    }

    /// Updates the registry with the running processes; a new one is listed after 0.5 s on
    /// average.
    fn list(&mut self) {
        for endpoint in &self.endpoints {
            if self.now == self.started || self.random.chance(500) {
                self.registry.put(self.now, endpoint.listing());
            }
        }
    }

    /// Runs one step. Returns a message if two endpoints hold the same key.
    pub fn step(&mut self) -> Option<String> {
        self.now = self.now.plus(STEP_MS);
        self.draw_faults();
        self.draw_store_faults();
        self.repeat_restarts();
        self.registry.expire(self.now);
        self.list();
        self.carry_out_late();
        self.store.keep(self.now);
        self.claim();
        for i in 0..self.instances.len() {
            self.run_leader(i);
        }
        self.check()
    }

    fn draw_faults(&mut self) {
        let faults = self.faults;
        let count = self.instances.len();
        if self.random.chance(faults.store_cuts) {
            let i = self.random.index(count);
            let cut_ms = self.random.below(faults.longest_cut_ms);
            self.instances[i].cut_until = self.now.plus(cut_ms);
        }
        if self.random.chance(faults.pauses) {
            let i = self.random.index(count);
            self.instances[i].paused_until = self.now.plus(self.random.below(20_000));
        }
        if self.random.chance(faults.endpoint_cuts) {
            let i = self.random.index(count);
            let endpoint = self.random.index(self.endpoints.len());
            let until = self.now.plus(self.random.below(6_000));
            self.instances[i].unreached.push((endpoint, until));
        }
        if self.random.chance(faults.crashes) {
            let i = self.random.index(self.endpoints.len());
            self.endpoints[i].restart();
        }
        if self.random.chance(faults.restarts) {
            self.restart_under_name();
        }
        if self.random.chance(faults.expirations) {
            self.expire_entry();
        }
        if faults.closed_links > 0 && self.random.chance(faults.closed_links) {
            let i = self.random.index(count);
            let endpoint = self.random.index(self.endpoints.len());
            self.instances[i].links.end(endpoint);
        }
    }

    fn draw_store_faults(&mut self) {
        let faults = self.faults;
        let is_repeated = self.next_restore.take_if(|at| *at <= self.now).is_some();
        if is_repeated || (faults.restores > 0 && self.random.chance(faults.restores)) {
            let age_ms = self.random.below(30_000);
            let away_ms = self.random.below(4_000);
            self.restore(age_ms, away_ms);
            if self.random.chance(2_500) {
                let again_ms = away_ms + self.random.below(6_000);
                self.next_restore = Some(self.now.plus(again_ms));
            }
        }
        if faults.fleet_restarts > 0 && self.random.chance(faults.fleet_restarts) {
            self.restart_instances();
        }
    }

    /// The store is away, and then comes back from a copy.
    pub fn restore(&mut self, age_ms: u64, away_ms: u64) {
        self.restores += 1;
        self.store.restore(self.now, age_ms, away_ms);
    }

    /// All instances restart and know nothing.
    pub fn restart_instances(&mut self) {
        let cfg = LeaderSettings::default();
        for instance in &mut self.instances {
            instance.leader = Leader::new(cfg, ServiceName::new("batch"));
            instance.term = 0;
            instance.era = Era::FIRST;
            instance.seen_claim = 0;
            instance.links = Links::default();
        }
        self.restarted = Some(self.now);
    }

    fn restart_under_name(&mut self) {
        let i = self.random.index(self.endpoints.len());
        let clock = match self.random.below(8) {
            0 => Clock::SetBack,
            1 => Clock::Unchanged,
            _ => Clock::Correct,
        };
        self.endpoints[i].start_again(clock);
        if self.random.chance(2_500) {
            let again_ms = self.random.below(2_000);
            self.restarts.push((self.now.plus(again_ms), i));
        }
    }

    fn repeat_restarts(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.restarts.drain(..).partition(|(at, _)| *at <= now);
        self.restarts = later;
        for (_, i) in due {
            self.endpoints[i].start_again(Clock::Correct);
        }
    }

    fn expire_entry(&mut self) {
        let i = self.random.index(self.endpoints.len());
        let name = self.endpoints[i].id();
        if self.random.chance(5_000) {
            self.registry.store_lost();
            self.registry.store_regained(self.now);
        }
        self.registry.remove(self.now, name.name());
    }

    fn carry_out_late(&mut self) {
        let now = self.now;
        self.late_orders.carry_out(now, &mut self.endpoints);
        let (due, later): (Vec<_>, Vec<_>) = self.late_writes.drain(..).partition(|w| w.at <= now);
        self.late_writes = later;
        for late in due {
            self.apply_write(late.claim, &late.row, late.expected);
        }
    }

    fn apply_write(&mut self, claim: u64, row: &Assignment, expected: RowVersion) -> bool {
        let applied = self.store.write(self.now, claim, row, expected);
        self.writes += u64::from(applied);
        applied
    }

    /// Evacuates the first zone, or restores it.
    pub fn evacuate(&mut self, evacuated: bool) {
        self.evacuated = evacuated;
        let zones = evacuated.then(|| (zone_of(0), self.now));
        self.registry
            .set_evacuated(self.now, zones.into_iter().collect());
    }

    /// Changes the faults to draw from now on; current ones end by themselves.
    pub const fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Number of ranges whose target, the next owner or else the holder, is in the first zone.
    pub fn ranges_in_evacuated_zone(&self) -> usize {
        let there = |start: &EndpointStart| {
            let mut all = self.endpoints.iter();
            all.any(|e| e.id().name() == start.name() && e.listing().zone == zone_of(0))
        };
        let ranges = self.store.row.ranges.iter();
        let owners = ranges.map(|range| range.next.as_ref().unwrap_or(&range.holder));
        owners.filter(|owner| there(&owner.endpoint)).count()
    }

    /// Makes another instance claim the leadership if the leader has not acted for
    /// [`CLAIM_AFTER_MS`]. After a restore the leader until then claims first.
    fn claim(&mut self) {
        let now = self.now;
        if self.store.is_away(now) {
            return;
        }
        let leads_on = self.instances.iter().position(|instance| {
            instance.reaches_store(now)
                && instance.era == self.store.era
                && instance.leader.is_leading()
        });
        let next = if self.store.is_restored() && leads_on.is_some() {
            leads_on
        } else if now.since(self.leader_acted.max(self.store.away_until)) < CLAIM_AFTER_MS {
            None
        } else {
            let leader = self.store.leader.instance;
            let claims_again = self.store.is_restored() || self.restarted.is_some();
            (0..self.instances.len())
                .find(|i| (claims_again || *i != leader) && self.instances[*i].reaches_store(now))
        };
        let Some(next) = next else { return };
        self.elect(next);
    }

    fn elect(&mut self, next: usize) {
        let now = self.now;
        let before = self.store.leader;
        let era = self.store.era;
        let is_restored = self.store.is_restored();
        let first_fence = if is_restored {
            Some(era.first_fence())
        } else {
            before.first_fence
        };
        let cfg = LeaderSettings::default();
        let mut rivals = cfg.former_leader_limits(now);
        if self.restarted.take().is_some() && !is_restored {
            rivals = FormerLeaderLimits {
                connect_until: now,
                hold_until: cfg.latest_hold_end(now),
            };
        }
        if first_fence.is_some() && !is_restored {
            // Leaders of earlier eras may still act for as long as they were waited for.
            let until = before.elected.plus(cfg.former_leader_wait_ms());
            rivals.hold_until = rivals.hold_until.max(until);
        }
        self.store.elect(
            now,
            LeaderEntry {
                instance: next,
                term: before.term.max(era.first_term()) + 1,
                claim: 0,
                era,
                first_fence,
                elected: now,
            },
        );
        self.leader_acted = now;
        let entry = self.store.leader;
        let instance = &mut self.instances[next];
        instance.term = entry.term;
        instance.seen_claim = entry.claim;
        instance.era = era;
        instance.contact = now;
        instance.read(&self.store);
        match first_fence {
            None => instance.leader.begin_term(entry.term, now, rivals),
            Some(first) => instance
                .leader
                .begin_restored_term(entry.term, now, rivals, first),
        }
    }

    fn run_leader(&mut self, i: usize) {
        let now = self.now;
        if self.instances[i].paused_until > now {
            return;
        }
        let registry = self.registry.clone();
        let connected = self.instances[i].reaches_store(now) && !self.store.is_away(now);
        if connected {
            self.read_store(i);
        } else if self.faults.relays > 0 && self.random.chance(self.faults.relays) {
            self.hear_row(i);
        }
        if !self.instances[i].leader.is_leading() {
            return;
        }
        self.propose(i, &registry);
        let actions = self.instances[i].leader.step(now, &registry);
        for action in actions {
            match action {
                Action::Order(order) => self.order(i, &order),
                Action::Write { row, expected, .. } => self.write(i, row, expected),
            }
        }
    }

    fn read_store(&mut self, i: usize) {
        let now = self.now;
        let instance = &mut self.instances[i];
        if instance.era < self.store.era {
            instance.era = self.store.era;
            instance.leader.store_restored();
        }
        instance.read(&self.store);
        if self.store.is_restored() {
            return;
        }
        let entry = self.store.leader;
        instance.seen_claim = entry.claim;
        if entry.instance != i || entry.term != instance.term {
            instance.leader.end_term();
            return;
        }
        instance.leader.confirm(now);
        self.leader_acted = now;
        let is_known = self
            .instances
            .iter()
            .all(|other| other.seen_claim == entry.claim);
        let leader = &mut self.instances[i].leader;
        if entry.first_fence.is_some() && is_known {
            leader.former_leader_stopped(now);
        }
        if entry.first_fence.is_some() && !leader.is_restoring() {
            self.store.settle();
        }
    }

    /// Takes the stored row as another instance relays it.
    fn hear_row(&mut self, i: usize) {
        let instance = &mut self.instances[i];
        if instance.era == self.store.era {
            instance.read(&self.store);
        }
    }

    fn propose(&mut self, i: usize, registry: &Registry) {
        let listings: Vec<_> = self.endpoints.iter().map(Endpoint::listing).collect();
        let listings: Vec<&Listing> = listings.iter().collect();
        self.instances[i].leader.create_assignment(&listings);
        if self.evacuated {
            if self.now.0.is_multiple_of(PLACE_MS) {
                self.evacuate_keys(i, registry);
            }
            return;
        }
        if !self.moving || !self.random.chance(400) {
            return;
        }
        let first = self.random.key();
        let to = self.random.index(self.endpoints.len());
        let leader = &mut self.instances[i].leader;
        let Some(range) = leader.row().range_at(first) else {
            return;
        };
        let last = range.last.min(first.saturating_add(5_000));
        let request = Move {
            span: Span { first, last },
            to: self.endpoints[to].id(),
        };
        self.moves += 1;
        leader.start_moves(&[request], registry);
    }

    /// Starts the moves that the placement proposes for the evacuated zone.
    fn evacuate_keys(&mut self, i: usize, registry: &Registry) {
        let leader = &mut self.instances[i].leader;
        let now = self.now;
        let place = |endpoint: &EndpointStart, takes: bool, lost: bool| PlacementEndpoint {
            endpoint: endpoint.clone(),
            capacity: 20.0,
            accepts_keys: takes && !lost,
            must_drain: lost || !takes,
            has_queue: false,
        };
        let listed = registry.iter();
        let places: Vec<_> = listed
            .map(|known| {
                let start = &known.listing.start;
                place(start, known.accepts_work(), leader.is_lost(now, start))
            })
            .collect();
        let load = KeyLoads::new(now, 6_000.0, 400.0);
        let scene = PlacementInput {
            row: leader.row(),
            load: &load,
            endpoints: &places,
        };
        let moves = placement::propose(&scene);
        leader.start_moves(&moves, registry);
    }

    fn write(&mut self, i: usize, row: Assignment, expected: RowVersion) {
        let now = self.now;
        let claim = self.instances[i].seen_claim;
        let reaches = self.instances[i].reaches_store(now) && !self.store.is_away(now);
        let result = if !reaches {
            WriteResult::Unknown
        } else if self.random.chance(self.faults.lost_writes) {
            if self.random.chance(5_000) {
                self.late_writes.push(LateWrite {
                    at: now.plus(self.random.below(6_000)),
                    claim,
                    row,
                    expected,
                });
            } else {
                self.apply_write(claim, &row, expected);
            }
            WriteResult::Unknown
        } else if self.apply_write(claim, &row, expected) {
            WriteResult::Done(row, self.store.version)
        } else {
            WriteResult::Conflict
        };
        self.instances[i].leader.handle_write_result(now, result);
    }

    fn order(&mut self, i: usize, order: &Order) {
        let now = self.now;
        let at = self
            .endpoints
            .iter()
            .position(|e| e.address == order.address);
        let Some(place) = at else { return };
        let unreached = self.instances[i]
            .unreached
            .iter()
            .any(|(e, end)| *e == place && *end > now);
        let lost = unreached || self.random.chance(self.faults.lost_orders);
        let process = self.endpoints[place].process();
        let links = &mut self.instances[i].links;
        let result = if now >= order.connect_by && !links.is_open(place, process) {
            OrderResult::NotConnected
        } else if lost {
            if self.random.chance(5_000) && links::may_be_late(order) {
                let to = (place, process);
                self.late_orders.push(now, &mut self.random, to, order);
            }
            OrderResult::Lost
        } else {
            links.open(place, process);
            self.endpoints[place].handle(now, now, order)
        };
        self.instances[i]
            .leader
            .handle_order_result(now, order, &result);
    }

    fn check(&mut self) -> Option<String> {
        let now = self.now;
        for key in (0..=u16::MAX).step_by(997) {
            let holders: Vec<_> = self
                .endpoints
                .iter()
                .filter(|e| e.holds(now, key))
                .collect();
            if holders.is_empty() {
                self.unserved += 1;
            }
            if holders.len() > 1 {
                let names: Vec<_> = holders.iter().map(|e| e.id()).collect();
                return Some(format!("at {now}: key {key} is held by {names:?}"));
            }
        }
        None
    }
}

/// Start of the `start`th process at an address.
fn name(place: usize, start: u64, born_ms: u64) -> EndpointStart {
    EndpointStart::new(&format!("e{place}-{start}"), Some(born_ms))
}

/// Zone of the endpoint with this index; each zone has two endpoints.
fn zone_of(place: usize) -> ZoneName {
    ZoneName::new(if place < 2 { "a" } else { "b" })
}
