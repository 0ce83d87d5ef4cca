//! The store comes back from an older copy: no key ever has two holders, and keys stay served.

mod leader_world;

use leader_world::{Faults, World};

const RESTORES: Faults = Faults {
    lost_orders: 0,
    store_cuts: 0,
    longest_cut_ms: 6_000,
    pauses: 0,
    endpoint_cuts: 0,
    crashes: 0,
    lost_writes: 0,
    restarts: 0,
    expirations: 0,
    closed_links: 0,
    restores: 8,
    fleet_restarts: 0,
    relays: 0,
};

/// Faults without restores.
const CALM: Faults = Faults {
    restores: 0,
    ..RESTORES
};

/// Number of steps of 25 ms: 90 s of simulated time.
const STEPS: usize = 3_600;

fn steps(seed: u64, world: &mut World, count: usize) {
    for _ in 0..count {
        if let Some(broken) = world.step() {
            panic!("seed {seed}: {broken}");
        }
    }
}

fn run(seeds: std::ops::Range<u64>, faults: Faults) {
    let mut restores = 0;
    let count = seeds.end - seeds.start;
    for seed in seeds {
        let mut world = World::new(seed, faults);
        steps(seed, &mut world, STEPS);
        restores += world.restores;
    }
    assert!(restores > count, "only {restores} restores");
}

/// Guards against a second holder by a leader that goes on by what the store has lost.
#[test]
fn restores_alone() {
    run(0..80, RESTORES);
}

/// Guards against a second holder by a leader that does not learn of the restore.
#[test]
fn restores_beside_leaders_that_lose_the_store() {
    let faults = Faults {
        store_cuts: 60,
        longest_cut_ms: 20_000,
        endpoint_cuts: 80,
        ..RESTORES
    };
    run(100..180, faults);
}

/// Guards against a second holder by a leader that was paused across the restore.
#[test]
fn restores_beside_leaders_that_are_paused() {
    let faults = Faults {
        pauses: 40,
        store_cuts: 10,
        ..RESTORES
    };
    run(200..280, faults);
}

/// Guards against orders and writes of an earlier era that are carried out late.
#[test]
fn restores_beside_late_orders_and_writes() {
    let faults = Faults {
        lost_orders: 1_000,
        lost_writes: 4_000,
        store_cuts: 20,
        ..RESTORES
    };
    run(300..380, faults);
}

/// Guards against an endpoint that forgot the fences of a leader whose rows were lost.
#[test]
fn restores_beside_endpoints_that_restart() {
    let faults = Faults {
        restarts: 60,
        crashes: 20,
        expirations: 40,
        lost_orders: 500,
        closed_links: 100,
        ..RESTORES
    };
    run(400..480, faults);
}

/// Guards against instances without memory that begin with an assignment that is long out of date.
#[test]
fn restores_beside_restarts_of_all_instances() {
    let faults = Faults {
        fleet_restarts: 10,
        ..RESTORES
    };
    run(500..580, faults);
}

/// Guards against combinations of a restore with all other faults.
#[test]
fn restores_amid_everything() {
    let faults = Faults {
        lost_orders: 800,
        store_cuts: 30,
        pauses: 20,
        endpoint_cuts: 40,
        crashes: 10,
        lost_writes: 800,
        restarts: 20,
        expirations: 20,
        closed_links: 40,
        fleet_restarts: 4,
        ..RESTORES
    };
    run(600..720, faults);
}

/// Guards against keys with two holders or in an evacuated zone after restores during an evacuation.
#[test]
fn zones_evacuated_beside_restores() {
    for seed in 800..840 {
        let mut world = World::new(seed, RESTORES);
        for evacuated in [false, true, false, true] {
            world.evacuate(evacuated);
            steps(seed, &mut world, 400);
        }
        world.set_faults(CALM);
        steps(seed, &mut world, 1_000);
        assert_eq!(world.ranges_in_evacuated_zone(), 0, "seed {seed}");
    }
}

/// Guards against a successor without memory that begins with the rows of an old copy.
#[test]
fn all_instances_restart_a_minute_after_a_restore() {
    for seed in 900..960 {
        let mut world = World::new(seed, CALM);
        steps(seed, &mut world, 800);
        world.restore(12_000, 2_000);
        steps(seed, &mut world, 80);
        let before = world.writes;
        steps(seed, &mut world, 2_400);
        assert!(world.writes > before, "seed {seed}: no writes");
        world.restart_instances();
        steps(seed, &mut world, 1_200);
    }
}

/// Longest hold with its tolerances, in steps of 25 ms.
const HOLD_STEPS: usize = 150;

/// Guards against keys that no longer are served although nothing moved them.
#[test]
fn keys_stay_served_by_the_leader_that_goes_on() {
    for seed in 1_000..1_040 {
        let mut world = World::new(seed, CALM);
        steps(seed, &mut world, 800);
        world.moving = false;
        steps(seed, &mut world, HOLD_STEPS * 2);
        let before = world.unserved;
        world.restore(10_000, 2_000);
        steps(seed, &mut world, 1_200);
        assert_eq!(world.unserved, before, "seed {seed}");
    }
}
