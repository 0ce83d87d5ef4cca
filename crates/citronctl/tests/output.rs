//! What people and programs see.

mod ctl;
#[path = "../../citronway/tests/support/mod.rs"]
mod support;

use std::path::{Path, PathBuf};
use std::sync::Arc;

use citronway::operators::Snapshot;
use citronway::operators::snapshot::{EndpointState, Health, HoldRole, HoldState, Versioned};
use citronway_core::ids::{EndpointName, Epoch, Session, Version, ZoneName};
use citronway_core::node::replay::{event_line, header_line};
use citronway_core::node::{Event, NodeSettings};
use citronway_core::shard::DispatchRow;
use citronway_core::time::{Mono, Now, Wall};
use googletest::prelude::*;
use serde_json::Value;

use ctl::{Run, run, run_at, run_line};
use support::{Admin, FIRST, sample, snapshot};

/// An instance that dispatches `console-1`, which does not answer.
fn published() -> Snapshot {
    let endpoint = EndpointName::new("console-1");
    let mut snapshot = snapshot(&sample(), FIRST);
    snapshot.dispatch.push(Versioned {
        version: Version(3),
        row: Arc::new(DispatchRow {
            endpoint: endpoint.clone(),
            dispatcher: Session::new("entry-1", 1),
            epoch: Epoch(4),
            successors: vec![Session::new("entry-2", 5), Session::new("entry-3", 6)],
            former: Vec::new(),
            floor: Wall(0),
        }),
    });
    snapshot.holds.push(HoldState {
        endpoint: endpoint.clone(),
        role: HoldRole::Dispatcher,
        may_act: true,
        age_ms: 120,
    });
    snapshot.endpoints.push(EndpointState {
        endpoint,
        health: Health::Lost,
        draining: false,
        slots: 6,
        running: 2,
        queued: 11,
        limit: 3,
    });
    snapshot
}

fn admin() -> Admin {
    let admin = Admin::start(&sample());
    admin.publisher.send_replace(Arc::new(published()));
    admin
}

/// The words of the line that begins with `name`.
fn line(run: &Run, name: &str) -> Vec<String> {
    let line = run
        .out
        .lines()
        .find(|line| line.trim_start().starts_with(name));
    let words = line.unwrap_or_default().split_whitespace();
    words.map(ToOwned::to_owned).collect()
}

#[gtest]
fn tables_are_for_people() {
    let admin = admin();
    let endpoints = run_line(&admin, "get endpoints");
    expect_that!(
        line(&endpoints, "console-1").join(" "),
        eq("console-1 north lost no 6 3 2 11 0 entry-1 app=console")
    );
    expect_that!(line(&endpoints, "console-2")[2], eq("-"));
    let dispatchers = run_line(&admin, "get dispatchers");
    expect_that!(
        line(&dispatchers, "console-1").join(" "),
        eq("console-1 entry-1#1 4 entry-2,entry-3 yes")
    );
    let config = run_line(&admin, "get config");
    expect_that!(config.out, starts_with("configuration version 7\n"));
    expect_that!(
        line(&config, "migrations").join(" "),
        starts_with("migrations 256 batch 1,1,1")
    );
    let version = run_line(&admin, "get version");
    expect_that!(
        line(&version, "entry-1").join(" "),
        eq("entry-1 north 7 yes")
    );
}

#[gtest]
fn json_is_for_programs() {
    let admin = admin();
    for what in [
        "config",
        "assignment",
        "dispatchers",
        "endpoints",
        "instances",
        "version",
    ] {
        let shown = run(&admin, &["get", what, "--output", "json"]);
        expect_that!(shown.code, eq(0));
        expect_that!(
            serde_json::from_str::<Value>(&shown.out),
            ok(anything()),
            "{what}"
        );
    }
    let status = run_line(&admin, "status --output json");
    let status: Value = serde_json::from_str(&status.out).unwrap();
    expect_that!(status["unwell"][0], eq(&Value::from("console-1 (lost)")));
}

#[gtest]
fn status_says_what_needs_a_look() {
    let admin = Admin::start(&sample());
    expect_that!(run_line(&admin, "status").out, ends_with("all is well\n"));
    admin.publisher.send_replace(Arc::new(published()));
    let status = run_line(&admin, "status");
    expect_that!(
        status.out,
        contains_substring("needs a look:\n  endpoint console-1 (lost)")
    );
}

