//! Hot keys: when they get their own shard, where it goes, when it is folded back.

mod placement_support;

use citronway_core::ids::{EndpointName, GroupName, ServiceName, ShardId};
use citronway_core::peer::{EndpointLoad, HotKey, ShardLoad};
use citronway_core::placement::loads::Loads;
use citronway_core::placement::{Cause, Limits, MemberState, Move, Plan, PlanInput, hot, plan};
use citronway_core::shard::{Assignment, KeyHash};
use citronway_core::time::Mono;
use googletest::prelude::*;
use indexmap::IndexSet;
use placement_support::traffic::*;
use placement_support::*;

/// Six endpoints with a third of their slots busy; no key stands out.
const CALM: Size = Size {
    endpoints: 6,
    slots: 6,
    shards: 24,
    keys: 200,
    service_ms: 100.0,
    utilisation: 0.3,
    weights: EVEN,
};

const SEED: u64 = 3;

/// Requests a second of a key that keeps one and a half slots busy.
const HOT_RATE: f64 = 15.0;

/// A hash in the first range.
const HASH: KeyHash = KeyHash(99);

/// A mill asks for one certificate all day, then stops asking at all. While the
/// key is hot its neighbours must not wait behind it, and afterwards its own
/// shard has to go, or every key that was ever hot would keep one.
#[gtest]
fn a_key_that_gets_hot_is_split_off_and_folded_back() {
    let mut traffic = Traffic::new(CALM, SEED);
    traffic.pass(60);
    expect_that!(traffic.assignment().hot, is_empty());
    let calm = std::mem::replace(&mut traffic.sources[5].rate, HOT_RATE);
    traffic.pass(60);
    let hot = traffic.assignment().hot;
    expect_that!(hot.len(), eq(1));
    expect_that!(hot[0].hash, eq(traffic.sources[5].hash));
    traffic.sources[5].rate = 0.0;
    traffic.pass(180);
    expect_that!(traffic.assignment().hot, is_empty());
    traffic.sources[5].rate = calm;
    expect_that!(traffic.pass(60).moves, eq(0));
}

/// A key keeps four endpoints' worth of slots busy, more than any endpoint has.
/// Moving it would only carry the trouble along and touch it once more, so its
/// shard stays and its neighbours leave.
#[gtest]
fn a_key_too_hot_for_any_endpoint_stays_where_it_is() {
    let mut scene = Scene::new();
    scene.split();
    let own = scene.assignment.hot[0].shard;
    let with = owner(&scene.assignment, own);
    scene.loads.set(own, 24_000);
    for _ in 0..20 {
        let moves = scene.plan(&IndexSet::new()).moves;
        scene.assignment = carry_out(&scene.assignment, &moves);
    }
    expect_that!(owner(&scene.assignment, own), eq(&with));
    let its = owned_by(&scene.assignment, with.expect("owned").as_str());
    expect_that!(its, elements_are![eq(&own)]);
}

/// A key's load goes up and down around the threshold. Split off and folded
/// back each time, it would cost two writes of the assignment a second.
#[gtest]
fn a_key_around_the_threshold_keeps_what_it_has() {
    let mut scene = Scene::new();
    scene.loads.set(ShardId(1), 400);
    scene.loads.set_key(HASH, 199, Mono(0));
    expect_that!(scene.plan(&IndexSet::new()).splits, is_empty());
    scene.loads.set_key(HASH, 200, Mono(0));
    expect_that!(scene.plan(&IndexSet::new()).splits.len(), eq(1));
    scene.split();
    let own = scene.assignment.hot[0].shard;
    scene.loads.set(own, 0);
    scene.loads.set_key(HASH, 50, Mono(0));
    expect_that!(scene.plan(&IndexSet::new()).folds, is_empty());
    scene.loads.set_key(HASH, 49, Mono(0));
    expect_that!(scene.plan(&IndexSet::new()).folds, elements_are![eq(&own)]);
}

/// Two requests of one key come within a second, by chance, on a quiet morning.
/// By the count of that second the key keeps a fifth of a slot busy.
#[gtest]
fn two_requests_make_no_hot_key() {
    let mut scene = Scene::new();
    let service = ServiceName::new(SERVICE);
    scene.loads.report(&service, &idle("e00"), Mono(0));
    scene.loads.report(&service, &requests(2), Mono(1_000));
    expect_that!(scene.loads.of_key(HASH), eq(200));
    expect_that!(scene.plan(&IndexSet::new()).splits, is_empty());
    for second in 2..12 {
        let now = Mono(second * 1_000);
        scene.loads.report(&service, &requests(5), now);
    }
    expect_that!(scene.plan(&IndexSet::new()).splits.len(), eq(1));
}

