//! Second sends of a whole fleet while its instances are killed, started, frozen and cut off. Other
//! seeds are played with `CITRONWAY_RETRY_SEEDS=FIRST..LAST`.

mod retry_world;

use googletest::prelude::*;
use retry_world::{Fault, Plan, play};

/// Guards against processes that begin with a whole part of the budget that their predecessors
/// have used in the same window.
#[gtest]
fn restarts_do_not_renew_second_sends() {
    let mut plan = Plan::calm(11);
    for round in 0..24 {
        for seat in [round % 11, (round * 5 + 3) % 11] {
            let kill = Fault::Kill { seat, down_ms: 300 };
            plan.faults.push((28_000 + round as u64 * 500, kill));
        }
    }
    expect_that!(play(&plan).worst_excess(plan.limit), none());
}

/// Guards against instances that start side by side, hear of nobody yet, and each use the slack of
/// the whole fleet.
#[gtest]
fn instances_that_start_side_by_side_share_second_sends() {
    let mut plan = Plan::calm(40);
    for seat in 0..plan.seats {
        plan.faults
            .push((30_000, Fault::Kill { seat, down_ms: 300 }));
    }
    expect_that!(play(&plan).worst_excess(plan.limit), none());
}

/// Guards against parts of a fleet that do not hear of each other, each of which uses the slack of
/// all.
#[gtest]
fn parts_of_a_fleet_that_are_cut_off_share_second_sends() {
    let mut plan = Plan::calm(30);
    plan.per_s = 20.0;
    let cut = Fault::Cut {
        seats: 15,
        for_ms: 30_000,
    };
    plan.faults.push((26_000, cut));
    expect_that!(play(&plan).worst_excess(plan.limit), none());
}

/// Guards against faults in series that overlap: kills, herds, frozen instances, bad links, cuts,
/// outages of the store, and requests in waves.
#[gtest]
fn second_sends_of_a_fleet_stay_within_their_limit() {
    let asked = std::env::var("CITRONWAY_RETRY_SEEDS").unwrap_or_else(|_| "0..60".to_owned());
    let (first, last) = asked.split_once("..").expect("FIRST..LAST");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    for seed in number(first)..number(last) {
        let plan = Plan::random(seed);
        let excess = play(&plan).worst_excess(plan.limit);
        expect_that!(excess, none(), "seed {seed}, {} instances", plan.seats);
    }
}

/// Guards against a limit that is kept by giving up second sends of instances that run on: seven
/// tenths of it were always used, less one send of each instance that is not whole.
#[gtest]
fn instances_that_run_on_use_their_second_sends() {
    let plan = Plan::calm(11);
    let mut arrivals = play(&plan);
    let whole = |part: f64| part - 11.0 / 202.0;
    let at_once = arrivals.used_part(plan.rejects_from, 1_500, plan.limit);
    expect_that!(at_once, ge(whole(0.7)));
    for from_ms in [25_000, 35_000, 45_000] {
        let used = arrivals.used_part(from_ms, 10_000, plan.limit);
        expect_that!(used, ge(whole(0.7)), "from {from_ms} ms");
    }
}
