//! Named failures against a few nodes that run together. What must always hold is
//! checked by the world at every step; see `node_world`.

mod node_world;

use googletest::prelude::*;
use node_world::faults::Fault;
use node_world::{INSTANCES, World, calls};

/// Time in which everything is served again, in milliseconds.
const RECOVERY_MS: u64 = 10_000;
/// Seeds that each failure is tried with.
const SEEDS: std::ops::Range<u64> = 1..4;

/// Ends all faults; then nothing may have been violated, everybody was told
/// something true, and every key is answered at every instance.
fn expect_whole(world: &mut World) {
    world.heal();
    world.run_for(RECOVERY_MS);
    world.busy = false;
    let told = world.all_served();
    expect_that!(
        told.keys().collect::<Vec<_>>(),
        elements_are![eq(&"answered")]
    );
    world.look_at_calls();
    expect_that!(world.violations, is_empty());
}

/// A failure that begins amid callers' requests and lasts for `ms`; the faults
/// may depend on who dispatches.
fn expect_to_bear(ms: u64, faults: impl Fn(&World) -> Vec<Fault>) {
    for seed in SEEDS {
        let mut world = World::new(seed);
        world.busy = true;
        world.run_for(500);
        for fault in faults(&world) {
            world.fault(&fault);
        }
        world.run_for(ms);
        expect_whole(&mut world);
    }
}

/// The endpoint runs a lookup and its answer is lost. The entry tries again, too
/// late: the endpoint's dispatcher refuses. The caller is told `not run`.
#[gtest]
fn second_try_refused_after_the_first_ran() {
    for seed in SEEDS {
        let mut world = World::new(seed);
        for endpoint in 0..node_world::ENDPOINTS {
            world.fault(&Fault::AnswersLost {
                endpoint,
                ms: 60_000,
            });
        }
        let lookups: Vec<_> = (0..calls::KEYS).map(|key| world.lookup(0, key)).collect();
        world.run_for(4_000);
        for lookup in lookups {
            expect_that!(world.calls.told(lookup), starts_with("may have run"));
        }
        world.look_at_calls();
        expect_that!(world.violations, is_empty());
    }
}
