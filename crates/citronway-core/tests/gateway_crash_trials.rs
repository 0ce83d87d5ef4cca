//! Trials of suspect work: which copy is sent.

use citronway_core::gateway::crashes::{
    Fingerprint, InstancePosition, TIME_SLICE_MS, TrialEnd, TrialGrant, TrialId, TrialRequest,
    Trials, copy_retry_after_ms, may_try_without_leader,
};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::ids::SessionId;
use citronway_core::time::Mono;
use googletest::prelude::*;

const WORK: Fingerprint = Fingerprint(77);
const EXPECTED_MS: u64 = 350;
const LIMIT_MS: u64 = 4_000;
const CRASHED: TrialEnd = TrialEnd::Crashed {
    endpoint: EndpointTag(1),
};

const fn req(session: u64, number: u64) -> TrialRequest {
    TrialRequest {
        id: TrialId {
            session: SessionId(session),
            number,
        },
        work: WORK,
        expected_ms: EXPECTED_MS,
        limit_ms: LIMIT_MS,
    }
}

/// Guards against two copies at endpoints at the same time, from one instance or from two.
#[gtest]
fn one_copy_is_tried_at_a_time() {
    let mut trials = Trials::default();
    let now = Mono(1_000);
    expect_that!(trials.request(now, &req(1, 1)), eq(TrialGrant::Granted));
    let later = now.plus(50);
    for other in [req(1, 2), req(2, 1)] {
        let for_ms = EXPECTED_MS - 50;
        expect_that!(
            trials.request(later, &other),
            eq(TrialGrant::Busy { for_ms })
        );
    }
    trials.record_end(later, req(1, 1).id, WORK, CRASHED);
    expect_that!(trials.request(later, &req(2, 1)), eq(TrialGrant::Granted));
}

/// Guards against a trial that is refused to its own holder when a datagram is duplicated.
#[gtest]
fn a_request_that_comes_twice_is_granted_twice() {
    let mut trials = Trials::default();
    for at in [0, 25] {
        let grant = trials.request(Mono(at), &req(1, 1));
        expect_that!(grant, eq(TrialGrant::Granted));
    }
}

/// Guards against work that can never be tried again because the instance with its trial was
/// lost.
#[gtest]
fn a_trial_whose_end_is_not_told_ends_with_its_caller() {
    let mut trials = Trials::default();
    trials.request(Mono(0), &req(1, 1));
    let busy = trials.request(Mono(LIMIT_MS - 1), &req(2, 1));
    expect_that!(busy, eq(TrialGrant::Busy { for_ms: 0 }));
    let grant = trials.request(Mono(LIMIT_MS), &req(2, 1));
    expect_that!(grant, eq(TrialGrant::Granted));
}

/// Guards against copies that are held back although the work has just been answered.
#[gtest]
fn an_answer_allows_all_copies_until_the_next_crash() {
    let mut trials = Trials::default();
    trials.request(Mono(0), &req(1, 1));
    trials.record_end(Mono(200), req(1, 1).id, WORK, TrialEnd::Answered);
    for n in 0..3 {
        let grant = trials.request(Mono(210), &req(2, n));
        expect_that!(grant, eq(TrialGrant::Cleared));
    }
    trials.record_crash(WORK);
    expect_that!(
        trials.request(Mono(220), &req(2, 3)),
        eq(TrialGrant::Granted)
    );
    expect_that!(
        trials.request(Mono(220), &req(2, 4)),
        matches_pattern!(TrialGrant::Busy { .. })
    );
}

/// Guards against a late end that closes the trial of another copy.
#[gtest]
fn the_end_of_another_trial_ends_nothing() {
    let mut trials = Trials::default();
    trials.request(Mono(0), &req(1, 1));
    trials.record_end(Mono(10), req(1, 1).id, WORK, TrialEnd::Inconclusive);
    trials.request(Mono(20), &req(2, 1));
    trials.record_end(Mono(30), req(1, 1).id, WORK, TrialEnd::Inconclusive);
    expect_that!(
        trials.request(Mono(40), &req(3, 1)),
        matches_pattern!(TrialGrant::Busy { .. })
    );
}

/// Guards against a table that grows without bound, and against more copies when it is full.
#[gtest]
fn a_full_table_grants_no_more() {
    let mut trials = Trials::default();
    let mut granted = 0;
    for n in 0..10_000 {
        let one = TrialRequest {
            work: Fingerprint(n),
            ..req(1, n)
        };
        granted += usize::from(trials.request(Mono(0), &one) == TrialGrant::Granted);
    }
    expect_that!(granted, eq(4_096));
    let late = trials.request(Mono(LIMIT_MS), &req(2, 1));
    expect_that!(late, eq(TrialGrant::Granted));
}

/// Guards against copies that were refused together and are retried together, or too late.
#[gtest]
fn copies_are_retried_after_the_trial_at_different_times() {
    let left_ms = 3_000;
    let times: Vec<_> = (0..16)
        .map(|number| copy_retry_after_ms(EXPECTED_MS, left_ms, number))
        .collect();
    expect_that!(times, each(ge(&EXPECTED_MS)));
    expect_that!(times, each(le(&(EXPECTED_MS * 3 / 2))));
    let different: indexmap::IndexSet<_> = times.iter().collect();
    expect_that!(different.len(), eq(16));
    expect_that!(copy_retry_after_ms(5_000, left_ms, 3), eq(left_ms / 3));
}

/// Guards against copies that are sent together, or never, while no leader answers.
#[gtest]
fn without_a_leader_instances_try_work_one_after_the_other() {
    let crash_seen_at = Mono(1_000);
    for total in [1, 12, 16] {
        for slice in 0..total {
            let begins = crash_seen_at.plus(slice * TIME_SLICE_MS);
            let ends = begins.plus(TIME_SLICE_MS - 1);
            let try_it = |now| {
                (0..total).filter(move |b| {
                    may_try_without_leader(now, crash_seen_at, position(*b, total))
                })
            };
            expect_that!(
                try_it(begins).collect::<Vec<_>>(),
                elements_are![eq(&slice)]
            );
            expect_that!(try_it(ends).collect::<Vec<_>>(), elements_are![eq(&slice)]);
        }
    }
}

/// Guards against instances of a large fleet that wait minutes for their time slice.
#[gtest]
fn in_a_large_fleet_a_time_slice_comes_within_seconds() {
    let crash_seen_at = Mono(1_000);
    for before in [0, 17, 294] {
        let slices = (0..16).filter(|slice| {
            let now = crash_seen_at.plus(slice * TIME_SLICE_MS);
            may_try_without_leader(now, crash_seen_at, position(before, 295))
        });
        expect_that!(slices.count(), eq(1));
    }
}

/// Guards against a second copy when the leader changes while one is under trial.
#[gtest]
fn a_new_leader_grants_nothing_for_a_moment() {
    let mut trials = Trials::for_new_leader(Mono(1_000));
    expect_that!(
        trials.request(Mono(1_100), &req(1, 1)),
        eq(TrialGrant::Busy { for_ms: 400 })
    );
    let grant = trials.request(Mono(1_500), &req(1, 1));
    expect_that!(grant, eq(TrialGrant::Granted));
}

const fn position(before: u64, total: u64) -> InstancePosition {
    InstancePosition { before, total }
}
