//! The reporting tree of large fleets in a simulated network: number of messages, and time without
//! totals after failures.

mod tree_world;

use citronway_core::gateway::crashes::Fingerprint;
use citronway_core::gateway::tree::Role;
use googletest::prelude::*;

use tree_world::{Link, World};

/// Longest time without totals in a fleet without failures, in milliseconds: two intervals.
const CALM_MS: u64 = 500;

/// Silence after which a leader is replaced, in milliseconds.
const LEADER_SILENT_MS: u64 = 1_000;

/// Time after the third crash by which all instances must know of it, in milliseconds.
const KNOWN_WITHIN_MS: u64 = 3_000;

const HARMFUL: Fingerprint = Fingerprint(7);

#[gtest]
fn all_instances_get_totals_and_report_within_a_second_of_a_start() {
    for instances in [30, 100, 300] {
        let mut world = World::new(instances, 1);
        world.run(1_000);
        expect_that!(
            world.longest_without_totals_ms(),
            lt(CALM_MS),
            "{instances}"
        );
        expect_that!(
            world.reporting_instances(),
            eq(instances - 1),
            "{instances}"
        );
    }
}

/// Guards against traffic that grows with the square of the fleet: with reports of 295 instances to
/// all others every 0.6 s, each receives 490 datagrams a second and the fleet sends 145,000. The
/// traffic of a member must not grow with the fleet, and that of the leader and of a delegate at
/// most with its square root.
#[gtest]
fn what_an_instance_sends_and_gets_does_not_grow_with_the_square() {
    let costs = [30, 300, 3_000].map(|instances| {
        let mut world = World::new(instances, 2);
        world.run(2_000);
        world.reset_counts();
        world.run(2_000);
        let per_second = |count: usize| count as f64 / 2.0;
        let member = per_second(world.max_count_of_members());
        let root = f64::from(u32::try_from(instances).unwrap()).sqrt();
        let delegate = per_second(world.max_count_of_delegates()) / root;
        let leader = per_second(world.leader_count()) / root;
        (member, delegate, leader)
    });
    for (member, delegate, leader) in costs {
        // Five reports and five totals.
        expect_that!(member, le(11.0));
        // Five reports and five totals for each member, and its own ten reports and five totals.
        expect_that!(delegate, le(25.0));
        expect_that!(leader, le(25.0));
    }
}

/// Guards against claims of leadership by the members of a delegate that loses power: they receive
/// nothing and would consider the leader silent after a second.
#[gtest]
fn members_of_a_lost_delegate_get_totals_before_they_consider_the_leader_lost() {
    for seed in 0..20 {
        let mut world = World::new(300, seed);
        world.run(2_000);
        let delegate = world.largest_delegate();
        world.kill(delegate);
        let worst = world.worst_without_totals_ms(3_000, &[delegate]);
        expect_that!(worst, lt(LEADER_SILENT_MS), "seed {seed}");
        expect_that!(world.reporting_instances(), eq(298), "seed {seed}");
    }
}

/// All messages from a delegate to its members are lost, and no others. The leader notices only
/// that the members' reports stop.
#[gtest]
fn members_that_a_delegate_does_not_reach_get_totals_through_another() {
    let mut world = World::new(300, 4);
    world.run(2_000);
    let delegate = world.largest_delegate();
    let members = world.members_of(delegate);
    for member in &members {
        world.cut(Link {
            from: delegate,
            to: *member,
        });
    }
    world.run(4_000);
    expect_that!(world.longest_without_totals_ms(), lt(LEADER_SILENT_MS));
    for member in members {
        expect_that!(world.role(member), not(eq(Role::Alone)));
    }
}

/// Half of all instances are killed at once and come back after two seconds.
#[gtest]
fn all_instances_get_totals_again_after_half_of_them_were_killed() {
    for seed in 0..5 {
        let mut world = World::new(300, seed);
        world.run(2_000);
        let killed: Vec<_> = (1..300).filter(|i| i % 2 == 0).collect();
        for instance in &killed {
            world.kill(*instance);
        }
        world.run(2_000);
        expect_that!(
            world.longest_without_totals_ms(),
            lt(LEADER_SILENT_MS),
            "seed {seed}"
        );
        for instance in &killed {
            world.start(*instance);
        }
        // The last probe of a silent instance was up to two seconds ago.
        world.run(2_500);
        expect_that!(
            world.longest_without_totals_ms(),
            lt(CALM_MS),
            "seed {seed}"
        );
        expect_that!(world.reporting_instances(), eq(299), "seed {seed}");
    }
}

/// One in forty datagrams is lost, in all zones.
#[gtest]
fn lost_datagrams_leave_no_instance_without_totals_for_long() {
    let mut world = World::new(300, 5);
    world.lose(0.025);
    world.run(1_000);
    let worst = world.worst_without_totals_ms(10_000, &[]);
    expect_that!(worst, lt(LEADER_SILENT_MS + CALM_MS));
}

/// Instances stop and start one after the other. No group becomes much larger than the square root
/// of the fleet size.
#[gtest]
fn groups_stay_balanced_while_instances_come_and_go() {
    let mut world = World::new(300, 6);
    world.run(2_000);
    for round in 0..60 {
        let instance = 1 + (round * 37) % 299;
        world.kill(instance);
        world.run(400);
        world.start(instance);
        world.run(200);
    }
    world.run(3_000);
    expect_that!(world.reporting_instances(), eq(299));
    expect_that!(world.largest_group(), le(27));
    expect_that!(world.groups(), all!(ge(15), le(60)));
}

/// Guards against instances that go on sending a request that has crashed three endpoints. Each
/// crash is seen by a different instance of a large fleet, one in forty datagrams is lost, and the
/// delegate of the last instance loses power.
#[gtest]
fn all_of_a_large_fleet_refuse_work_in_time_that_crashed_three_endpoints() {
    for seed in 0..10 {
        let mut world = World::new(300, seed);
        world.lose(0.025);
        world.run(2_000);
        for endpoint in 0..3 {
            let delegate = world.largest_delegate();
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
