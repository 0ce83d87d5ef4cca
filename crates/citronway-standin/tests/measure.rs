//! What callers saw is counted and compared with what ran.

use std::time::Duration;

use citronway_core::ids::EndpointName;
use citronway_standin::caller::{Call, Unanswered, Verdict};
use citronway_standin::env::Evidence;
use citronway_standin::measure::{Gaps, Promises, Record, Tally};
use googletest::prelude::*;
use http::StatusCode;

fn answered() -> Verdict {
    let endpoint = EndpointName::new("one");
    Verdict::Answered { endpoint }
}

fn not_run() -> Verdict {
    refused("no_owner")
}

fn refused(reason: &str) -> Verdict {
    Verdict::NotRun(Unanswered {
        status: StatusCode::SERVICE_UNAVAILABLE,
        reason: reason.to_owned(),
        retry_after: None,
    })
}

fn record(second: u64, verdict: Verdict) -> Record {
    let call = Call::new("bookings", "bottle").non_idempotent();
    let at = Duration::from_secs(second);
    Record::new(&call, at, at, verdict)
}

fn evidence(records: &[&Record]) -> Evidence {
    Evidence {
        ran: records.iter().map(|record| record.id).collect(),
        ..Evidence::default()
    }
}

#[gtest]
fn a_gap_reaches_from_the_first_unanswered_call_to_the_next_answered_one() {
    let verdicts = [answered(), not_run(), Verdict::Lost, answered(), not_run()];
    let records = (0..)
        .zip(verdicts)
        .map(|(second, verdict)| record(second, verdict));
    let gaps = Gaps::of(&records.collect::<Vec<_>>());
    let end = Duration::from_secs(10);
    let lengths = gaps.gaps.iter().map(|gap| gap.length(end).as_secs());
    expect_that!(lengths.collect::<Vec<_>>(), elements_are![eq(&2), eq(&6)]);
    expect_that!(gaps.open(), eq(1));
    expect_that!(gaps.keys(), eq(1));
}

#[gtest]
fn a_call_refused_for_load_opens_and_ends_no_gap() {
    let verdicts = [
        refused("queue_full"),
        not_run(),
        refused("expired"),
        answered(),
    ];
    let records = (0..)
        .zip(verdicts)
        .map(|(second, verdict)| record(second, verdict));
    let gaps = Gaps::of(&records.collect::<Vec<_>>());
    let lengths = gaps
        .gaps
        .iter()
        .map(|gap| gap.length(Duration::ZERO).as_secs());
    expect_that!(lengths.collect::<Vec<_>>(), elements_are![eq(&2)]);
}

#[gtest]
fn reasons_are_counted() {
    let tally = Tally::of(&[
        record(0, not_run()),
        record(1, not_run()),
        record(2, answered()),
    ]);
    expect_that!(tally.calls(), eq(3));
    expect_that!(tally.reasons.get("no_owner"), some(eq(&2)));
}

#[gtest]
fn a_call_said_not_to_have_run_that_ran_breaks_a_promise() {
    let broken = record(0, not_run());
    let promises = Promises::check(std::slice::from_ref(&broken), &evidence(&[&broken]));
    expect_that!(promises.not_run_but_ran, elements_are![eq(&broken.id)]);
}

/// A client sends a request twice at once. One copy is refused as not run, the
/// other is answered; the refusal was about its copy only.
#[gtest]
fn a_refused_copy_of_an_answered_call_breaks_no_promise() {
    let first = record(0, answered());
    let copy = Record {
        verdict: not_run(),
        ..first.clone()
    };
    let promises = Promises::check(&[first.clone(), copy], &evidence(&[&first]));
    expect_that!(promises.are_kept(), is_true());
}

#[gtest]
fn an_answer_of_nobody_breaks_a_promise() {
    let promises = Promises::check(&[record(0, answered())], &Evidence::default());
    expect_that!(promises.answered_but_not_ran, len(eq(1)));
}
