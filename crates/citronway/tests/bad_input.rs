//! Bad input of each kind, with what is said about it. Nothing changes by it:
//! settings, labels and selectors, requests, platform answers, peer messages.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use capnp::message::TypedBuilder;
use citronway::callers::{self, CallersConfig};
use citronway::platform::{HttpPlatform, Platform, PlatformConfig};
use citronway::settings;
use citronway_core::config::{Config, check};
use citronway_wire::convert::read_message;
use citronway_wire::peer_capnp::peer_message;
use common::{Peer, listener};
use googletest::prelude::*;
use tokio::sync::mpsc::channel;

/// Settings that are right but for the line that is put in.
const SETTINGS: &str = "[instance]
name = entry-1
zone = north
callers_listen = 127.0.0.1:7000
peers_listen = 127.0.0.1:7001
operators_listen = 127.0.0.1:7002
[platform]
address = 127.0.0.1:7100
[peers]
shared_key = abcdefghijklmnopqrstuvwxyz012345
[operators]
token = abcdefghijklmnopqrstuvwxyz012345
";

const BAD_SETTINGS: &[(&str, &str)] = &[
    (
        "[hold]\npromise_ms = soon",
        "hold.promise_ms: `soon` is not a whole number",
    ),
    (
        "[hold]\npromise_ms = 1",
        "hold.promise_ms: 1 is out of range",
    ),
    ("[hold]\nlength_ms = 800", "hold.length_ms"),
    ("[holding]\npromise_ms = 800", "holding"),
    ("[dispatch]\npolicy = all", "dispatch.policy: `all`"),
    ("[log]\nlevel = loud", "log.level: `loud`"),
    (
        "[dispatch]\ngrant_ms = 400",
        "dispatch.grant_ms: does not go with `dispatch.renew_ms`",
    ),
];

/// A configuration that is right but for what replaces the part in the middle.
fn config(group: &str, endpoint_labels: &str) -> String {
    format!(
        r#"{{"services":{{"intake":{{"default_class":"batch"}}}},"classes":{{"batch":{{"priority":1}}}},
        "groups":{{"labs":{{"service":"intake",{group}}}}},
        "endpoints":{{"lab-1":{{"address":"127.0.0.1:9","zone":"north","slots":2,"labels":{endpoint_labels}}}}}}}"#
    )
}

const GOOD_LABELS: &str = r#"{"app":"lab"}"#;

