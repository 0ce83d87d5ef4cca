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

/// A caller's request is refused at once by an instance that has not sent it. Work like it, under
/// two other ids, had crashed three endpoints, one of them from another instance. The story has
/// to show these crashes and when the work was taken as harmful.
#[gtest]
fn a_refusal_of_work_that_crashes_endpoints_is_explained() {
    let story = explain::run("bad-99", &[log("crashes.jsonl")]).expect("a story");
    let lines: Vec<_> = story.lines().collect();
    let refused = "refused, not run ms=0 reason=crashes_endpoints work=fa3ab22ec5ffced3";
    expect_that!(lines, contains(contains_substring(refused)));
    let crashes: Vec<_> = lines
        .iter()
        .filter(|line| line.contains("endpoint ended with the request"))
        .collect();
    expect_that!(
        crashes,
        elements_are![
            all!(
                contains_substring("one: "),
                contains_substring("request=bad-0")
            ),
            all!(
                contains_substring("one: "),
                contains_substring("request=bad-0")
            ),
            all!(
                contains_substring("two: "),
                contains_substring("request=bad-1")
            ),
        ]
    );
    let harmful = "work is taken as harmful crashes=3 refused_ms=22971 times=1";
    expect_that!(lines, contains(contains_substring(harmful)));
}

/// A caller gets a 502. Its instance had been told to stop 0.9 s before the request came;
/// an endpoint refused it twice, since it did not hold the key any more, and the next one
/// had not answered when the grace was nearly over. The story has to show the signal, the
/// stages of the stop, and where the work stood.
#[gtest]
fn a_request_at_an_instance_that_stops_is_explained() {
    let story = explain::run("49c6fbf4ca4fd456", &[log("stop.jsonl")]).expect("a story");
    let lines: Vec<_> = story.lines().collect();
    let told = "    own life: asked to stop grace_ms=6000 (";
    expect_that!(lines, contains(starts_with(told)));
    let place = |text: &str| lines.iter().position(|line| line.contains(text));
    let order = [
        "endpoint did not run it",
        "* front-waw-b-7: what has no answer gets one now answering=0 at_endpoint=1",
        "broken off by the stop endpoint=",
        "may have run cause=the instance stopped before the endpoint answered",
    ];
    let places = order.map(place);
    expect_that!(places, each(some(anything())), "{story}");
    expect_that!(places.is_sorted(), eq(true), "{story}");
    let broken = lines[places[2].expect("it is there")];
    expect_that!(broken, contains_substring("stage=at_endpoint"));
    expect_that!(broken, contains_substring("stage_ms="));
    expect_that!(lines.last(), some(contains_substring("reason=stopped")));
    // Other requests are left out.
    expect_that!(story, not(contains_substring("status=200")));
}

