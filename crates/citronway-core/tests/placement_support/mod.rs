//! Shared by the tests of placement: builders, a table store, and dispatchers
//! that follow the assignment with a delay of their own.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod traffic;

use citronway_core::config::Weights;
use citronway_core::ids::*;
use citronway_core::peer::{EndpointLoad, EndpointLost, ShardReleased};
use citronway_core::placement::members::Standing;
use citronway_core::placement::plan::StandingGroup;
use citronway_core::placement::planner::{ASSIGNMENT_TABLE, PLANNER_TABLE, PlannerRow, at};
use citronway_core::placement::propose::empty;
use citronway_core::placement::replay::Record;
use citronway_core::placement::{
    Candidate, Cause, Lookup, Member, MemberState, Move, Planner, PlannerAction, PlannerEvent,
    PlannerSettings, Wanted, WantedGroup, moves, partition,
};
use citronway_core::platform::{ConditionalPut, Row, RowKey, WriteOutcome};
use citronway_core::shard::{Assignment, KeyHash, Ownership};
use citronway_core::time::{Mono, Now, Wall};
use indexmap::{IndexMap, IndexSet};
use proptest::test_runner::{Config, RngSeed, TestRunner};

pub const SERVICE: &str = "migration";
pub const GROUP: &str = "all";
/// Weighs all alike.
pub const EVEN: Weights = weights(1.0, 1.0, 1.0);

/// Weighs churn.
pub const MIGRAKON: Weights = weights(1.0, 5.0, 1.0);

/// Weighs unavailable time.
pub const VATUWAQA: Weights = weights(1.0, 1.0, 5.0);

pub const fn weights(imbalance: f64, churn: f64, unavailable: f64) -> Weights {
    Weights {
        imbalance,
        churn,
        unavailable,
    }
}

/// Runs `cases` cases, the same ones each time.
pub fn runner(cases: u32, seed: u64) -> TestRunner {
    TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    })
}

/// Both clocks at `ms`.
pub const fn now(ms: u64) -> Now {
    Now {
        mono: Mono(ms),
        wall: Wall(ms),
    }
}

/// `e00`, `e01`, ... in zones `a`, `b`, `c` in turn, 6 slots each.
pub fn member(index: usize) -> Member {
    Member {
        endpoint: EndpointName::new(&format!("e{index:02}")),
        zone: ZoneName::new(["a", "b", "c"][index % 3]),
        slots: 6,
        state: MemberState::Live,
    }
}

pub fn members(count: usize) -> Vec<Member> {
    (0..count).map(member).collect()
}

pub fn group(name: &str, keys: Option<&str>, shards: u32, members: Vec<Member>) -> WantedGroup {
    WantedGroup {
        group: GroupName::new(name),
        keys: keys.map(str::to_owned),
        shards,
        members,
    }
}

pub fn wanted(config: u64, groups: Vec<WantedGroup>) -> Wanted {
    let mut candidates = Vec::new();
    for (index, zone) in ["a", "b", "c", "a"].into_iter().enumerate() {
        candidates.push(Candidate {
            session: Session::new(&format!("i{index}"), 1),
            zone: ZoneName::new(zone),
        });
    }
    Wanted {
        service: ServiceName::new(SERVICE),
        config: Version(config),
        groups,
        weights: EVEN,
        candidates,
    }
}

/// Members that have been well for long.
pub fn settled(group: &WantedGroup) -> StandingGroup {
    let mut standing = Vec::new();
    for member in &group.members {
        standing.push(Standing {
            endpoint: member.endpoint.clone(),
            zone: member.zone.clone(),
            slots: member.slots,
            state: member.state,
            usable: if member.state.takes_shards() { 100 } else { 0 },
            losses: 0,
        });
    }
    StandingGroup {
        group: group.group.clone(),
        members: standing,
    }
}

/// An assignment with all shards of the groups, nobody's yet.
pub fn unowned(groups: &[WantedGroup]) -> Assignment {
    let none = empty(&ServiceName::new(SERVICE));
    partition::swap(&none, groups, &IndexMap::new(), Wall(0)).expect("nothing to release")
}

