//! A caller tells its own whole answer from everything else.

use bytes::Bytes;
use citronway_core::ids::EndpointName;
use citronway_standin::caller::{Call, Verdict, WrongAnswer};
use citronway_standin::endpoint::AnswerBody;
use googletest::prelude::*;
use http::Response;
use serde_json::json;

fn answer_to(call: &Call) -> AnswerBody {
    AnswerBody {
        request_id: call.id,
        service: call.service.clone(),
        key: call.key.clone(),
        endpoint: EndpointName::new("one"),
        path: call.path(),
        body_bytes: call.body.len(),
    }
}

fn answered(body: &AnswerBody) -> Response<Bytes> {
    let body = serde_json::to_vec(body).expect("JSON");
    let rsp = Response::builder().header("citronway-outcome", "answered");
    rsp.body(Bytes::from(body)).expect("a response")
}

fn outcome(status: u16, body: &serde_json::Value) -> Response<Bytes> {
    let rsp = Response::builder().status(status);
    rsp.body(Bytes::from(body.to_string())).expect("a response")
}

#[gtest]
fn the_answer_to_the_call_is_taken() {
    let call = Call::new("bookings", "bottle")
        .non_idempotent()
        .body("12 ml");
    let verdict = Verdict::of(&call, &answered(&answer_to(&call)));
    let endpoint = EndpointName::new("one");
    expect_that!(verdict, eq(&Verdict::Answered { endpoint }));
}

#[gtest]
fn an_answer_to_another_call_of_the_same_key_is_wrong() {
    let (call, other) = (
        Call::new("bookings", "bottle"),
        Call::new("bookings", "bottle"),
    );
    let verdict = Verdict::of(&call, &answered(&answer_to(&other)));
    expect_that!(verdict, pat!(Verdict::Wrong(pat!(WrongAnswer::Foreign(_)))));
}

#[gtest]
fn the_outcomes_not_run_and_may_have_run_are_told_apart() {
    let call = Call::new("bookings", "bottle");
    let not_run = json!({"outcome": "not_run", "reason": "no_owner", "retry_after_ms": 5});
    let may_have_run = json!({"outcome": "may_have_run", "reason": "timeout"});
    let not_run = Verdict::of(&call, &outcome(503, &not_run));
    let may_have_run = Verdict::of(&call, &outcome(504, &may_have_run));
    expect_that!(not_run.says_not_run(), is_true());
    expect_that!(may_have_run, pat!(Verdict::MayHaveRun(_)));
}

#[gtest]
fn an_answer_that_is_neither_is_wrong() {
    let call = Call::new("bookings", "bottle");
    let verdict = Verdict::of(&call, &outcome(200, &json!({"fine": true})));
    expect_that!(
        verdict,
        pat!(Verdict::Wrong(pat!(WrongAnswer::Shape { .. })))
    );
}
