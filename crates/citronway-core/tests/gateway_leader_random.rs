//! Randomized fault injection: no key ever has two holders.

mod leader_world;

use leader_world::{Faults, World};

const NO_FAULTS: Faults = Faults {
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
    restores: 0,
    fleet_restarts: 0,
    relays: 0,
};

/// Number of steps of 25 ms: 90 s of simulated time.
const STEPS: usize = 3_600;

fn run(seeds: std::ops::Range<u64>, faults: Faults) {
    for seed in seeds {
        play(seed, World::new(seed, faults));
    }
}

fn play(seed: u64, mut world: World) {
    for _ in 0..STEPS {
        if let Some(broken) = world.step() {
            panic!("seed {seed}: {broken}");
        }
    }
    assert!(world.moves > 10, "seed {seed}: only {} moves", world.moves);
}

/// An endpoint ends and another process starts at its address. A renewal for the first reaches
/// the second, which does not check the addressee and holds the keys. The leader learns of the
/// end and gives the keys to another endpoint at once.
#[test]
fn a_start_that_takes_orders_for_an_earlier_one() {
    let faults = Faults {
        crashes: 60,
        ..NO_FAULTS
    };
    for seed in 800..840 {
        let mut world = World::new(seed, faults);
        for endpoint in &mut world.endpoints {
            endpoint.checks_names = false;
        }
        play(seed, world);
    }
}

/// Without faults, and with keys that move all the time, a key is unserved only during its move.
#[test]
fn without_faults_keys_are_served() {
    let mut world = World::new(1, NO_FAULTS);
    for _ in 0..STEPS {
        assert_eq!(world.step(), None);
    }
    let checks = STEPS as u64 * 66;
    assert!(
        world.unserved * 50 < checks,
        "{} of {checks} unserved",
        world.unserved
    );
}

/// A leader loses the store during a move. Its successor finishes the move, and a seal of the
/// first leader arrives after the release, so that both endpoints run requests for the same
/// key. The successor's seals need higher fences than all of the first leader's.
#[test]
fn leaders_that_lose_the_store() {
    run(
        0..60,
        Faults {
            store_cuts: 60,
            ..NO_FAULTS
        },
    );
}

/// Guards against a replaced leader that takes the moves of its successor's rows for its own.
#[test]
fn leaders_that_hear_the_rows_of_their_successors() {
    let faults = Faults {
        store_cuts: 60,
        lost_orders: 1_500,
        relays: 5_000,
        ..NO_FAULTS
    };
    run(1_400..1_440, faults);
    let amid = Faults {
        lost_writes: 800,
        endpoint_cuts: 20,
        restarts: 20,
        ..faults
    };
    run(1_440..1_460, amid);
}

/// A leader is paused for seconds and continues unaware, after its successor has given the keys
/// to other endpoints.
#[test]
fn leaders_that_are_paused() {
    run(
        100..160,
        Faults {
            pauses: 40,
            store_cuts: 10,
            ..NO_FAULTS
        },
    );
}

/// Answers to orders are lost, and grants are carried out up to 12 s late, after newer grants
/// and after releases.
#[test]
fn orders_lost_and_late() {
    run(
        200..260,
        Faults {
            lost_orders: 2_500,
            ..NO_FAULTS
        },
    );
}

/// An endpoint is unreachable from its leader but not from others, and continues to hold its
/// keys. Another process starts at the address of one that ended.
#[test]
fn endpoints_cut_off_and_replaced() {
    run(
        300..360,
        Faults {
            endpoint_cuts: 80,
            crashes: 20,
            ..NO_FAULTS
        },
    );
}

/// Answers to writes are lost, and writes are carried out up to 6 s later if their condition
/// still holds.
#[test]
fn writes_lost_and_late() {
    run(
        400..460,
        Faults {
            lost_writes: 4_000,
            store_cuts: 20,
            ..NO_FAULTS
        },
    );
}

/// A leader is cut off from the store for half a minute and continues to renew the grants of its
/// row. Its successor cannot reach an endpoint and gives its keys to another one, while the
/// first leader still reaches it.
#[test]
fn leaders_that_lose_the_store_for_long() {
    let faults = Faults {
        store_cuts: 60,
        longest_cut_ms: 40_000,
        endpoint_cuts: 400,
        ..NO_FAULTS
    };
    run(700..760, faults);
}

/// Longest time for evacuating a zone without faults, in steps of 25 ms: 2.5 s.
const EVACUATION_STEPS: usize = 100;

/// Longest time for evacuating a zone after faults in which a leader and an endpoint were lost
/// together, in steps of 25 ms: 25 s.
const EVACUATION_STEPS_AFTER_FAULTS: usize = 1_000;

