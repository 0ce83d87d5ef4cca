//! Which shards move, how many, and where to.

mod placement_support;

use citronway_core::config::Weights;
use citronway_core::ids::{EndpointName, GroupName, ShardId};
use citronway_core::placement::hot;
use citronway_core::placement::loads::Loads;
use citronway_core::placement::measures::{churn, imbalance};
use citronway_core::placement::plan::StandingGroup;
use citronway_core::placement::{
    Cause, Limits, MemberState, Move, Plan, PlanInput, WantedGroup, plan,
};
use citronway_core::shard::{Assignment, KeyHash};
use citronway_core::time::Mono;
use googletest::prelude::*;
use indexmap::IndexSet;
use placement_support::*;
use proptest::prelude::{Strategy, prop_assert, prop_assert_eq};

const QUICK_MS: u64 = 100;
const SLOW_MS: u64 = 60_000;

struct Scene {
    group: WantedGroup,
    standing: StandingGroup,
    assignment: Assignment,
    loads: Loads,
    weights: Weights,
    move_ms: u64,
}

impl Scene {
    /// All shards placed over `count` endpoints.
    fn placed(count: usize, shards: u32) -> Self {
        let group = group(GROUP, None, shards, members(count));
        let mut scene = Self {
            standing: settled(&group),
            assignment: unowned(std::slice::from_ref(&group)),
            group,
            loads: Loads::default(),
            weights: EVEN,
            move_ms: QUICK_MS,
        };
        scene.carry_out();
        scene
    }

    fn plan(&self) -> Plan {
        plan(&PlanInput {
            assignment: &self.assignment,
            groups: std::slice::from_ref(&self.standing),
            loads: &self.loads,
            weights: self.weights,
            limits: Limits::default(),
            move_ms: self.move_ms,
            resting: &IndexSet::new(),
        })
    }

    /// Plans and moves once.
    fn carry_out(&mut self) -> Plan {
        let plan = self.plan();
        self.assignment = carry_out(&self.assignment, &plan.moves);
        plan
    }

    /// Plans and moves until nothing pays any more; returns the moves.
    fn settle(&mut self) -> Vec<Move> {
        let mut all = Vec::new();
        for _ in 0..200 {
            let plan = self.carry_out();
            if plan.moves.is_empty() {
                return all;
            }
            all.extend(plan.moves);
        }
        panic!("the plan never comes to rest");
    }

    fn set(&mut self, index: usize, state: MemberState) {
        self.group.members[index].state = state;
        self.standing = settled(&self.group);
    }

    fn variation(&self) -> f64 {
        imbalance(&self.assignment, &self.standing, &self.loads).variation
    }

    fn owned(&self, endpoint: &str) -> Vec<ShardId> {
        owned_by(&self.assignment, endpoint)
    }
}

#[gtest]
fn a_first_assignment_follows_capacity() {
    let mut group = group(GROUP, None, 300, members(3));
    group.members[0].slots = 2;
    group.members[1].slots = 4;
    let mut scene = Scene::placed(3, 3);
    scene.standing = settled(&group);
    scene.assignment = unowned(&[group]);
    scene.carry_out();
    expect_that!(scene.owned("e00").len(), eq(50));
    expect_that!(scene.owned("e01").len(), eq(100));
    expect_that!(scene.owned("e02").len(), eq(150));
}

#[gtest]
fn after_a_loss_only_its_keys_move_and_spread_over_the_rest() {
    let mut scene = Scene::placed(30, 256);
    let its = scene.owned("e07");
    let before = scene.assignment.clone();
    scene.set(7, MemberState::Lost);
    let moves = scene.settle();
    let mut moved: Vec<ShardId> = moves.iter().map(|step| step.shard).collect();
    moved.sort();
    expect_that!(moved, eq(&its));
    expect_that!(
        churn(&before, &scene.assignment).keys,
        lt(its.len() as f64 / 256.0 + 0.02)
    );
    let targets: IndexSet<EndpointName> = moves.into_iter().map(|step| step.to).collect();
    expect_that!(targets.len(), eq(its.len()));
    expect_that!(scene.variation(), lt(0.1));
}

