//! Failures between a caller and its entry.

mod callers_support;
mod common;

use std::sync::atomic::Ordering;

use callers_support::*;
use citronway::callers::CallersConfigBuilder;
use citronway::endpoints::clock::wall_now;
use citronway_core::ids::{Key, ServiceName};
use citronway_core::node::Event;
use citronway_core::outcome::{MayHaveRun, MayHaveRunReason, NotRun, NotRunReason, Outcome};
use citronway_core::request::Repeat;
use common::next;
use googletest::prelude::*;
use uuid::{NoContext, Timestamp, Uuid};

#[gtest]
fn request_is_passed_on_whole() {
    let mut bench = Bench::new();
    let id = Uuid::now_v7();
    let before = wall_now();
    let mut caller = bench.caller();
    caller.write(&post(
        &format!(
            "citronway-key: %C5%81%C3%B3d%C5%BA\r\nidempotency-key: {id}\r\n\
             citronway-timeout-ms: 5000\r\ncitronway-label-tenant: bank\r\ncontent-type: a/b\r\n"
        ),
        "bottle",
    ));
    let (ticket, req) = bench.request();
    expect_that!(req.id.0, eq(id));
    expect_that!(req.service, eq(&ServiceName::new("bookings")));
    expect_that!(req.key, eq(&Key::new("Łódź")));
    expect_that!(req.labels["tenant"], eq("bank"));
    expect_that!(req.repeat, eq(Repeat::NonIdempotent));
    expect_that!(req.deadline, ge(before.plus(5000)));
    expect_that!(req.deadline, le(wall_now().plus(5000)));
    expect_that!(req.method, eq("POST"));
    expect_that!(req.path, eq("/a%20b/c?d=e"));
    expect_that!(req.content_type, some(eq("a/b")));
    expect_that!(*req.body, eq(*b"bottle"));

    bench.reply(ticket, answered("done"));
    let answer = caller.read();
    expect_that!(answer.status(), eq(207));
    expect_that!(answer.header("citronway-outcome"), some(eq("answered")));
    expect_that!(
        answer.header("citronway-request-id"),
        some(eq(id.to_string().as_str()))
    );
    expect_that!(answer.header("content-type"), some(eq("text/csv")));
    expect_that!(answer.body, eq(b"done"));
    bench.stop();
}

/// Outcomes come back in another order than the requests came. A caller would
/// read another customer's answer, because answers went out in order of arrival.
#[gtest]
fn outcomes_out_of_order_reach_their_callers() {
    let mut bench = Bench::new();
    let mut callers = [bench.caller(), bench.caller()];
    let mut tickets = Vec::new();
    for caller in &mut callers {
        caller.write(GET);
        tickets.push(bench.request().0);
    }
    bench.reply(tickets[1], answered("second"));
    expect_that!(callers[1].read().body, eq(b"second"));
    bench.reply(tickets[0], answered("first"));
    expect_that!(callers[0].read().body, eq(b"first"));
}

#[gtest]
fn all_that_is_wrong_is_reported_together() {
    let bench = Bench::new();
    let headers =
        "citronway-timeout-ms: soon\r\ncitronway-label-a: \r\ncitronway-idempotent: no\r\n";
    let answer = bench.ask(&post(headers, "x"));
    expect_that!(answer.status(), eq(400));
    expect_that!(
        findings(&answer),
        elements_are![
            eq("header citronway-idempotent not_boolean"),
            eq("header citronway-key missing"),
            eq("header citronway-label-a empty"),
            eq("header citronway-timeout-ms not_milliseconds"),
            eq("header idempotency-key key_required"),
        ]
    );
}

#[gtest]
fn malformed_headers_are_refused() {
    let bench = Bench::new();
    let ahead = Timestamp::from_unix(NoContext, wall_now().0 / 1000 + 3600, 0);
    let id = "idempotency-key";
    let key = "citronway-key";
    for (name, value, problem) in [
        (id, Uuid::new_v4().to_string(), "not_uuid_v7"),
        (id, "7".to_owned(), "not_uuid_v7"),
        (id, Uuid::new_v7(ahead).to_string(), "ahead"),
        (id, format!("{0}\r\n{id}: {0}", Uuid::now_v7()), "repeated"),
        (key, "%C5".to_owned(), "bad_encoding"),
        (key, "100%".to_owned(), "bad_encoding"),
        (key, String::new(), "empty"),
        (key, "k".repeat(1025), "too_long"),
        (key, format!("a\r\n{key}: b"), "repeated"),
        ("citronway-timeout-ms", "0".to_owned(), "not_milliseconds"),
        ("citronway-label-x", "v".repeat(257), "too_long"),
    ] {
        let other = if name == key {
            String::new()
        } else {
            format!("{key}: k\r\n")
        };
        let headers = format!("citronway-idempotent: true\r\n{other}{name}: {value}\r\n");
        let answer = bench.ask(&post(&headers, ""));
        expect_that!(answer.status(), eq(400));
        expect_that!(
            findings(&answer),
            elements_are![eq(&format!("header {name} {problem}"))]
        );
    }
}

