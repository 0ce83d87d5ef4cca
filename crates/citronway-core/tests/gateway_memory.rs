//! Levels of the memory budget, and what each of them leaves room for.

use citronway_core::gateway::memory::{MemoryBudget, Pressure, Use};
use citronway_core::time::Mono;
use googletest::prelude::*;

const MB: u64 = 1024 * 1024;
const NOW: Mono = Mono(100_000);

/// Budget of 100 MB.
fn budget() -> MemoryBudget {
    MemoryBudget::new(200, 50)
}

#[gtest]
fn each_level_begins_at_its_part_of_the_budget() {
    let mut budget = budget();
    let mut levels = Vec::new();
    for _ in 0..100 {
        budget.charge(Use::Answers, MB);
        levels.push(budget.pressure());
    }
    let first = |level| levels.iter().position(|l| *l == level).map(|i| i + 1);
    expect_that!(first(Pressure::None), some(eq(1)));
    expect_that!(first(Pressure::NoReadAhead), some(eq(50)));
    expect_that!(first(Pressure::NoBodies), some(eq(70)));
    expect_that!(first(Pressure::Full), some(eq(85)));
    expect_that!(levels.is_sorted(), eq(true));
}

/// Failure: bodies take the room that the answers of accepted requests need.
#[gtest]
fn a_body_leaves_the_last_part_to_answers() {
    let mut budget = budget();
    expect_that!(budget.try_charge_body(86 * MB), eq(false));
    expect_that!(budget.try_charge_body(80 * MB), eq(true));
    expect_that!(budget.try_charge_body(6 * MB), eq(false));
    expect_that!(budget.try_charge_answer(20 * MB), eq(true));
    expect_that!(budget.try_charge_answer(MB), eq(false));
    expect_that!(budget.used(), eq(100 * MB));
}

/// Failure: long answers that are read slowly keep out the callers of short ones.
#[gtest]
fn no_room_is_reserved_for_long_answers_while_no_bodies_are_read() {
    let mut budget = budget();
    budget.charge(Use::Answers, 70 * MB);
    expect_that!(budget.try_reserve(90 * 1024), eq(false));
    expect_that!(budget.try_reserve(5 * 1024), eq(true));
}

/// Failure: what was refused is charged all the same, and the budget never empties.
#[gtest]
fn a_refused_charge_uses_nothing_and_a_release_gives_all_back() {
    let mut budget = budget();
    expect_that!(budget.try_charge_answer(101 * MB), eq(false));
    expect_that!(budget.used(), eq(0));
    budget.charge(Use::Connections, 90 * MB);
    expect_that!(budget.pressure(), eq(Pressure::Full));
    budget.release(NOW, Use::Connections, 90 * MB);
    expect_that!((budget.used(), budget.pressure()), eq((0, Pressure::None)));
}

/// Failure: callers come back at a fixed time, however slowly memory becomes free.
#[gtest]
fn the_time_to_retry_follows_the_rate_of_release() {
    let retry_after = |released: u64| {
        let mut budget = budget();
        budget.charge(Use::Answers, 95 * MB);
        for ms in 0..1_000 {
            budget.release(NOW.plus(ms), Use::Answers, released / 1_000);
        }
        budget.retry_after_ms(NOW.plus(1_000), 0)
    };
    // 15 MB are missing after 10 MB were released in a second, and 24 MB after one.
    expect_that!(retry_after(10 * MB), all![ge(1_000), le(1_900)]);
    expect_that!(retry_after(MB), eq(2_000));
    expect_that!(retry_after(30 * MB), eq(100));
}

/// Failure: the heads of refused requests count as room that became free.
#[gtest]
fn cancelled_charges_do_not_shorten_the_time_to_retry() {
    let mut budget = budget();
    budget.charge(Use::Answers, 95 * MB);
    for _ in 0..1_000 {
        budget.charge(Use::Requests, MB);
        budget.cancel(Use::Requests, MB);
    }
    expect_that!(budget.used(), eq(95 * MB));
    expect_that!(budget.retry_after_ms(NOW, 0), eq(2_000));
}