/// A zone of ten endpoints drains. Only so many shards may be in motion at
/// once, or a third of all keys would stand still together.
#[gtest]
fn moves_of_a_draining_zone_are_bounded() {
    let mut scene = Scene::placed(30, 256);
    for index in (0..30).step_by(3) {
        scene.set(index, MemberState::Draining);
    }
    expect_that!(scene.plan().moves.len(), eq(16));
    scene.settle();
    for index in (0..30).step_by(3) {
        expect_that!(scene.owned(&format!("e{index:02}")), is_empty());
    }
}

/// Shards of lost endpoints are not served anyway; making them wait for their
/// turn would only prolong the outage.
#[gtest]
fn shards_of_a_lost_zone_do_not_wait_for_each_other() {
    let mut scene = Scene::placed(30, 256);
    let mut lost = 0;
    for index in (0..30).step_by(3) {
        lost += scene.owned(&format!("e{index:02}")).len();
        scene.set(index, MemberState::Lost);
    }
    let moves = scene.plan().moves;
    expect_that!(moves.len(), eq(lost));
    expect_that!(
        moves
            .iter()
            .filter(|step| step.cause != Cause::Lost)
            .count(),
        eq(0)
    );
}

#[gtest]
fn nobody_left_leaves_the_assignment_as_it_is() {
    let mut scene = Scene::placed(2, 8);
    scene.set(0, MemberState::Lost);
    scene.set(1, MemberState::Lost);
    expect_that!(scene.plan(), eq(&Plan::default()));
}

/// Both customers lose an endpoint and get it back empty. Each move touches a
/// migration in progress at Migrakon, so it takes fewer moves and less even load.
#[gtest]
fn dear_churn_takes_fewer_moves_and_less_balance() {
    let even = returned(EVEN, QUICK_MS);
    let migrakon = returned(MIGRAKON, QUICK_MS);
    let vatuwaqa = returned(VATUWAQA, QUICK_MS);
    expect_that!(migrakon.moves, lt(even.moves));
    expect_that!(migrakon.variation, gt(even.variation));
    expect_that!(vatuwaqa.moves, eq(even.moves));
}

/// The same, with work in flight that holds each move up for a minute. Now each
/// move costs Vatuwaqa a minute in which a certificate cannot be had.
#[gtest]
fn dear_unavailable_time_takes_fewer_slow_moves() {
    let quick = returned(VATUWAQA, QUICK_MS);
    let slow = returned(VATUWAQA, SLOW_MS);
    expect_that!(slow.moves, lt(quick.moves));
    expect_that!(slow.moves, lt(returned(EVEN, SLOW_MS).moves));
}

struct Returned {
    moves: usize,
    variation: f64,
}

fn returned(weights: Weights, move_ms: u64) -> Returned {
    let mut scene = Scene::placed(30, 256);
    scene.weights = weights;
    scene.move_ms = move_ms;
    scene.set(7, MemberState::Lost);
    scene.settle();
    scene.set(7, MemberState::Live);
    let moves = scene.settle().len();
    Returned {
        moves,
        variation: scene.variation(),
    }
}

#[gtest]
fn an_endpoint_that_was_lost_often_gets_less() {
    let shards = |losses| {
        let mut scene = Scene::placed(30, 256);
        scene.set(7, MemberState::Lost);
        scene.settle();
        scene.set(7, MemberState::Live);
        scene.standing.members[7].losses = losses;
        scene.settle();
        scene.owned("e07").len()
    };
    expect_that!(shards(6), lt(shards(0)));
}