#[gtest]
fn completion_scripts_call_the_program() {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    for shell in ["bash", "zsh", "fish"] {
        let script = run_at(nowhere, None, &["completion", shell]);
        expect_that!(script.code, eq(0));
        expect_that!(script.out, contains_substring("bpaf-complete"), "{shell}");
    }
}

fn trace(name: &str) -> PathBuf {
    let folder = match name.split_once('-') {
        Some(("placement", _)) => "../../tests/traces",
        _ => "../citronway-core/tests/traces",
    };
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join(folder)
        .join(name)
}

fn replay(args: &[&str]) -> Run {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let all = [&["replay"], args].concat();
    run_at(nowhere, None, &all)
}

/// A decision changes unnoticed with a new release. Recorded events, run again,
/// must give the outcomes that were stated for them, or the exit code says so.
#[gtest]
fn a_replay_compares_with_the_stated_outcomes() {
    let events = trace("config-two-operators.jsonl");
    let events = events.to_str().unwrap();
    let same = replay(&[events, "--machine", "config"]);
    expect_that!(same.err, eq(""));
    expect_that!(same.out, starts_with("same outcomes"));

    let other = trace("config-thaw.expected.json");
    let differs = replay(&[
        events,
        "--machine",
        "config",
        "--expected",
        other.to_str().unwrap(),
    ]);
    expect_that!(differs.code, eq(1));
    expect_that!(differs.err, contains_substring("differs\n  stated"));

    let unnamed = replay(&[events]);
    expect_that!(unnamed.code, eq(1));
    expect_that!(unnamed.err, contains_substring("say --machine"));
}

#[gtest]
fn traces_of_each_machine_are_replayed() {
    for (name, machine) in [
        ("config-lost-answer.jsonl", "config"),
        ("dispatch-takeover-floor.jsonl", "dispatcher"),
        ("placement-two-planners.jsonl", "planner"),
    ] {
        let same = replay(&[trace(name).to_str().unwrap(), "--machine", machine]);
        expect_that!(same.err, eq(""));
        expect_that!(same.out, starts_with("same outcomes"), "{name}");
    }
}

#[gtest]
fn traces_of_holds_are_replayed() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("hold.jsonl");
    std::fs::write(
        &path,
        "{\"machine\":\"hold\"}\n{\"seed\":3,\"end_ms\":2000}\n",
    )
    .unwrap();
    let shown = replay(&[path.to_str().unwrap()]);
    expect_that!(shown.err, eq(""));
    expect_that!(shown.out, contains_substring("\"instance\""));
}

/// An operator has the record of an instance and no tool that reads it.
#[gtest]
fn traces_of_whole_instances_are_replayed() {
    let session = Session::new("entry-1", 7);
    let settings = NodeSettings::default();
    let header = header_line(&session, &ZoneName::new("north"), &settings).unwrap();
    let now = Now {
        mono: Mono(5),
        wall: Wall(5),
    };
    let tick = event_line(&Event::Tick, now).unwrap();
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("node.jsonl");
    std::fs::write(&path, format!("{header}\n{tick}\n")).unwrap();
    let shown = replay(&[path.to_str().unwrap()]);
    expect_that!(shown.err, eq(""));
    expect_that!(shown.out, contains_substring("\"broadcast\": 1"));
}

#[gtest]
fn a_trace_names_its_machine_in_the_first_line() {
    let text = std::fs::read_to_string(trace("config-two-operators.jsonl")).unwrap();
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("headed.jsonl");
    std::fs::write(&path, format!("{{\"machine\":\"config\"}}\n{text}")).unwrap();
    let shown = replay(&[path.to_str().unwrap()]);
    let decided: Value = serde_json::from_str(&shown.out).unwrap();
    expect_that!(decided.as_array().unwrap().len(), eq(text.lines().count()));

    std::fs::write(&path, "{\"machine\":\"oracle\"}\n").unwrap();
    expect_that!(
        replay(&[path.to_str().unwrap()]).err,
        contains_substring("oracle")
    );
}
