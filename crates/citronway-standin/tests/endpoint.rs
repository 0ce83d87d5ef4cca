//! The endpoint stand-in checks, journals and cancels as documented.

mod support;

use citronway_core::node::events::RefusedReason;
use citronway_core::time::Wall;
use citronway_standin::endpoint::control::Report;
use citronway_standin::endpoint::state::{Commit, State};
use citronway_standin::endpoint::{AnswerBody, EndpointFaults, EndpointOptions, Order, Run};
use googletest::prelude::*;
use http::Response;

use support::{Bench, FAR, grant, order};

fn checking() -> EndpointOptions {
    EndpointOptions::new("one").service_ms(1)
}

fn refusal<B>(rsp: &Response<B>) -> Option<&str> {
    rsp.headers().get("citronway-refused")?.to_str().ok()
}

fn now() -> Wall {
    citronway_standin::process::wall()
}

#[gtest]
#[tokio::test]
async fn an_answer_names_request_key_and_endpoint() {
    let bench = Bench::granted(&checking()).await;
    let order = order(1);
    let rsp = bench.send(&order).await.expect("an answer");
    let answer: AnswerBody = serde_json::from_slice(rsp.body()).expect("JSON");
    expect_that!(answer.request_id, eq(order.id));
    expect_that!(answer.key, eq(&order.key));
    expect_that!(answer.endpoint.as_str(), eq("one"));
    expect_that!(answer.path, eq("/book"));
}

#[gtest]
#[tokio::test]
async fn orders_outside_the_grant_are_refused_by_an_endpoint_that_checks() {
    let bench = Bench::new(&checking());
    let before = bench.send(&order(2)).await.expect("a refusal");
    bench.grant(&grant(2, now().plus(FAR))).await;
    let stale = bench.send(&order(1)).await.expect("a refusal");
    let ahead = bench.send(&order(3)).await.expect("a refusal");
    bench.grant(&grant(3, now())).await;
    let lapsed = bench.send(&order(3)).await.expect("a refusal");
    expect_that!(refusal(&before), some(eq("no_grant")));
    expect_that!(refusal(&stale), some(eq("stale_epoch")));
    expect_that!(refusal(&ahead), some(eq("no_grant")));
    expect_that!(refusal(&lapsed), some(eq("no_grant")));
    expect_that!(bench.journal().await.runs, is_empty());
}

#[gtest]
#[tokio::test]
async fn an_order_of_a_lower_dispatch_epoch_is_refused() {
    let bench = Bench::granted(&checking()).await;
    let mut takeover = grant(1, now().plus(FAR));
    takeover.dispatch_epoch = takeover.dispatch_epoch.next();
    let taken = bench.grant(&takeover).await;
    let old = bench.send(&order(1)).await.expect("a refusal");
    let renewal = bench.grant(&grant(1, now().plus(FAR))).await;
    expect_that!(taken.stale_epoch, is_false());
    expect_that!(refusal(&old), some(eq("stale_epoch")));
    expect_that!(renewal.stale_epoch, is_true());
}

/// A renewal is overtaken by the revocation of its epoch. If it revived the
/// grant, the old owner would go on beside the new one.
#[gtest]
#[tokio::test]
async fn a_renewal_does_not_revive_a_revoked_epoch() {
    let bench = Bench::granted(&checking()).await;
    bench.revoke(&grant(1, Wall::default())).await;
    let renewal = bench.grant(&grant(1, now().plus(FAR))).await;
    let rsp = bench.send(&order(1)).await.expect("a refusal");
    expect_that!(renewal.stale_epoch, is_true());
    expect_that!(refusal(&rsp), some(eq("stale_epoch")));
}

#[gtest]
#[tokio::test]
async fn an_endpoint_that_does_not_check_runs_what_it_is_given_and_records_it() {
    let bench = Bench::new(&checking().checks(false));
    bench.send(&order(2)).await.expect("an answer");
    let stale = order(1);
    bench.send(&stale).await.expect("an answer");
    bench.send(&stale).await.expect("an answer");
    let journal = bench.journal().await;
    expect_that!(journal.stale_begun, eq(2));
    expect_that!(journal.ran_twice, elements_are![eq(&stale.id)]);
    expect_that!(journal.runs, len(eq(3)));
}