/// Carries moves out to the end, as if everything were released at once.
pub fn carry_out(assignment: &Assignment, moves: &[Move]) -> Assignment {
    let mut next = assignment.clone();
    for step in moves {
        next = moves::begin(&next, step).expect("the move fits");
        let Some(from) = moving_from(&next, step.shard) else {
            continue;
        };
        let report = release_of(&next, step.shard, &from, &Session::new("i0", 1));
        next = moves::released(&next, &report, Wall(0)).expect("the release fits");
    }
    next
}

/// Moves that give all shards without owner to one endpoint.
pub fn take_all(assignment: &Assignment, endpoint: &str) -> Vec<Move> {
    let mut moves = Vec::new();
    for shard in assignment.shards.keys() {
        moves.push(Move {
            shard: *shard,
            from: None,
            to: EndpointName::new(endpoint),
            cause: Cause::Unowned,
        });
    }
    moves
}

pub fn release_of(
    assignment: &Assignment,
    shard: ShardId,
    from: &EndpointName,
    dispatcher: &Session,
) -> ShardReleased {
    ShardReleased {
        service: assignment.service.clone(),
        shard,
        epoch: assignment.shards[&shard].epoch,
        from: from.clone(),
        dispatcher: dispatcher.clone(),
        floor: Wall(0),
    }
}

pub fn owner(assignment: &Assignment, shard: ShardId) -> Option<EndpointName> {
    match &assignment.shards[&shard].ownership {
        Ownership::Owned { owner } => Some(owner.clone()),
        Ownership::Unowned | Ownership::Moving { .. } => None,
    }
}

pub fn owned_by(assignment: &Assignment, endpoint: &str) -> Vec<ShardId> {
    let endpoint = EndpointName::new(endpoint);
    let mut owned = Vec::new();
    for shard in assignment.shards.values() {
        if owner(assignment, shard.id).as_ref() == Some(&endpoint) {
            owned.push(shard.id);
        }
    }
    owned
}

pub fn moving(assignment: &Assignment) -> Vec<ShardId> {
    let mut moving = Vec::new();
    for shard in assignment.shards.values() {
        if matches!(shard.ownership, Ownership::Moving { .. }) {
            moving.push(shard.id);
        }
    }
    moving
}

/// Where a shard moves from.
pub fn moving_from(assignment: &Assignment, shard: ShardId) -> Option<EndpointName> {
    match &assignment.shards[&shard].ownership {
        Ownership::Moving { from, .. } => Some(from.clone()),
        Ownership::Unowned | Ownership::Owned { .. } => None,
    }
}

/// Where a shard moves to.
pub fn moving_to(assignment: &Assignment, shard: ShardId) -> Option<EndpointName> {
    match &assignment.shards[&shard].ownership {
        Ownership::Moving { to, .. } => Some(to.clone()),
        Ownership::Unowned | Ownership::Owned { .. } => None,
    }
}

/// A dispatcher's sign that an idle endpoint answers.
pub fn idle(endpoint: &str) -> EndpointLoad {
    EndpointLoad {
        endpoint: EndpointName::new(endpoint),
        requests: 0,
        service_ms: 5,
        queued: 0,
        draining: false,
        hot: Vec::new(),
        shards: Vec::new(),
    }
}

/// The platform's table service.
#[derive(Debug, Default)]
pub struct Store {
    pub rows: IndexMap<RowKey, Row>,
    last: u64,
}

impl Store {
    pub fn write(&mut self, puts: &[ConditionalPut]) -> WriteOutcome {
        for put in puts {
            let found = self.rows.get(&put.at).map_or(Version(0), |row| row.version);
            if found != put.expected {
                let at = put.at.clone();
                return WriteOutcome::Conflict { at, found };
            }
        }
        let mut versions = Vec::new();
        for put in puts {
            self.last += 1;
            versions.push(Version(self.last));
            let row = Row {
                at: put.at.clone(),
                version: Version(self.last),
                value: put.value.clone(),
            };
            self.rows.insert(put.at.clone(), row);
        }
        WriteOutcome::Done { versions }
    }

    pub fn read(&self, at: &RowKey) -> Option<Row> {
        self.rows.get(at).cloned()
    }

    pub fn table(&self, table: &str) -> Vec<Row> {
        let rows = self.rows.values();
        rows.filter(|row| row.at.table == table).cloned().collect()
    }