const BAD_SELECTORS: &[(&str, &str)] = &[
    (r#""endpoints":"""#, "groups.labs.endpoints"),
    (r#""endpoints":"app in ()""#, "groups.labs.endpoints"),
    (r#""endpoints":"app=lab,app=mill""#, "groups.labs.endpoints"),
    (r#""endpoints":"tier=gold""#, "groups.labs.endpoints"),
    (r#""endpoints":"app=mill""#, "groups.labs.endpoints"),
    (
        r#""endpoints":"app=lab","keys":"part0=a,!part0""#,
        "groups.labs.keys",
    ),
    (
        r#""endpoints":"app=lab","callers":"=x""#,
        "groups.labs.callers",
    ),
];

const BAD_LABELS: &[(&str, &str)] = &[
    (r#"{"app":"lab","":"x"}"#, "endpoints.lab-1.labels"),
    (r#"{"app":"lab","two words":"x"}"#, "endpoints.lab-1.labels"),
    (
        r#"{"app":"lab","tier":"gold,silver"}"#,
        "endpoints.lab-1.labels",
    ),
];

const BAD_REQUESTS: &[(&str, u16, &str)] = &[
    (
        "GET /v1/services/intake/x HTTP/1.1\r\n\r\n",
        400,
        "citronway-key",
    ),
    (
        "POST /v1/services/intake/x HTTP/1.1\r\ncitronway-key: k\r\n\r\n",
        400,
        "idempotency-key",
    ),
    (
        "POST /v1/services/intake/x HTTP/1.1\r\ncitronway-key: k\r\nidempotency-key: 7\r\n\r\n",
        400,
        "idempotency-key",
    ),
    (
        "GET /v1/services/intake/x HTTP/1.1\r\ncitronway-key: k\r\ncitronway-timeout-ms: soon\r\n\r\n",
        400,
        "citronway-timeout-ms",
    ),
    (
        "GET /v2/other HTTP/1.1\r\ncitronway-key: k\r\n\r\n",
        404,
        "bad_request",
    ),
    (
        "GET /v1/services/intake/x HTTP/1.1\r\ncitronway-key: k\r\ncontent-length: 4096\r\n\r\n",
        413,
        "bad_request",
    ),
];

const BAD_PLATFORM_ANSWERS: &[&str] = &[
    "not json",
    r#"{"rows":7}"#,
    r#"{"rows":[{"at":{"table":"config"},"version":1,"value":"x"}]}"#,
    r#"{"rows":[{"at":{"table":"config","key":"head"},"version":-1,"value":"x"}]}"#,
];

#[gtest]
fn settings_say_what_is_wrong_and_where() {
    expect_that!(settings::parse("entry.ini", SETTINGS).is_ok(), is_true());
    for (lines, said) in BAD_SETTINGS {
        let findings = settings::parse("entry.ini", &format!("{SETTINGS}{lines}\n"));
        let text = findings.err().map(|findings| findings.to_string());
        expect_that!(text, some(contains_substring(*said)), "{lines}");
    }
}

#[gtest]
fn selectors_and_labels_are_refused_with_their_place() {
    expect_that!(
        found(&config(r#""endpoints":"app=lab""#, GOOD_LABELS)),
        eq("")
    );
    for (group, place) in BAD_SELECTORS {
        expect_that!(
            found(&config(group, GOOD_LABELS)),
            contains_substring(*place),
            "{group}"
        );
    }
    for (labels, place) in BAD_LABELS {
        let text = found(&config(r#""endpoints":"app=lab""#, labels));
        expect_that!(text, contains_substring(*place), "{labels}");
    }
}

fn found(text: &str) -> String {
    let config: Config = serde_json::from_str(text).expect("a configuration by its shape");
    check(&config).to_string()
}

#[gtest]
fn requests_are_refused_as_not_run_and_reach_no_decision() {
    let cfg = CallersConfig::builder(([127, 0, 0, 1], 0).into()).max_body_bytes(100);
    let (_replies, replies) = channel(4);
    let (events_tx, mut events) = channel(4);
    let ready = Arc::new(AtomicBool::new(true));
    let handle = callers::start(cfg.build(), replies, events_tx, ready).expect("a thread");
    for (request, status, said) in BAD_REQUESTS {
        let mut caller = Peer::connect(handle.local_addr);
        caller.write(request);
        let answer = caller.read();
        expect_that!(answer.status(), eq(*status), "{request}");
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        expect_that!(body, contains_substring("\"not_run\""), "{request}");
        expect_that!(body, contains_substring(*said), "{request}");
    }
    expect_that!(events.try_recv().is_err(), is_true());
}

#[gtest]
fn platform_answers_that_cannot_be_read_are_errors() {
    for body in BAD_PLATFORM_ANSWERS {
        let (listener, address) = listener();
        let platform = HttpPlatform::new(&PlatformConfig::builder(address).build());
        let served = std::thread::spawn(move || {
            let mut peer = Peer::accept(&listener);
            peer.read();
            peer.answer(200, "", body);
        });
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let read = runtime.block_on(platform.read_table("config"));
        expect_that!(read.is_err(), is_true(), "{body}");
        served.join().expect("served");
    }
}

#[gtest]
fn peer_messages_that_are_incomplete_are_refused_with_the_field() {
    let mut message = TypedBuilder::<peer_message::Owned>::new_default();
    message.init_root().init_probe();
    let read = read_message(message.get_root_as_reader().expect("a message"));
    let error = read.err().map(|error| error.to_string());
    expect_that!(error, some(eq("probe.endpoint is missing")));
}