/// A caller sends a grant as if it were work, in various spellings. The
/// endpoint would take it for its dispatcher's word and serve keys that it does
/// not own.
#[gtest]
fn control_paths_are_closed_to_callers() {
    let bench = Bench::new();
    for path in [
        "citronway/grant",
        "/citronway/grant",
        "./citronway/grant",
        "x/../citronway/grant",
        "%63itronway/cancel",
        "%2e/CITRONWAY%2Frevoke",
        "x/%2E%2e/citronway/grant",
    ] {
        let answer = bench.ask(&booking("").replace("a%20b/c", path));
        expect_that!(answer.status(), eq(400), "{path}");
        expect_that!(findings(&answer), elements_are![eq("path reserved")]);
    }
}

#[gtest]
fn unknown_path_is_not_found() {
    let bench = Bench::new();
    for path in ["/", "/v1/service/x", "/v1/services/", "/v2"] {
        let answer = bench.ask(&GET.replace("/v1/services/lookups/oil", path));
        expect_that!(answer.status(), eq(404), "{path}");
    }
}

#[gtest]
fn large_body_is_refused() {
    let bench = Bench::new();
    let body = "x".repeat(MAX_BODY + 1);
    let stated = booking(&body);
    let chunk = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let chunked = booking(&chunk).replace("content-length: ", "transfer-encoding: chunked\r\nx: ");
    for text in [stated, chunked] {
        let answer = bench.ask(&text);
        expect_that!(answer.status(), eq(413));
        expect_that!(findings(&answer), elements_are![eq("body too_large")]);
    }
    let asked = booking(&body).replace("content-", "expect: 100-continue\r\ncontent-");
    let answer = bench.ask(asked.trim_end_matches(&body));
    expect_that!(answer.status(), eq(413));
}

/// A caller sends a body far above the limit and reads only then. It would see
/// a broken connection and not know whether its booking was made, because the
/// instance closed on a body that it had not read.
#[gtest]
fn refusal_reaches_a_caller_that_is_still_sending() {
    let bench = Bench::new();
    let body = "x".repeat(8 << 20);
    for text in [booking(&body), post("", &body)] {
        let mut caller = bench.caller();
        caller.write_whole(&text);
        expect_that!(caller.read().status(), eq(413));
    }
}

/// Callers send their bodies byte by byte. Others would be refused although the
/// instance is idle, because a body on its way counted as work in progress.
#[gtest]
fn slow_bodies_time_out_and_take_no_place_of_others() {
    let mut bench = Bench::with(|cfg| cfg.body_timeout_ms(NEAR_MS));
    let mut slow = [bench.caller(), bench.caller()];
    for caller in &mut slow {
        caller.write(booking("0123456789").trim_end_matches("123456789"));
    }
    let mut caller = bench.caller();
    caller.write(GET);
    let (ticket, _) = bench.request();
    bench.reply(ticket, answered("quick"));
    expect_that!(caller.read().status(), eq(207));
    for caller in &mut slow {
        let answer = caller.read();
        expect_that!(answer.status(), eq(408));
        expect_that!(findings(&answer), elements_are![eq("body too_slow")]);
    }
}

/// More callers connect than the instance has room for. It would take them all
/// and run out of file handles for its endpoints.
#[gtest]
fn connections_above_the_limit_wait() {
    let mut bench = Bench::with(|cfg| cfg.max_connections(1));
    let mut first = bench.caller();
    first.write(GET);
    let (ticket, _) = bench.request();
    let mut second = bench.caller();
    second.write(&GET.replace("key: k", "key: second"));
    bench.reply(ticket, answered("done"));
    first.read();
    first.write(&GET.replace("key: k", "key: again"));
    let (ticket, again) = bench.request();
    expect_that!(again.key, eq(&Key::new("again")));
    bench.reply(ticket, answered("done"));
    first.read();
    drop(first);
    expect_that!(bench.request().1.key, eq(&Key::new("second")));
}

