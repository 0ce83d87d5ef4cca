//! Reports and sums in large fleets, without a network: who tells whom, how often, and how
//! soon all are told again after losses.

mod tree_world;

use citronway_core::gateway::crashes::Fingerprint;
use citronway_core::gateway::tree::Role;
use googletest::prelude::*;

use tree_world::{Link, World};

/// Longest time without sums in a calm fleet, in milliseconds: two of the leader's turns.
const CALM_MS: u64 = 500;

/// Silence from which a leader is replaced, in milliseconds.
const LEADER_SILENT_MS: u64 = 1_000;

/// Time after the third crash in which all instances are to know it, in milliseconds.
const KNOWN_WITHIN_MS: u64 = 3_000;

const HARMFUL: Fingerprint = Fingerprint(7);

#[gtest]
fn all_are_told_and_heard_within_a_second_of_a_start() {
    for instances in [30, 100, 300] {
        let mut world = World::new(instances, 1);
        world.run(1_000);
        expect_that!(world.longest_untold_ms(), lt(CALM_MS), "{instances}");
        expect_that!(world.heard(), eq(instances - 1), "{instances}");
    }
}

/// 295 instances told all others of their requests each 0.6 s: 490 datagrams a second came
/// to each, and the fleet sent 145,000. A member's cost must not grow with the fleet, and
/// the leader's and a delegate's by the square root at most.
#[gtest]
fn what_an_instance_sends_and_gets_does_not_grow_with_the_square() {
    let costs = [30, 300, 3_000].map(|instances| {
        let mut world = World::new(instances, 2);
        world.run(2_000);
        world.reset_counts();
        world.run(2_000);
        let a_second = |count: usize| count as f64 / 2.0;
        let member = a_second(world.most_of_a_member());
        let root = f64::from(u32::try_from(instances).unwrap()).sqrt();
        let delegate = a_second(world.most_of_a_delegate()) / root;
        let leader = a_second(world.of_the_leader()) / root;
        (member, delegate, leader)
    });
    for (member, delegate, leader) in costs {
        // Five reports and five sums.
        expect_that!(member, le(11.0));
        // For each member five reports and five sums; ten reports and five sums of its own.
        expect_that!(delegate, le(25.0));
        expect_that!(leader, le(25.0));
    }
}

/// A delegate loses power. Its members hear nothing, would take the leader for silent after
/// a second, and hundreds of them would claim its duty.
#[gtest]
fn members_of_a_lost_delegate_are_told_before_they_take_the_leader_for_lost() {
    for seed in 0..20 {
        let mut world = World::new(300, seed);
        world.run(2_000);
        let delegate = world.a_delegate();
        world.kill(delegate);
        let worst = world.worst_untold_ms(3_000, &[delegate]);
        expect_that!(worst, lt(LEADER_SILENT_MS), "seed {seed}");
        expect_that!(world.heard(), eq(298), "seed {seed}");
    }
}

/// What a delegate sends to its members gets lost, and nothing else does. To the leader all
/// seems well but for reports that no longer come.
#[gtest]
fn members_that_a_delegate_does_not_reach_are_told_through_another() {
    let mut world = World::new(300, 4);
    world.run(2_000);
    let delegate = world.a_delegate();
    let members = world.members_of(delegate);
    for member in &members {
        world.cut(Link {
            from: delegate,
            to: *member,
        });
    }
    world.run(4_000);
    expect_that!(world.longest_untold_ms(), lt(LEADER_SILENT_MS));
    for member in members {
        expect_that!(world.role(member), not(eq(Role::Alone)));
    }
}

/// Half of all instances are killed at once and come back after two seconds.
#[gtest]
fn all_are_told_again_after_half_of_them_were_killed() {
    for seed in 0..5 {
        let mut world = World::new(300, seed);
        world.run(2_000);
        let killed: Vec<_> = (1..300).filter(|i| i % 2 == 0).collect();
        for instance in &killed {
            world.kill(*instance);
        }
        world.run(2_000);
        expect_that!(
            world.longest_untold_ms(),
            lt(LEADER_SILENT_MS),
            "seed {seed}"
        );
        for instance in &killed {
            world.start(*instance);
        }
        // The last call of a silent one was up to two seconds ago.
        world.run(2_500);
        expect_that!(world.longest_untold_ms(), lt(CALM_MS), "seed {seed}");
        expect_that!(world.heard(), eq(299), "seed {seed}");
    }
}

/// One in forty datagrams is lost, in all zones.
#[gtest]
fn lost_datagrams_leave_nobody_untold_for_long() {
    let mut world = World::new(300, 5);
    world.lose(0.025);
    world.run(1_000);
    let worst = world.worst_untold_ms(10_000, &[]);
    expect_that!(worst, lt(LEADER_SILENT_MS + CALM_MS));
}

/// Instances leave one after the other, and others come: no delegate sums up for many more
/// than the square root of all.
#[gtest]
fn groups_stay_balanced_while_instances_come_and_go() {
    let mut world = World::new(300, 6);
    world.run(2_000);
    for round in 0..60 {
        let one = 1 + (round * 37) % 299;
        world.kill(one);
        world.run(400);
        world.start(one);
        world.run(200);
    }
    world.run(3_000);
    expect_that!(world.heard(), eq(299));
    expect_that!(world.largest_group(), le(27));
    expect_that!(world.groups(), all!(ge(15), le(60)));
}

/// Work crashes three endpoints, each time from another instance of a large fleet; one in forty
/// datagrams is lost, and the delegate that was told last loses power. All others, who have seen
/// none of the crashes, would send it on.
#[gtest]
fn all_of_a_large_fleet_refuse_work_in_time_that_crashed_three_endpoints() {
    for seed in 0..10 {
        let mut world = World::new(300, seed);
        world.lose(0.025);
        world.run(2_000);
        for endpoint in 0..3 {
            let delegate = world.a_delegate();
            world.crash(world.members_of(delegate)[0], HARMFUL, endpoint);
            if endpoint == 2 {
                world.run(50);
                world.kill(delegate);
            } else {
                world.run(1_000);
            }
        }
        world.run(KNOWN_WITHIN_MS);
        expect_that!(world.sending(HARMFUL), eq(0), "seed {seed}");
    }
}