    pub fn assignment(&self) -> Option<Assignment> {
        let row = self.read(&at(ASSIGNMENT_TABLE, SERVICE))?;
        serde_json::from_str(&row.value).ok()
    }

    pub fn planner(&self) -> Option<PlannerRow> {
        let row = self.read(&at(PLANNER_TABLE, SERVICE))?;
        serde_json::from_str(&row.value).ok()
    }
}

/// A planner whose requests to the store wait until the test answers them.
#[derive(Debug)]
pub struct Instance {
    pub session: Session,
    pub planner: Planner,
    pub asked: Vec<PlannerAction>,
    pub published: Vec<Row>,
    pub trace: Vec<Record>,
}

impl Instance {
    pub fn new(name: &str, id: u64, settings: PlannerSettings) -> Self {
        let session = Session::new(name, id);
        Self {
            planner: Planner::new(&ServiceName::new(SERVICE), &session, settings),
            session,
            asked: Vec::new(),
            published: Vec::new(),
            trace: Vec::new(),
        }
    }

    pub fn event(&mut self, event: PlannerEvent, now: Now) {
        self.trace.push(Record {
            at: self.session.clone(),
            now,
            event: event.clone(),
        });
        for action in self.planner.apply(event, now) {
            match action {
                PlannerAction::Publish { row } => self.published.push(row),
                PlannerAction::Write { .. } | PlannerAction::ReadRow { .. } => {
                    self.asked.push(action);
                }
            }
        }
    }

    pub fn want(&mut self, wanted: &Wanted, now: Now) {
        let wanted = Box::new(wanted.clone());
        self.event(PlannerEvent::Wanted { wanted }, now);
    }

    pub fn read_dispatch(&mut self, store: &Store, now: Now) {
        let table = "dispatch".to_owned();
        let rows = store.table(&table);
        self.event(PlannerEvent::Table { table, rows }, now);
    }

    /// Answers the oldest request faithfully; returns whether there was one.
    pub fn answer(&mut self, store: &mut Store, now: Now) -> bool {
        if self.asked.is_empty() {
            return false;
        }
        match self.asked.remove(0) {
            PlannerAction::Write { ticket, puts } => {
                let outcome = store.write(&puts);
                self.event(PlannerEvent::WriteDone { ticket, outcome }, now);
            }
            PlannerAction::ReadRow { ticket, at } => {
                let row = store.read(&at);
                self.event(PlannerEvent::RowRead { ticket, row }, now);
            }
            PlannerAction::Publish { .. } => {}
        }
        true
    }

    /// Answers everything faithfully until nothing is asked any more.
    pub fn run(&mut self, store: &mut Store, now: Now) {
        self.event(PlannerEvent::Tick, now);
        while self.answer(store, now) {}
    }

    /// The write that waits for its answer, taken out.
    pub fn take_write(&mut self) -> Option<PendingWrite> {
        let place = self
            .asked
            .iter()
            .position(|action| matches!(action, PlannerAction::Write { .. }))?;
        match self.asked.remove(place) {
            PlannerAction::Write { ticket, puts } => Some(PendingWrite { ticket, puts }),
            PlannerAction::ReadRow { .. } | PlannerAction::Publish { .. } => None,
        }
    }

    pub fn written(&mut self, ticket: u64, outcome: WriteOutcome, now: Now) {
        self.event(PlannerEvent::WriteDone { ticket, outcome }, now);
    }

    /// Has the dispatchers report all shards released that move.
    pub fn release_all(&mut self, store: &Store, now: Now) {
        let Some(assignment) = store.assignment() else {
            return;
        };
        for shard in moving(&assignment) {
            let from = moving_from(&assignment, shard).expect("it moves");
            let report = release_of(&assignment, shard, &from, &dispatcher(store, &from));
            self.event(PlannerEvent::Released { report }, now);
        }
    }

    pub fn lost(&mut self, store: &Store, endpoint: &str, now: Now) {
        let report = lost(store, endpoint);
        self.event(PlannerEvent::Lost { report }, now);
    }
}

#[derive(Debug, Clone)]
pub struct PendingWrite {
    pub ticket: u64,
    pub puts: Vec<ConditionalPut>,
}

