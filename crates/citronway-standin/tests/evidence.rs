//! Runs of all endpoints, weighed together.

use citronway_core::ids::{EndpointName, Epoch, Key, RequestId, ServiceName, ShardId};
use citronway_core::request::Repeat;
use citronway_core::time::Wall;
use citronway_standin::endpoint::Run;
use citronway_standin::env::Evidence;
use googletest::prelude::*;
use uuid::Uuid;

fn run(endpoint: &str, epoch: u64, start: u64, end: u64) -> Run {
    Run {
        id: RequestId(Uuid::now_v7()),
        service: ServiceName::new("bookings"),
        key: Key::new("bottle"),
        endpoint: EndpointName::new(endpoint),
        repeat: Repeat::NonIdempotent,
        shard: ShardId(1),
        shard_epoch: Epoch(epoch),
        dispatch_epoch: Epoch(1),
        dispatcher: "one#1".to_owned(),
        start: Wall(start),
        end: Wall(end),
    }
}

#[gtest]
fn a_key_that_moves_between_runs_is_fine() {
    let runs = [
        run("one", 1, 0, 10),
        run("two", 2, 10, 20),
        run("one", 3, 20, 30),
    ];
    let evidence = Evidence::weigh(&runs);
    expect_that!(evidence.overlaps, is_empty());
    expect_that!(evidence.ran_twice, is_empty());
    expect_that!(evidence.ran, len(eq(3)));
}

#[gtest]
fn a_new_owner_that_begins_before_the_old_one_is_done_overlaps() {
    let evidence = Evidence::weigh(&[run("one", 1, 0, 10), run("two", 2, 9, 20)]);
    expect_that!(evidence.overlaps, len(eq(1)));
}

#[gtest]
fn an_old_owner_that_runs_again_under_its_old_epoch_overlaps() {
    let runs = [
        run("one", 1, 0, 10),
        run("two", 2, 10, 20),
        run("one", 1, 30, 40),
    ];
    expect_that!(Evidence::weigh(&runs).overlaps, len(eq(1)));
}

#[gtest]
fn a_hot_key_that_moves_to_a_shard_of_its_own_is_fine() {
    let own = Run {
        shard: ShardId(2),
        ..run("two", 1, 10, 20)
    };
    expect_that!(
        Evidence::weigh(&[run("one", 5, 0, 10), own]).overlaps,
        is_empty()
    );
}

#[gtest]
fn a_request_that_ran_at_two_endpoints_ran_twice() {
    let first = run("one", 1, 0, 10);
    let second = Run {
        id: first.id,
        ..run("two", 2, 10, 20)
    };
    let evidence = Evidence::weigh(&[first.clone(), second]);
    expect_that!(evidence.ran_twice, elements_are![eq(&first.id)]);
}
