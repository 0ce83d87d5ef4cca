//! Division of a hot range in a service of 250 endpoints whose paces differ: how soon it holds, and
//! what it moves.

#[path = "division_world/mod.rs"]
mod division_world;

use division_world::{ENDPOINTS, Load, World};
use googletest::prelude::*;

/// Requests a second of the service: half of what its endpoints can serve.
const TOTAL: f64 = 1_600.0;

fn calm(total: f64) -> Load {
    Load {
        even: total,
        ..Load::default()
    }
}

fn hot(total: f64, share: f64, first: u16, keys: u64) -> Load {
    Load {
        even: total * (1.0 - share),
        hot: total * share,
        first,
        keys,
        ..Load::default()
    }
}

/// Guards against a hot range that is divided by a load that was only partly seen, so that its
/// pieces are too large for their owners and are moved again.
#[gtest]
fn a_hot_range_is_divided_within_a_second_and_the_division_holds() {
    for seed in 0..4 {
        for (keys, share) in [(60, 0.43), (130, 0.38), (200, 0.32)] {
            let mut world = World::new(seed);
            world.run(15_000, &calm(TOTAL));
            let before = world.moves.len();
            let load = hot(TOTAL, share, 20_000, keys);
            world.run(1_000, &load);
            let (held, divided) = (world.share_held(&load), world.moves.len());
            world.run(8_000, &load);
            let (later, after) = (world.share_held(&load), world.moves.len());
            let back = world.moved_back(before);
            expect_that!(held, gt(0.9), "seed {seed}, {keys} keys");
            expect_that!(later, gt(0.9), "seed {seed}, {keys} keys");
            expect_that!(world.late_share(), lt(0.05), "seed {seed}, {keys} keys");
            let at_most = usize::try_from(keys).unwrap();
            expect_that!(divided - before, le(at_most), "seed {seed}, {keys} keys");
            expect_that!(
                after - divided,
                lt(ENDPOINTS / 20),
                "seed {seed}, {keys} keys"
            );
            expect_that!(back, eq(0), "seed {seed}, {keys} keys");
        }
    }
}

/// Guards against a key that no endpoint can serve alone: it must not be moved from owner to owner,
/// and its neighbours must not wait behind it.
#[gtest]
fn neighbours_leave_a_key_that_no_endpoint_can_serve() {
    for seed in 0..4 {
        let mut world = World::new(seed);
        world.run(15_000, &calm(TOTAL));
        let load = Load {
            single: 0.16 * TOTAL,
            ..hot(TOTAL, 0.2, 20_000, 60)
        };
        let owner = world.owner(load.first);
        world.run(1_000, &load);
        let found = world
            .divisions
            .iter()
            .any(|d| d.hot_key == Some(load.first));
        expect_that!(found, eq(true), "seed {seed}");
        world.run(8_000, &load);
        expect_that!(world.owner(load.first) == owner, eq(true), "seed {seed}");
        let beside = (1..60).filter(|i| world.owner(load.first + i) == owner);
        expect_that!(beside.count(), eq(0), "seed {seed}");
        expect_that!(world.moved_back(0), eq(0), "seed {seed}");
    }
}

/// Guards against keys that follow a wave of load to and fro. Loads differ from the mean by up to
/// 55 %, with a period of 17 s.
#[gtest]
fn a_wave_moves_no_keys_to_and_fro() {
    for seed in 0..2 {
        let mut world = World::new(seed);
        let load = Load {
            wave: 0.55,
            ..calm(TOTAL)
        };
        world.run(68_000, &load);
        expect_that!(world.moves.len(), eq(0), "seed {seed}");
    }
}

/// Guards against keys that are moved about in a service that is full everywhere.
#[gtest]
fn a_full_service_moves_next_to_nothing() {
    for seed in 0..2 {
        let mut world = World::new(seed);
        // A third more than all endpoints can serve.
        world.run(20_000, &calm(4_000.0));
        expect_that!(world.moved_back(0), eq(0), "seed {seed}");
        expect_that!(world.moved_keys(), lt(0.5), "seed {seed}");
    }
}