/// Callers connect and never finish their headers. Nobody else would get in,
/// because they hold the connections that the instance takes.
#[gtest]
fn slow_headers_make_room_for_others() {
    let mut bench = Bench::with(|cfg| cfg.header_timeout_ms(NEAR_MS).max_connections(1));
    let mut slow = bench.caller();
    slow.write("GET /v1/serv");
    let mut caller = bench.caller();
    caller.write(GET);
    expect_that!(slow.until_closed(), eq(0));
    let (ticket, _) = bench.request();
    bench.reply(ticket, answered("quick"));
    expect_that!(caller.read().status(), eq(207));
}

/// A caller goes away within its body. Half a booking would be passed on as a
/// whole one.
#[gtest]
fn cut_body_is_never_passed_on() {
    let mut bench = Bench::new();
    let mut caller = bench.caller();
    caller.write(booking("0123456789").trim_end_matches("56789"));
    caller.finish_writing();
    caller.until_closed();
    bench.handle.stop();
    bench.handle.join();
    expect_that!(bench.events.blocking_recv(), none());
}

#[gtest]
fn caller_that_goes_is_reported() {
    let mut bench = Bench::new();
    let mut caller = bench.caller();
    caller.write(GET);
    let (ticket, _) = bench.request();
    drop(caller);
    expect_that!(next(&mut bench.events), eq(&Event::CallerGone { ticket }));
}

/// More requests wait than the instance can hold, or decisions fall behind and
/// their ring is full. Callers would wait in vain, because the instance took
/// what it could not carry.
#[gtest]
fn overload_is_refused_at_once() {
    for (in_flight, events_are_taken) in [(2, true), (100, false)] {
        let mut bench = Bench::with(|cfg| cfg.max_in_flight(in_flight));
        let mut callers = [bench.caller(), bench.caller()];
        for (sent, caller) in callers.iter_mut().enumerate() {
            caller.write(GET);
            if events_are_taken {
                bench.request();
            }
            while !events_are_taken && bench.events.len() <= sent {
                std::thread::yield_now();
            }
        }
        let refused = bench.ask(GET);
        expect_that!(refused.status(), eq(503));
        expect_that!(refused.header("retry-after"), some(eq("1")));
        expect_that!(refused.json()["outcome"], eq("not_run"));
        expect_that!(refused.json()["reason"], eq("overloaded"));
    }
}

/// Many callers send large bodies at once. The process would be killed for want
/// of memory and take everybody's answers with it.
#[gtest]
fn bodies_above_the_memory_of_all_are_refused() {
    let mut bench = Bench::with(|cfg| cfg.max_held_bytes(MAX_BODY));
    let mut caller = bench.caller();
    caller.write(&booking(&"x".repeat(MAX_BODY)));
    let (ticket, _) = bench.request();
    let refused = bench.ask(&booking("y"));
    expect_that!(refused.status(), eq(503));
    expect_that!(refused.json()["reason"], eq("overloaded"));
    bench.reply(ticket, answered("done"));
    expect_that!(caller.read().status(), eq(207));
    caller.write(&booking("z"));
    expect_that!(*bench.request().1.body, eq(*b"z"));
}

/// A client library repeats what has a `Retry-After`, for ever: an id that was used
/// for other work is refused each time. One of zero makes it do so without a pause.
#[gtest]
fn only_what_may_be_repeated_has_a_time_to_come_back() {
    let mut bench = Bench::new();
    for (reason, status, seconds) in [
        (NotRunReason::BadId, 409, None),
        (NotRunReason::CrashesEndpoints, 503, None),
        (NotRunReason::QueueFull, 503, Some("1")),
    ] {
        let mut caller = bench.caller();
        caller.write(GET);
        let (ticket, _) = bench.request();
        bench.reply(ticket, Outcome::NotRun(NotRun::new(reason, 0)));
        let answer = caller.read();
        expect_that!(answer.status(), eq(status));
        expect_that!(answer.header("retry-after"), eq(seconds));
    }
    let malformed = bench.ask("GET /v1/services/lookups/oil HTTP/1.1\r\n\r\n");
    expect_that!(malformed.status(), eq(400));
    expect_that!(bench.handle.malformed.load(Ordering::Relaxed), eq(1));
}

