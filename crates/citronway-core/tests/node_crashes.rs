//! Work that crashes endpoints, on the request path through dispatchers.

mod node_world;

use googletest::prelude::*;
use node_world::faults::Fault;
use node_world::{ENDPOINTS, INSTANCES, World, calls};

/// Seeds of the runs.
const SEEDS: std::ops::Range<u64> = 1..9;

/// Crashes after which work is known to be harmful, and sends that are allowed after that.
const KNOWN_AFTER: usize = 3;
const ALLOWED_AFTER: usize = 3;

/// Copies at each instance in a round, and time between two rounds, in milliseconds.
const COPIES: usize = 3;
const ROUND_MS: u64 = 4_000;

/// Time in which no endpoint answers and copies gather, in milliseconds.
const DOWN_MS: u64 = 500;

/// Guards against copies that wait for an endpoint and reach it in the same moment.
#[gtest]
fn copies_of_a_lookup_that_crashes_endpoints_are_not_sent_together() {
    for seed in SEEDS {
        let mut world = World::new(seed);
        world.harmful = Some(calls::key(3));
        let mut ended = Vec::new();
        for _ in 0..10 {
            for endpoint in 0..ENDPOINTS {
                let down_ms = DOWN_MS;
                world.fault(&Fault::Restart { endpoint, down_ms });
            }
            for copy in 0..INSTANCES * COPIES {
                world.same_lookup(copy % INSTANCES, 3);
            }
            let before = world.crashes;
            world.run_for(ROUND_MS);
            ended.push(world.crashes - before);
        }
        let mut all = 0;
        let known = ended.iter().position(|ends| {
            all += ends;
            all >= KNOWN_AFTER
        });
        println!("ENDS {seed} {ended:?}");
        println!("ENDS {seed} {ended:?}");
        let known = known.expect("it has crashed three endpoints");
        let after: usize = ended[known + 1..].iter().sum();
        expect_that!(after, le(ALLOWED_AFTER), "seed {seed}: {ended:?}");
    }
}

/// Guards against other work that is refused beside work that crashes endpoints.
#[gtest]
fn other_lookups_are_answered_beside_work_that_crashes_endpoints() {
    let mut world = World::new(1);
    world.harmful = Some(calls::key(3));
    for n in 0..20 {
        world.same_lookup(n % INSTANCES, 3);
        world.run_for(1_000);
    }
    let others: Vec<_> = (0..INSTANCES).map(|index| world.lookup(index, 5)).collect();
    world.run_for(6_000);
    for other in others {
        expect_that!(world.calls.told(other), eq("answered"));
    }
}

/// The endpoint that runs anything, while a slow lookup of a key is under way.
fn owner_of_slow_lookup(world: &mut World) -> Option<usize> {
    for endpoint in 0..ENDPOINTS {
        world.fault(&Fault::Slow {
            endpoint,
            ms: 1_000,
        });
    }
    world.same_lookup(0, 3);
    world.run_for(60);
    world
        .servers
        .iter()
        .position(node_world::endpoint::Server::is_running)
}

/// Guards against work that is refused since planned stops broke its connections.
#[gtest]
fn planned_stops_are_no_crashes() {
    let mut world = World::new(2);
    let mut stops = 0;
    for _ in 0..40 {
        let Some(endpoint) = owner_of_slow_lookup(&mut world) else {
            world.run_for(2_000);
            continue;
        };
        world.fault(&Fault::Drain {
            endpoint,
            drain: true,
        });
        world.run_for(700);
        stops += usize::from(world.servers[endpoint].is_running());
        let down_ms = 500;
        world.fault(&Fault::Restart { endpoint, down_ms });
        world.run_for(3_000);
        world.fault(&Fault::Drain {
            endpoint,
            drain: false,
        });
        world.run_for(4_000);
    }
    expect_that!(stops, gt(KNOWN_AFTER));
    let lookup = world.same_lookup(0, 3);
    world.run_for(4_000);
    expect_that!(world.calls.told(lookup), eq("answered"));
}