#[gtest]
#[tokio::test]
async fn a_deadline_is_checked_by_every_endpoint() {
    let bench = Bench::new(&checking().checks(false));
    let mut late = order(1);
    late.deadline = now();
    let rsp = bench.send(&late).await.expect("a refusal");
    expect_that!(refusal(&rsp), some(eq("expired")));
}

#[gtest]
fn a_deadline_that_passes_during_the_work_stops_the_commit() {
    let mut state = State::new(&checking().checks(false), None, Wall(0));
    let order = Order {
        deadline: Wall(10),
        ..order(1)
    };
    let work = state.begin(order, Wall(9)).expect("it begins");
    let expired = Commit::Refused(RefusedReason::Expired);
    expect_that!(state.commit(work, Wall(10)), eq(expired));
    expect_that!(state.journal().not_committed, eq(1));
    expect_that!(state.journal().runs, is_empty());
}

#[gtest]
fn a_grant_that_lapses_during_the_work_stops_the_commit() {
    let mut state = State::new(&checking(), None, Wall(0));
    state.grant(&grant(1, Wall(10)), Wall(0));
    let work = state.begin(order(1), Wall(9)).expect("it begins");
    let lapsed = Commit::Refused(RefusedReason::NoGrant);
    expect_that!(state.commit(work, Wall(10)), eq(lapsed));
}

#[gtest]
#[tokio::test]
async fn a_confirmed_cancellation_stops_an_order_that_comes_later() {
    let bench = Bench::granted(&checking()).await;
    let (cancelled, done) = (order(1), order(1));
    bench.send(&done).await.expect("an answer");
    expect_that!(bench.cancel(cancelled.id).await, is_true());
    expect_that!(bench.cancel(done.id).await, is_false());
    let rsp = bench.send(&cancelled).await.expect("a refusal");
    expect_that!(refusal(&rsp), some(eq("expired")));
}

#[gtest]
fn work_at_once_above_the_slots_shows_and_can_be_shed() {
    let options = checking().checks(false).slots(1).shed_above(2);
    let mut state = State::new(&options, None, Wall(0));
    let begun = [order(1), order(1), order(1)].map(|order| state.begin(order, Wall(0)));
    expect_that!(begun[1], ok(anything()));
    expect_that!(begun[2], err(eq(RefusedReason::Shed)));
    expect_that!(state.journal().peak_running, eq(2));
}

#[gtest]
#[tokio::test]
async fn a_fresh_endpoint_reports_itself_cold() {
    let bench = Bench::new(&checking().cold_ms(FAR));
    let report = bench.grant(&grant(1, now().plus(FAR))).await;
    let expected = Report {
        stale_epoch: false,
        draining: false,
        running: 0,
        cold: true,
    };
    expect_that!(report, eq(expected));
}

#[gtest]
#[tokio::test]
async fn runs_are_in_the_journal_file() {
    let dir = citronway_standin::env::temp::TempDir::new().expect("a directory");
    let file = dir.path().join("runs.jsonl");
    let bench = Bench::granted(&checking().journal(file.clone())).await;
    let order = order(1);
    bench.send(&order).await.expect("an answer");
    let text = std::fs::read_to_string(file).expect("the file");
    let run: Run = serde_json::from_str(text.trim()).expect("one run");
    expect_that!(run.id, eq(order.id));
}

#[gtest]
#[tokio::test]
async fn a_restart_forgets_grants_but_not_the_journal() {
    let bench = Bench::granted(&checking()).await;
    bench.send(&order(1)).await.expect("an answer");
    bench
        .faults(EndpointFaults {
            restart: true,
            ..EndpointFaults::default()
        })
        .await;
    let rsp = bench.send(&order(1)).await.expect("a refusal");
    expect_that!(refusal(&rsp), some(eq("no_grant")));
    expect_that!(bench.journal().await.runs, len(eq(1)));
}
