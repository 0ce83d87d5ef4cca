//! How the time of a plan grows with endpoints, and that of a lookup with shards.

use std::hint::black_box;

use citronway_core::config::Weights;
use citronway_core::ids::{EndpointName, GroupName, ServiceName, ShardId, ZoneName};
use citronway_core::placement::loads::Loads;
use citronway_core::placement::members::Standing;
use citronway_core::placement::plan::StandingGroup;
use citronway_core::placement::propose::empty;
use citronway_core::placement::{
    Limits, Lookup, MemberState, PlanInput, WantedGroup, moves, partition, plan,
};
use citronway_core::shard::{Assignment, KeyHash};
use citronway_core::time::Wall;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use indexmap::{IndexMap, IndexSet};

const SHARDS_PER_ENDPOINT: u32 = 8;

/// Odd number that spreads consecutive numbers over the key space.
const STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

struct Scene {
    group: StandingGroup,
    assignment: Assignment,
    loads: Loads,
    resting: IndexSet<ShardId>,
}

impl Scene {
    fn new(endpoints: u32) -> Self {
        let mut members = Vec::new();
        for index in 0..endpoints {
            members.push(Standing {
                endpoint: EndpointName::new(&format!("e{index:04}")),
                zone: ZoneName::new("a"),
                slots: 6,
                state: MemberState::Live,
                usable: 100,
                losses: 0,
            });
        }
        Self {
            group: StandingGroup {
                group: GroupName::new("all"),
                members,
            },
            assignment: unowned(endpoints * SHARDS_PER_ENDPOINT),
            loads: Loads::default(),
            resting: IndexSet::new(),
        }
    }

    fn plan(&self) -> citronway_core::placement::Plan {
        plan(&PlanInput {
            assignment: &self.assignment,
            groups: std::slice::from_ref(&self.group),
            loads: &self.loads,
            weights: Weights::default(),
            limits: Limits::default(),
            move_ms: 100,
            resting: &self.resting,
        })
    }

    fn placed(mut self) -> Self {
        let plan = self.plan();
        self.assignment = moves::apply(&self.assignment, &plan).expect("it fits");
        self
    }
}

fn unowned(shards: u32) -> Assignment {
    let group = WantedGroup {
        group: GroupName::new("all"),
        keys: None,
        shards,
        members: Vec::new(),
    };
    let none = empty(&ServiceName::new("migration"));
    partition::swap(&none, &[group], &IndexMap::new(), Wall(0)).expect("nothing to release")
}

fn plans(c: &mut Criterion) {
    let mut group = c.benchmark_group("plan");
    group.sample_size(20);
    for endpoints in [30, 300, 3_000] {
        let first = Scene::new(endpoints);
        group.bench_function(BenchmarkId::new("first", endpoints), |b| {
            b.iter(|| black_box(first.plan()));
        });
        let rest = Scene::new(endpoints).placed();
        group.bench_function(BenchmarkId::new("at_rest", endpoints), |b| {
            b.iter(|| black_box(rest.plan()));
        });
        let mut loss = Scene::new(endpoints).placed();
        loss.group.members[7].state = MemberState::Lost;
        group.bench_function(BenchmarkId::new("one_lost", endpoints), |b| {
            b.iter(|| black_box(loss.plan()));
        });
        let mut back = Scene::new(endpoints).placed();
        let idle = back.group.members[7].clone();
        back.group.members.push(Standing {
            endpoint: EndpointName::new("e9999"),
            ..idle
        });
        group.bench_function(BenchmarkId::new("one_joins", endpoints), |b| {
            b.iter(|| black_box(back.plan()));
        });
    }
    group.finish();
}

fn lookups(c: &mut Criterion) {
    let mut group = c.benchmark_group("lookup");
    for shards in [256, 2_560, 25_600, 256_000] {
        let assignment = unowned(shards);
        let lookup = Lookup::new(&assignment).expect("covered");
        let name = GroupName::new("all");
        let mut hash = 0_u64;
        group.bench_function(BenchmarkId::new("shard", shards), |b| {
            b.iter(|| {
                hash = hash.wrapping_add(STRIDE);
                black_box(lookup.shard(&name, KeyHash(hash)))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, plans, lookups);
criterion_main!(benches);
