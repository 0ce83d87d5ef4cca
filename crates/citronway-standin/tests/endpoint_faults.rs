//! The faults of the endpoint stand-in behave as documented.

mod support;

use citronway_standin::endpoint::{EndpointFaults, EndpointOptions};
use citronway_standin::env::wait;
use citronway_standin::http::ClientError;
use citronway_standin::process::wall;
use googletest::prelude::*;

use support::{Bench, FAR, grant, order};

fn none() -> EndpointFaults {
    EndpointFaults::default()
}

async fn bench_with(faults: EndpointFaults) -> Bench {
    let bench = Bench::granted(&EndpointOptions::new("one").service_ms(1)).await;
    bench.faults(faults).await;
    bench
}

async fn committed(bench: &Bench, runs: usize) {
    let what = "runs are committed";
    let reached = wait(what, async || bench.journal().await.runs.len() >= runs).await;
    reached.expect("the state is reached");
}

/// A caller gives up on a frozen endpoint and closes the connection. The order
/// lies in the endpoint's buffer and runs when the endpoint thaws.
#[gtest]
#[tokio::test]
async fn an_order_buffered_by_a_frozen_endpoint_runs_when_it_thaws() {
    let bench = bench_with(EndpointFaults {
        frozen: true,
        ..none()
    })
    .await;
    bench.send_and_hang_up(&order(1)).await;
    expect_that!(bench.journal().await.runs, is_empty());
    bench.faults(none()).await;
    committed(&bench, 1).await;
}

/// The same, but the order's deadline has passed when the endpoint thaws.
#[gtest]
#[tokio::test]
async fn a_buffered_order_whose_deadline_passed_does_not_run() {
    let bench = bench_with(EndpointFaults {
        frozen: true,
        ..none()
    })
    .await;
    let mut late = order(1);
    late.deadline = wall().plus(1);
    bench.send_and_hang_up(&late).await;
    bench.faults(none()).await;
    let refused = async || bench.journal().await.refused.expired == 1;
    wait("the order is refused", refused)
        .await
        .expect("the state is reached");
    expect_that!(bench.journal().await.runs, is_empty());
}

#[gtest]
#[tokio::test]
async fn a_shedding_or_draining_endpoint_runs_nothing() {
    let bench = bench_with(EndpointFaults {
        sheds: true,
        ..none()
    })
    .await;
    bench.send(&order(1)).await.expect("a refusal");
    bench
        .faults(EndpointFaults {
            draining: true,
            ..none()
        })
        .await;
    bench.send(&order(1)).await.expect("a refusal");
    let report = bench.grant(&grant(1, wall().plus(FAR))).await;
    let journal = bench.journal().await;
    expect_that!(report.draining, is_true());
    expect_that!(journal.refused.shed, eq(1));
    expect_that!(journal.refused.draining, eq(1));
    expect_that!(journal.runs, is_empty());
}

#[gtest]
#[tokio::test]
async fn an_order_whose_answer_is_lost_has_run() {
    let bench = bench_with(EndpointFaults {
        loses_answers: true,
        ..none()
    })
    .await;
    let lost = bench.send(&order(1)).await;
    expect_that!(lost, err(pat!(ClientError::Transport(_))));
    expect_that!(bench.journal().await.runs, len(eq(1)));
}

#[gtest]
#[tokio::test]
async fn half_an_answer_breaks_off_below_its_stated_length() {
    let bench = bench_with(EndpointFaults {
        half_answers: true,
        ..none()
    })
    .await;
    expect_that!(bench.send(&order(1)).await, err(pat!(ClientError::Body(_))));
}

#[gtest]
#[tokio::test]
async fn a_foreign_answer_names_another_request() {
    let bench = bench_with(EndpointFaults {
        foreign_answers: true,
        ..none()
    })
    .await;
    let order = order(1);
    let rsp = bench.send(&order).await.expect("an answer");
    let named = rsp.headers().get("citronway-request-id").expect("a name");
    expect_that!(named.to_str().expect("text"), not(eq(order.id.to_string())));
    expect_that!(bench.journal().await.runs[0].id, eq(order.id));
}

#[gtest]
#[tokio::test]
async fn an_endpoint_that_ignores_cancellation_runs_the_order() {
    let bench = bench_with(EndpointFaults {
        ignores_cancel: true,
        ..none()
    })
    .await;
    let order = order(1);
    expect_that!(bench.cancel(order.id).await, is_false());
    bench.send(&order).await.expect("an answer");
    expect_that!(bench.journal().await.runs, len(eq(1)));
}

/// An endpoint that claims to be healthy says that it is idle while an order
/// is at work, and answers probes at once although it is slow.
#[gtest]
#[tokio::test]
async fn an_endpoint_that_claims_to_be_healthy_hides_its_work() {
    let slow = EndpointFaults {
        slow_factor: 1_000_000.0,
        ..none()
    };
    let bench = bench_with(EndpointFaults {
        claims_healthy: true,
        ..slow
    })
    .await;
    bench.send_and_hang_up(&order(1)).await;
    let report = bench.grant(&grant(1, wall().plus(FAR))).await;
    expect_that!(report.running, eq(0));
    expect_that!(bench.journal().await.peak_running, eq(1));
}
