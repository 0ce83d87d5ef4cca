//! Random faults against a few nodes; what must always hold is checked throughout.

mod node_world;

use citronway_core::ids::Version;
use node_world::World;
use node_world::faults::{Fault, any_fault};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Faults begin within this time, in milliseconds.
const FAULTS_MS: u64 = 12_000;
/// Time in which everything is served again after the last fault, in milliseconds.
const RECOVERY_MS: u64 = 15_000;
/// A configuration is in force everywhere within this time, in milliseconds.
const CONFIG_MS: u64 = 5_000;
const SEED: u64 = 20_261_202;
const CASES: u32 = 12;

fn config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok();
    ProptestConfig {
        cases: cases.and_then(|it| it.parse().ok()).unwrap_or(CASES),
        rng_seed: std::env::var("NODE_SEED")
            .ok()
            .and_then(|it| it.parse().ok())
            .map_or(RngSeed::Fixed(SEED), RngSeed::Fixed),
        failure_persistence: None,
        max_shrink_iters: 300,
        ..ProptestConfig::default()
    }
}

fn run(seed: u64, faults: Vec<(u64, Fault)>) -> World {
    let mut world = World::new(seed);
    world.busy = true;
    for (at, fault) in faults {
        world.fault_in(at, fault);
    }
    world.faults_end = world.now + FAULTS_MS;
    world.run_for(FAULTS_MS + 500);
    world.heal();
    world.operate(|_| {});
    world.run_for(CONFIG_MS);
    let newest = world.store.config_version();
    let known: Vec<Version> = world
        .processes
        .iter()
        .filter(|it| it.alive && !it.is_paused(world.now))
        .map(|it| it.node.view().config_version())
        .collect();
    if known.iter().any(|it| *it != newest) {
        world.violation(&format!("{newest} is not in force everywhere: {known:?}"));
    }
    world.run_for(RECOVERY_MS - CONFIG_MS);
    world.busy = false;
    let told = world.all_served();
    if told.len() != 1 || !told.contains_key("answered") {
        world.violation(&format!("not all is served again: {told:?}"));
    }
    world.look_at_calls();
    world
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn what_must_always_hold_holds(
        seed in any::<u64>(),
        faults in vec((0..FAULTS_MS, any_fault()), 1..8),
    ) {
        let world = run(seed, faults);
        prop_assert!(world.violations.is_empty(), "{:#?}", &world.violations[..world.violations.len().min(5)]);
    }
}

#[test]
fn nothing_is_lost_without_faults() {
    let world = run(1, Vec::new());
    assert_eq!(world.violations, Vec::<String>::new());
}