pub fn lost(store: &Store, endpoint: &str) -> EndpointLost {
    EndpointLost {
        endpoint: EndpointName::new(endpoint),
        dispatch_epoch: dispatch_row(store, endpoint).map_or(Epoch(1), |row| row.epoch),
        quiet: true,
    }
}

pub fn dispatch_row(store: &Store, endpoint: &str) -> Option<citronway_core::shard::DispatchRow> {
    let row = store.read(&at("dispatch", endpoint))?;
    serde_json::from_str(&row.value).ok()
}

pub fn dispatcher(store: &Store, endpoint: &EndpointName) -> Session {
    dispatch_row(store, endpoint.as_str())
        .map_or_else(|| Session::new("i0", 1), |row| row.dispatcher)
}

/// Runs a planner for `ms`, with dispatchers that release at once.
pub fn pass(instance: &mut Instance, store: &mut Store, from: u64, ms: u64) {
    for tick in 0..ms / 100 {
        let now = now(from + tick * 100);
        instance.run(store, now);
        instance.release_all(store, now);
        instance.run(store, now);
    }
}

/// An instance that is elected and has placed everything.
pub fn started(wanted: &Wanted, settings: PlannerSettings) -> (Instance, Store) {
    let mut store = Store::default();
    let mut instance = Instance::new("i0", 1, settings);
    instance.want(wanted, now(0));
    instance.read_dispatch(&store, now(0));
    for ms in 0..10 {
        instance.run(&mut store, now(ms * 100));
    }
    (instance, store)
}

/// A dispatcher's view of the assignment, which lags behind.
#[derive(Debug, Default)]
pub struct View {
    pub assignment: Option<Assignment>,
    /// Shards that it will not serve again under these epochs.
    pub given_up: IndexMap<ShardId, Epoch>,
}

impl View {
    /// Whether the endpoint's dispatcher lets it run work of the key now.
    ///
    /// Selectors of these tests are prefixes.
    pub fn serves(&self, endpoint: &EndpointName, key: &str) -> bool {
        let Some(assignment) = &self.assignment else {
            return false;
        };
        let Some(group) = group_of(assignment, key) else {
            return false;
        };
        let lookup = Lookup::new(assignment).expect("stored assignments are checked");
        let hash = KeyHash::of(&Key::new(key));
        let Some(shard) = lookup.shard(&group, hash) else {
            return false;
        };
        let barred = self.given_up.get(&shard) == Some(&assignment.shards[&shard].epoch);
        !barred && owner(assignment, shard).as_ref() == Some(endpoint)
    }

    /// Gives up all shards of the endpoint, as when it is lost and quiet.
    pub fn give_up(&mut self, endpoint: &EndpointName) {
        let Some(assignment) = &self.assignment else {
            return;
        };
        for shard in assignment.shards.values() {
            if owner(assignment, shard.id).as_ref() == Some(endpoint) {
                self.given_up.insert(shard.id, shard.epoch);
            }
        }
    }

    /// Reports of all shards that move away from the endpoint or were given up.
    pub fn releases(&self, endpoint: &EndpointName, dispatcher: &Session) -> Vec<ShardReleased> {
        let mut reports = Vec::new();
        let Some(assignment) = &self.assignment else {
            return reports;
        };
        for shard in assignment.shards.values() {
            let owns = owner(assignment, shard.id).as_ref() == Some(endpoint);
            let barred = owns && self.given_up.get(&shard.id) == Some(&shard.epoch);
            if barred || moving_from(assignment, shard.id).as_ref() == Some(endpoint) {
                reports.push(release_of(assignment, shard.id, endpoint, dispatcher));
            }
        }
        reports
    }
}

fn group_of(assignment: &Assignment, key: &str) -> Option<GroupName> {
    for part in &assignment.partition {
        let matches = part
            .keys
            .as_ref()
            .is_none_or(|prefix| key.starts_with(prefix.as_str()));
        if matches {
            return Some(part.group.clone());
        }
    }
    None
}

/// Endpoints that serve the key at this moment, by their dispatchers' views.
pub fn servers(views: &IndexMap<EndpointName, View>, key: &str) -> IndexSet<EndpointName> {
    let mut servers = IndexSet::new();
    for (endpoint, view) in views {
        if view.serves(endpoint, key) {
            servers.insert(endpoint.clone());
        }
    }
    servers
}