#[gtest]
fn outcomes_have_their_statuses() {
    use MayHaveRunReason as May;
    use NotRunReason as Not;
    let not_run = |reason, ms| Outcome::NotRun(NotRun::new(reason, ms));
    let may_have_run = |reason, retry_after_ms| {
        Outcome::MayHaveRun(MayHaveRun {
            reason,
            retry_after_ms,
        })
    };
    let mut bench = Bench::new();
    for (outcome, status, seconds, reason) in [
        (not_run(Not::QueueFull, 0), 503, "1", "queue_full"),
        (not_run(Not::Moving, 1001), 503, "2", "moving"),
        (
            not_run(Not::HotKeyLimited, 1000),
            429,
            "1",
            "hot_key_limited",
        ),
        (not_run(Not::EndpointShed, 1), 429, "1", "endpoint_shed"),
        (not_run(Not::Expired, 1), 504, "1", "expired"),
        (may_have_run(May::Timeout, 2500), 504, "3", "timeout"),
        (
            may_have_run(May::ConnectionLost, 1),
            502,
            "1",
            "connection_lost",
        ),
    ] {
        let mut caller = bench.caller();
        caller.write(GET);
        let (ticket, req) = bench.request();
        let name = outcome.name();
        bench.reply(ticket, outcome);
        let answer = caller.read();
        expect_that!(answer.status(), eq(status), "{reason}");
        expect_that!(answer.header("retry-after"), some(eq(seconds)));
        expect_that!(answer.header("citronway-outcome"), some(eq(name)));
        expect_that!(answer.json()["outcome"], eq(name));
        expect_that!(answer.json()["reason"], eq(reason));
        expect_that!(answer.json()["request_id"], eq(&req.id.to_string()));
    }
}

/// Decisions stop. A caller would wait for ever or be told that its migration
/// did not run, although it had been handed on.
#[gtest]
fn request_without_a_decision_may_have_run() {
    let grace = |cfg: CallersConfigBuilder| cfg.default_timeout_ms(1).reply_grace_ms(NEAR_MS);
    let mut bench = Bench::with(grace);
    let mut caller = bench.caller();
    caller.write(GET);
    let (ticket, _) = bench.request();
    let answer = caller.read();
    expect_that!(answer.status(), eq(504));
    expect_that!(answer.json()["outcome"], eq("may_have_run"));
    expect_that!(next(&mut bench.events), eq(&Event::CallerGone { ticket }));

    let mut bench = Bench::new();
    let mut caller = bench.caller();
    caller.write(GET);
    bench.request();
    drop(bench.replies);
    let answer = caller.read();
    expect_that!(answer.status(), eq(502));
    expect_that!(answer.json()["outcome"], eq("may_have_run"));
}

/// The instance is told to leave while a certificate is being made. The
/// connection would be cut and the certificate lost.
#[gtest]
fn shutdown_finishes_what_is_in_progress() {
    let mut bench = Bench::new();
    let mut caller = bench.caller();
    caller.write(GET);
    let (ticket, _) = bench.request();
    let mut idle = bench.caller();
    bench.handle.stop();
    expect_that!(idle.until_closed(), eq(0));
    bench.reply(ticket, answered("done"));
    expect_that!(caller.read().body, eq(b"done"));
    expect_that!(caller.until_closed(), eq(0));
    let address = bench.handle.local_addr;
    bench.handle.join();
    expect_that!(std::net::TcpStream::connect(address), err(anything()));
}

/// A caller asks for a large history and never reads it. The instance would
/// never finish its shutdown.
#[gtest]
fn caller_that_does_not_read_does_not_hold_up_shutdown() {
    let mut bench = Bench::with(|cfg| cfg.write_timeout_ms(NEAR_MS));
    let mut caller = bench.caller();
    caller.write(GET);
    let (ticket, _) = bench.request();
    bench.reply(ticket, answered(&"x".repeat(64 << 20)));
    bench.stop();
}

#[gtest]
fn health_follows_readiness() {
    let bench = Bench::new();
    let check = "GET /healthz HTTP/1.1\r\n\r\n";
    expect_that!(bench.ask(check).status(), eq(200));
    bench.ready.store(false, Ordering::Relaxed);
    expect_that!(bench.ask(check).status(), eq(503));
}