#[gtest]
fn a_hot_key_gets_its_own_shard_and_its_neighbours_leave() {
    let mut scene = Scene::placed(6, 24);
    let hash = KeyHash(99);
    scene.loads.set(ShardId(1), 4_000);
    scene.loads.set_key(hash, 3_900, Mono(0));
    let plan = scene.plan();
    expect_that!(plan.splits.len(), eq(1));
    expect_that!(
        plan.moves
            .iter()
            .filter(|step| step.shard == ShardId(1))
            .count(),
        eq(0)
    );
    let group = GroupName::new(GROUP);
    scene.assignment = hot::split(&scene.assignment, &group, hash).expect("splits");
    let own = scene.assignment.hot[0].shard;
    scene.loads.set(ShardId(1), 100);
    scene.loads.set(own, 3_900);
    let with = owner(&scene.assignment, own).expect("owned");
    scene.settle();
    expect_that!(owned_by(&scene.assignment, with.as_str()).len(), eq(1));
    expect_that!(scene.plan().folds, is_empty());
}

#[gtest]
fn a_cooled_key_goes_home_and_is_folded_back() {
    let mut scene = Scene::placed(6, 24);
    let group = GroupName::new(GROUP);
    scene.assignment = hot::split(&scene.assignment, &group, KeyHash(99)).expect("splits");
    let own = scene.assignment.hot[0].shard;
    let away = Move {
        shard: own,
        from: owner(&scene.assignment, own),
        to: EndpointName::new("e05"),
        cause: Cause::Balance,
    };
    scene.assignment = carry_out(&scene.assignment, &[away]);
    let home = scene.carry_out();
    expect_that!(home.moves[0].cause, eq(Cause::Cooled));
    expect_that!(scene.plan().folds, elements_are![eq(&own)]);
}

#[test]
fn any_plan_is_bounded_and_the_same_in_any_order_of_members() {
    let states = proptest::collection::vec(0..4_usize, 2..24);
    let loads = proptest::collection::vec(0..3_000_u64, 64);
    let turn = 0..24_usize;
    let input = (states, loads, turn).prop_map(|(states, loads, turn)| Random {
        states,
        loads,
        turn,
    });
    let result = runner(200, 5).run(&input, |random| {
        let mut scene = Scene::placed(random.states.len(), 64);
        for (index, load) in random.loads.iter().enumerate() {
            scene.loads.set(ShardId(index as u64 + 1), *load);
        }
        for (index, state) in random.states.iter().enumerate() {
            scene.set(index, STATES[*state]);
        }
        let first = scene.plan();
        let served = first.moves.iter().filter(|step| step.cause != Cause::Lost);
        prop_assert!(served.count() <= 16);
        check_targets(&scene, &first)?;
        let turns = random.turn % random.states.len();
        scene.standing.members.rotate_left(turns);
        prop_assert_eq!(scene.plan(), first);
        Ok(())
    });
    assert_eq!(result, Ok(()));
}

const STATES: [MemberState; 4] = [
    MemberState::Live,
    MemberState::Cold,
    MemberState::Draining,
    MemberState::Lost,
];

#[derive(Debug, Clone, PartialEq)]
struct Random {
    states: Vec<usize>,
    loads: Vec<u64>,
    turn: usize,
}

/// No endpoint that gets a shard ends above its fair share by more than the
/// heaviest shard; none that leaves gets any.
fn check_targets(
    scene: &Scene,
    plan: &Plan,
) -> std::result::Result<(), proptest::test_runner::TestCaseError> {
    let after = carry_out(&scene.assignment, &plan.moves);
    let mut total = 0;
    let mut heaviest = 0;
    for shard in after.shards.keys() {
        total += scene.loads.of(*shard);
        heaviest = heaviest.max(scene.loads.of(*shard));
    }
    let taking = scene
        .standing
        .members
        .iter()
        .filter(|member| member.state.takes_shards());
    let fair = total / (taking.count().max(1) as u64);
    for step in &plan.moves {
        let member = scene
            .standing
            .members
            .iter()
            .find(|member| member.endpoint == step.to);
        prop_assert!(member.is_some_and(|member| member.state.takes_shards()));
        let owned = owned_by(&after, step.to.as_str());
        let load: u64 = owned.iter().map(|shard| scene.loads.of(*shard)).sum();
        prop_assert!(
            load <= fair + heaviest,
            "{} has {load}, fair is {fair}",
            step.to
        );
    }
    Ok(())
}