/// A hot key is split off. If its load went on counting for the range it came
/// from, other keys would leave that endpoint for nothing.
#[gtest]
fn load_of_a_key_goes_with_it_and_comes_back() {
    let mut scene = Scene::new();
    scene.loads.learn(&scene.assignment);
    scene.loads.set(ShardId(1), 1_000);
    scene.loads.set_key(HASH, 900, Mono(0));
    let whole = scene.loads.of(ShardId(1));
    scene.split();
    scene.loads.learn(&scene.assignment);
    let own = scene.assignment.hot[0].shard;
    expect_that!(scene.loads.of(ShardId(1)), eq(whole - 900));
    expect_that!(scene.loads.of(own), eq(910));
    let folded = hot::fold(&scene.assignment, own).expect("folds");
    scene.loads.learn(&folded);
    expect_that!(scene.loads.of(ShardId(1)), eq(whole));
}

/// Shards that moved a moment ago are moved again as soon as the next figures
/// come in; users of their keys wait twice. They rest, unless their endpoint goes.
#[gtest]
fn a_resting_shard_moves_only_if_it_has_to() {
    let mut scene = Scene::new();
    let all: IndexSet<ShardId> = scene.assignment.shards.keys().copied().collect();
    for shard in owned_by(&scene.assignment, "e00") {
        scene.loads.set(shard, 1_000);
    }
    expect_that!(scene.plan(&IndexSet::new()).moves, not(is_empty()));
    expect_that!(scene.plan(&all), eq(&Plan::default()));
    scene.state = MemberState::Lost;
    let moves = scene.plan(&all).moves;
    expect_that!(moves.len(), eq(4));
    expect_that!(moves[0].cause, eq(Cause::Lost));
}

/// A cooled key's shard was moved a moment ago. It rests before it goes home,
/// its range waits for it, and folding it at home moves no key and waits for nothing.
#[gtest]
fn a_resting_cooled_key_is_awaited_at_home() {
    let mut scene = Scene::new();
    scene.split();
    let own = scene.assignment.hot[0].shard;
    let resting = IndexSet::from([own]);
    expect_that!(scene.plan(&resting).folds, elements_are![eq(&own)]);
    let home = owner(&scene.assignment, own).expect("owned");
    let away = Move {
        shard: own,
        from: Some(home.clone()),
        to: EndpointName::new("e05"),
        cause: Cause::Balance,
    };
    scene.assignment = carry_out(&scene.assignment, &[away]);
    // The range would be the first to leave: it is all that its endpoint has to
    // give to others.
    scene.loads.set(ShardId(1), 500);
    for shard in owned_by(&scene.assignment, home.as_str()) {
        scene.loads.set(shard, 500);
    }
    let moved: Vec<ShardId> = scene
        .plan(&resting)
        .moves
        .iter()
        .map(|it| it.shard)
        .collect();
    expect_that!(moved, not(contains(eq(&own))));
    expect_that!(moved, not(contains(eq(&ShardId(1)))));
    let moves = scene.plan(&IndexSet::new()).moves;
    expect_that!(moves[0].shard, eq(own));
    expect_that!(moves[0].cause, eq(Cause::Cooled));
    expect_that!(moves[0].to, eq(&home));
}

/// 24 shards over six endpoints.
struct Scene {
    assignment: Assignment,
    loads: Loads,
    /// State of `e00`.
    state: MemberState,
}

impl Scene {
    fn new() -> Self {
        let group = group(GROUP, None, 24, members(6));
        let mut scene = Self {
            assignment: unowned(std::slice::from_ref(&group)),
            loads: Loads::default(),
            state: MemberState::Live,
        };
        let moves = scene.plan(&IndexSet::new()).moves;
        scene.assignment = carry_out(&scene.assignment, &moves);
        scene
    }

    fn plan(&self, resting: &IndexSet<ShardId>) -> Plan {
        let mut group = group(GROUP, None, 24, members(6));
        group.members[0].state = self.state;
        plan(&PlanInput {
            assignment: &self.assignment,
            groups: &[settled(&group)],
            loads: &self.loads,
            weights: EVEN,
            limits: Limits::default(),
            move_ms: 100,
            resting,
        })
    }

    fn split(&mut self) {
        let group = GroupName::new(GROUP);
        self.assignment = hot::split(&self.assignment, &group, HASH).expect("splits");
    }
}

/// A report of requests of the one key, 100 ms each.
fn requests(requests: u64) -> EndpointLoad {
    let service = ServiceName::new(SERVICE);
    EndpointLoad {
        requests,
        service_ms: 100,
        hot: vec![HotKey {
            service: service.clone(),
            hash: HASH,
            requests,
        }],
        shards: vec![ShardLoad {
            service,
            shard: ShardId(1),
            requests,
        }],
        ..idle("e00")
    }
}
