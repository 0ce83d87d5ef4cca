//! Logs: one JSON object a line, with no secrets and no bodies.

use citronway::logs::{HIDDEN, Origin, format};
use citronway_core::ids::{InstanceName, ZoneName};
use googletest::prelude::*;
use log::{Level, Record};
use serde_json::{Value, json};

const TIME: &str = "2026-03-01T08:00:00.125Z";

fn origin() -> Origin {
    Origin {
        instance: InstanceName::new("entry-1"),
        zone: ZoneName::new("north"),
    }
}

fn line(message: &str, fields: &[(&str, log::kv::Value<'_>)]) -> Value {
    let text = format(
        TIME,
        &origin(),
        &Record::builder()
            .args(format_args!("{message}"))
            .level(Level::Warn)
            .target("citronway::callers")
            .key_values(&fields)
            .build(),
    )
    .unwrap();
    assert!(!text.contains('\n'), "one line");
    serde_json::from_str(&text).unwrap()
}

#[gtest]
fn a_line_has_the_origin_and_typed_fields() {
    let fields = [
        ("request_id", log::kv::Value::from("018f-a")),
        ("outcome", log::kv::Value::from("not_run")),
        ("waited_ms", log::kv::Value::from(12_u64)),
        ("retried", log::kv::Value::from(true)),
    ];
    expect_that!(
        line("given \"up\"\nat last", &fields),
        eq(&json!({
            "time": TIME,
            "level": "WARN",
            "instance": "entry-1",
            "zone": "north",
            "target": "citronway::callers",
            "message": "given \"up\"\nat last",
            "request_id": "018f-a",
            "outcome": "not_run",
            "waited_ms": 12,
            "retried": true,
        }))
    );
}

/// A token stands readable in the log store, where all staff may read. A call
/// handed the request's headers or body to the logger as a field.
#[gtest]
fn secrets_and_bodies_are_hidden() {
    for name in [
        "token",
        "authorization",
        "body",
        "password",
        "secret",
        "value",
    ] {
        let line = line("x", &[(name, log::kv::Value::from("hush"))]);
        expect_that!(line[name], eq(&json!(HIDDEN)), "{name}");
    }
}

/// A collector keeps only one of two fields of the same name, so the line shows
/// a wrong level. A call named its own field like one that each line has.
#[gtest]
fn a_field_does_not_displace_one_of_the_line() {
    let line = line("x", &[("level", log::kv::Value::from("high"))]);
    expect_that!(line["level"], eq(&json!("WARN")));
    expect_that!(line["field_level"], eq(&json!("high")));
}