/// A caller's request is refused for a key with more load than its owner can serve. The leader, which
/// is another instance, had divided the keys around it a moment before and another service's long
/// before. The story has to show the first only.
#[gtest]
fn a_refusal_beside_a_division_of_a_hot_range_is_explained() {
    let story = explain::run("hot-1", &[log("division.jsonl")]).expect("a story");
    let lines: Vec<_> = story.lines().collect();
    expect_that!(story, contains_substring("reason=key_overloaded"));
    let ended = "two: division of a hot range ended";
    let told: Vec<_> = lines.iter().filter(|line| line.contains(ended)).collect();
    expect_that!(told, elements_are![contains_substring("known_ms=743")]);
    let left = "two: neighbors leave a key that no endpoint can serve";
    expect_that!(lines, contains(contains_substring(left)));
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

/// A request is refused for lack of memory. The story has to show what the instance knew of its
/// memory then.
#[gtest]
fn a_refusal_for_lack_of_memory_is_explained() {
    let story = explain::run("slow-59-4", &[log("memory.jsonl")]).expect("a story");
    let believed = "pressure on memory: pressure on memory changed answers_kb=49416";
    expect_that!(story, contains_substring(believed));
    expect_that!(
        story,
        contains_substring("reason=out_of_memory retry_after_ms=2000")
    );
}

/// Guards against a story that takes more memory with each line of the request, without end.
#[gtest]
fn a_request_with_many_lines_is_explained() {
    let line = |n: usize| {
        let time = format!("2026-12-04T02:05:{:02}.{:03}Z", n / 10, n % 10 * 100);
        format!(
            r#"{{"time":"{time}","instance":"one","message":"endpoint did not run it","request":"r","endpoint":"i-{n}"}}"#
        )
    };
    let text: Vec<_> = (0..200).map(line).collect();
    let path = std::env::temp_dir().join(format!("citronctl-{}.jsonl", std::process::id()));
    std::fs::write(&path, text.join("\n")).expect("a log can be written");
    let story = explain::run("r", std::slice::from_ref(&path)).expect("a story");
    std::fs::remove_file(&path).expect("the log can be removed");
    expect_that!(story.lines().count(), eq(203));
}

/// Guards against a refusal for want of a second send that reads like one by the endpoint alone.
#[gtest]
fn a_request_that_is_not_sent_again_is_explained() {
    let story = explain::run("6fb1b9ce", &[log("second-sends.jsonl")]).expect("a story");
    for part in [
        "second sends of schedules: second sends of a service are used up",
        "no second send left cause=rejected instances=11",
        "source=listed",
        "reason=endpoint_refused",
    ] {
        expect_that!(story, contains_substring(part));
    }
}

/// Guards against a refusal of which nothing shows whether the demand of all instances decided it.
#[gtest]
fn a_refusal_shows_the_demand_that_decided_it() {
    let text = concat!(
        r#"{"time":"2026-12-04T02:05:01.000Z","instance":"one","message":"admission by the demand of all instances","instances":80}"#,
        "\n",
        r#"{"time":"2026-12-04T02:05:01.500Z","instance":"one","message":"no place found","request":"r","rank":2,"demand":"urgent 40, equal 9, of these here 1"}"#,
    );
    let path = std::env::temp_dir().join(format!("citronctl-demand-{}.jsonl", std::process::id()));
    std::fs::write(&path, text).expect("a log can be written");
    let story = explain::run("r", std::slice::from_ref(&path)).expect("a story");
    std::fs::remove_file(&path).expect("the log can be removed");
    expect_that!(
        story,
        contains_substring(
            "admission: admission by the demand of all instances instances=80 (500 ms old)"
        )
    );
    expect_that!(
        story,
        contains_substring("demand=urgent 40, equal 9, of these here 1 rank=2")
    );
}

/// Guards against a late answer of which the story does not say how its endpoint was chosen.
#[gtest]
fn a_choice_by_expected_end_is_explained() {
    let lines = [
        r#"{"time":"2026-12-04T02:05:01.000Z","instance":"one","message":"endpoints are chosen by expected end","service":"open"}"#,
        r#"{"time":"2026-12-04T02:05:01.000Z","instance":"one","message":"endpoints are chosen by expected end","service":"other"}"#,
        r#"{"time":"2026-12-04T02:05:03.000Z","instance":"one","message":"answered after its objective","request":"r","service":"open","endpoint":"i-1","urgency":"urgent","expected_ms":210,"left_ms":480,"late_ms":35}"#,
    ];
    let name = format!("citronctl-timed-{}.jsonl", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, lines.join("\n")).expect("a log can be written");
    let story = explain::run("r", std::slice::from_ref(&path)).expect("a story");
    std::fs::remove_file(&path).expect("the log can be removed");
    let believed = "choice of endpoints of open: endpoints are chosen by expected end service=open";
    expect_that!(story, contains_substring(believed));
    expect_that!(story, contains_substring("expected_ms=210"));
    expect_that!(story, not(contains_substring("service=other")));
}

/// Guards against an answer that its caller did not get whole and that reads like one that it got.
#[gtest]
fn an_answer_that_ended_early_is_explained() {
    let story = explain::run("unread", &[log("cut-answer.jsonl")]).expect("a story");
    let told = "answer ended before it was whole cause=stall length=40000 sent=40000 unsent=36058";
    expect_that!(story, contains_substring(told));
}
