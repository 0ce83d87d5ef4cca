//! What is expected once a failure is over.

use googletest::prelude::*;

use super::World;
use super::faults::Fault;

/// Time in which everything is served again, in milliseconds.
const RECOVERY_MS: u64 = 10_000;
/// Seeds that each failure is tried with.
pub const SEEDS: std::ops::Range<u64> = 1..4;

/// Ends all faults; then nothing may have been violated, everybody was told
/// something true, and every key is answered at every instance.
pub fn expect_whole(world: &mut World) {
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
pub fn expect_to_bear(ms: u64, faults: impl Fn(&World) -> Vec<Fault>) {
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