fn steps(seed: u64, world: &mut World, count: usize) {
    for _ in 0..count {
        if let Some(broken) = world.step() {
            panic!("seed {seed}: {broken}");
        }
    }
}

/// Guards against keys that stay in an evacuated zone, and against a write for each range.
#[test]
fn a_zone_that_is_evacuated_is_empty_in_time() {
    for seed in 1_200..1_220 {
        let mut world = World::new(seed, NO_FAULTS);
        steps(seed, &mut world, 800);
        let before = world.writes;
        world.evacuate(true);
        steps(seed, &mut world, EVACUATION_STEPS);
        assert_eq!(world.ranges_in_evacuated_zone(), 0, "seed {seed}");
        let writes = world.writes - before;
        assert!(writes <= 20, "seed {seed}: {writes} writes");
    }
}

/// Guards against keys with two holders or in an evacuated zone when zones are evacuated during
/// faults.
#[test]
fn zones_evacuated_amid_faults() {
    let faults = Faults {
        lost_orders: 800,
        store_cuts: 20,
        pauses: 10,
        endpoint_cuts: 20,
        lost_writes: 800,
        crashes: 10,
        ..NO_FAULTS
    };
    evacuate_amid(faults, 1_300..1_320);
}

/// Guards against keys with two holders or in an evacuated zone when endpoints restart under
/// their names while leaders are lost.
#[test]
fn starts_under_their_names_beside_evacuations() {
    let faults = Faults {
        lost_orders: 800,
        store_cuts: 20,
        pauses: 10,
        endpoint_cuts: 20,
        lost_writes: 800,
        restarts: 20,
        ..NO_FAULTS
    };
    evacuate_amid(faults, 1_300..1_340);
}

/// Guards against keys with two holders when an endpoint restarts while leaders lose the store.
#[test]
fn starts_under_their_names_beside_leaders_that_lose_the_store() {
    let faults = Faults {
        store_cuts: 20,
        endpoint_cuts: 20,
        restarts: 20,
        ..NO_FAULTS
    };
    for seed in [5_008, 5_013, 5_056, 5_065, 5_069, 5_264, 5_388] {
        play(seed, World::new(seed, faults));
    }
    let long = Faults {
        longest_cut_ms: 40_000,
        ..faults
    };
    run(5_000..5_024, long);
}

/// Guards against keys with two holders when endpoints restart during all kinds of faults, and
/// when connections are closed by themselves.
#[test]
fn starts_under_their_names_amid_all_faults() {
    let faults = Faults {
        lost_orders: 800,
        store_cuts: 20,
        pauses: 10,
        endpoint_cuts: 20,
        lost_writes: 800,
        restarts: 20,
        ..NO_FAULTS
    };
    for seed in [1_303, 1_311, 1_351, 1_372, 1_386, 5_002, 5_018, 5_162] {
        play(seed, World::new(seed, faults));
    }
    let ending = Faults {
        closed_links: 100,
        ..faults
    };
    run(5_100..5_112, ending);
}

fn evacuate_amid(faults: Faults, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut world = World::new(seed, faults);
        for evacuated in [false, true, false, true] {
            world.evacuate(evacuated);
            steps(seed, &mut world, 400);
        }
        world.set_faults(NO_FAULTS);
        steps(seed, &mut world, EVACUATION_STEPS_AFTER_FAULTS);
        assert_eq!(world.ranges_in_evacuated_zone(), 0, "seed {seed}");
    }
}

/// All kinds of faults at once, except restarts under the same name.
#[test]
fn everything_at_once() {
    let faults = Faults {
        lost_orders: 1_000,
        store_cuts: 30,
        longest_cut_ms: 6_000,
        pauses: 20,
        endpoint_cuts: 40,
        crashes: 10,
        lost_writes: 1_000,
        ..NO_FAULTS
    };
    run(500..620, faults);
}

/// An endpoint crashes and restarts under its name at any moment of a move: between seal and
/// release, between release and grant, or twice in a row. It has lost its fences when a delayed
/// renewal for the earlier start arrives, and holds keys that another endpoint was given.
#[test]
fn endpoints_restarted_under_their_names() {
    let faults = Faults {
        restarts: 200,
        lost_orders: 1_000,
        ..NO_FAULTS
    };
    run(900..1_000, faults);
}

/// An endpoint restarts under its name while its entry expires, with and without the store, and
/// while some leaders cannot reach it. A delayed renewal then makes it a second holder.
#[test]
fn endpoints_restarted_while_their_entries_expire() {
    let faults = Faults {
        restarts: 120,
        expirations: 200,
        lost_orders: 500,
        endpoint_cuts: 40,
        lost_writes: 500,
        ..NO_FAULTS
    };
    run(1_000..1_100, faults);
}
