//! The story of a request from recorded logs.

use std::path::PathBuf;

use citronctl::explain;
use googletest::prelude::*;

fn log(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/logs")
        .join(name)
}

/// A caller of a request that may be repeated gets a 502 after 3.6 s. Its instance was
/// cut off from store and leader; the endpoint broke a first try off and had given the
/// key away by the second. The story has to show that the instance's row was old.
#[gtest]
fn a_request_at_an_instance_that_was_cut_off_is_explained() {
    let story = explain::run("69d8cf5f3f9464ee", &[log("cut-off.jsonl")]).expect("a story");
    let lines: Vec<_> = story.lines().collect();
    expect_that!(lines[1], contains_substring("front-waw-b-1 believed at"));
    let believed = "owners of volo44a: assignment moving=2 ranges=224 service=volo44a version=342 (617 ms old)";
    expect_that!(lines, contains(contains_substring(believed)));
    let lost = lines
        .iter()
        .position(|line| line.contains("* front-waw-b-1: store lost"));
    let refused = lines
        .iter()
        .position(|line| line.contains("refusal=Misdirected"));
    expect_that!(lost, some(anything()));
    expect_that!(lost, lt(refused));
    expect_that!(
        *lines.last().expect("a line"),
        contains_substring("may have run cause=")
    );
    // Other instances and what has nothing to do with it are left out.
    expect_that!(story, not(contains_substring("front-waw-a-1: ")));
}

#[gtest]
fn a_request_that_no_log_names_is_an_error_that_says_what_was_read() {
    let failure = explain::run("none", &[log("cut-off.jsonl")]).expect_err("no story");
    expect_that!(
        failure.to_string(),
        contains_substring("lines names request none")
    );
    let failure = explain::run("none", &[log("missing.jsonl")]).expect_err("no file");
    expect_that!(failure.to_string(), contains_substring("missing.jsonl"));
}
