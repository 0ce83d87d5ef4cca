//! Administration API: who may use it, and what becomes of a command.

mod support;

use std::sync::Arc;

use citronway::operators::answers::{ConfigAnswer, VersionAnswer};
use citronway::operators::{Fate, History, MAX_BODY_BYTES, MAX_VERSIONS, Refusal};
use citronway_core::config::{Config, Difference};
use citronway_core::ids::{EndpointName, GroupName, Version};
use googletest::prelude::*;
use http::{Method, StatusCode};

use support::client::{get, post, put_config, request};
use support::store::Fault;
use support::{Admin, FIRST, TOKEN, sample};

/// The sample with another label on `console-1`.
fn labelled(value: &str) -> Config {
    let mut config = sample();
    let endpoint = config
        .endpoints
        .get_mut(&EndpointName::new("console-1"))
        .unwrap();
    endpoint.labels.insert("tier".to_owned(), value.to_owned());
    config
}

fn texts(differences: &[Difference]) -> Vec<String> {
    differences.iter().map(ToString::to_string).collect()
}

/// Somebody without the token reads the configuration, or drains an endpoint.
#[gtest]
#[tokio::test]
async fn only_the_whole_token_lets_in() {
    let admin = Admin::start(&sample());
    let longer = format!("{TOKEN}x");
    for token in [
        None,
        Some(""),
        Some(&TOKEN[1..]),
        Some(&longer),
        Some("a-token-for-the-testS"),
    ] {
        for path in [
            "config",
            "config/stored",
            "assignment",
            "dispatchers",
            "endpoints",
        ] {
            let path = format!("/admin/v1/{path}");
            let reply = get(&admin, &path).token(token).send().await;
            expect_that!(reply.status, eq(StatusCode::UNAUTHORIZED));
        }
        let drain = post(&admin, "/admin/v1/endpoints/console-1/drain");
        let reply = drain.token(token).send().await;
        expect_that!(reply.status, eq(StatusCode::UNAUTHORIZED));
        expect_that!(reply.refusal().to_string(), contains_substring("token"));
    }
    expect_that!(admin.store.puts(), eq(0));
    for path in ["/metrics", "/healthz"] {
        let reply = get(&admin, path).token(None).send().await;
        expect_that!(reply.status, eq(StatusCode::OK));
    }
}

#[gtest]
#[tokio::test]
async fn a_query_of_the_configuration_carries_its_version() {
    let admin = Admin::start(&sample());
    for path in ["/admin/v1/config", "/admin/v1/config/stored"] {
        let reply = get(&admin, path).send().await;
        let answer: ConfigAnswer = reply.read();
        expect_that!(answer.version, eq(FIRST));
        expect_that!(*answer.config, eq(&sample()));
        expect_that!(reply.etag, some(eq("\"7\"")));
    }
}

/// An operator is told that a change is in force and acts on it, while another
/// instance still goes by the old configuration. Durable was taken for in force.
#[gtest]
#[tokio::test]
async fn accepted_and_in_force_are_told_apart() {
    let admin = Admin::start(&sample());
    admin.store.hold_back();
    let accepted = put_config(&admin, FIRST, &labelled("gold"))
        .await
        .accepted();
    expect_that!(accepted.version, eq(Version(9)));

    let version: VersionAnswer = get(&admin, "/admin/v1/version").send().await.read();
    expect_that!(version.accepted, eq(Version(9)));
    expect_that!(version.in_force, eq(FIRST));
    expect_that!(version.behind(Version(9)), len(eq(1)));
    expect_that!(version.behind(FIRST), is_empty());
}

/// A change is based on nothing and undoes what another operator did a moment
/// before. The command did not say which version it had seen.
#[gtest]
#[tokio::test]
async fn a_command_must_say_what_it_is_based_on() {
    let admin = Admin::start(&sample());
    for (method, path, body) in [
        (
            Method::PUT,
            "/admin/v1/config",
            serde_json::to_string(&sample()).unwrap(),
        ),
        (Method::POST, "/admin/v1/changes", "[]".to_owned()),
    ] {
        let reply = request(&admin, method, path).body(&body).send().await;
        expect_that!(reply.status, eq(StatusCode::PRECONDITION_REQUIRED));
    }
    expect_that!(admin.store.puts(), eq(0));
}

/// Two operators label the same endpoint at the same moment. The second must
/// not undo the first unseen: it is shown both changes.
#[gtest]
#[tokio::test]
async fn the_second_of_two_operators_sees_both_changes() {
    let admin = Admin::start(&sample());
    put_config(&admin, FIRST, &labelled("gold"))
        .await
        .accepted();
    let conflict = put_config(&admin, FIRST, &labelled("silver"))
        .await
        .conflict();

    expect_that!(conflict.fate, eq(Fate::NotWritten));
    expect_that!((conflict.expected, conflict.found), eq((FIRST, Version(9))));
    let changes = conflict.changes.unwrap();
    let label = |value| format!("~ endpoint console-1: label tier none -> `{value}`");
    expect_that!(texts(&changes.yours), elements_are![eq(&label("silver"))]);
    expect_that!(
        texts(&changes.theirs.unwrap()),
        elements_are![eq(&label("gold"))]
    );
    expect_that!(admin.store.config(), eq(&labelled("gold")));
}

/// An operator is told that a change failed, though it stands. The store took
/// it, and the answer was lost; or it landed after the first look at the row.
#[gtest]
#[tokio::test]
async fn a_write_whose_answer_is_lost_is_found_by_reading() {
    for fault in [Fault::AnswerLost, Fault::Dropped, Fault::LandsAfterReads(1)] {
        let admin = Admin::start(&sample());
        admin.store.fail_next(fault.clone());
        let reply = put_config(&admin, FIRST, &labelled("gold")).await;
        expect_that!(reply.accepted().version, eq(Version(9)), "{fault:?}");
        expect_that!(admin.store.puts(), eq(1), "{fault:?}");
        expect_that!(admin.metrics.control.writes_unknown.get(), eq(1));
    }
}

#[gtest]
#[tokio::test]
async fn the_first_configuration_is_based_on_version_0() {
    let admin = Admin::start_empty();
    let stored = get(&admin, "/admin/v1/config/stored").send().await;
    expect_that!(stored.read::<ConfigAnswer>().version, eq(Version(0)));
    admin.store.fail_next(Fault::LandsAfterReads(1));
    let first = put_config(&admin, Version(0), &sample()).await;
    expect_that!(first.accepted().version, eq(Version(2)));
    let second = put_config(&admin, Version(0), &labelled("gold")).await;
    expect_that!(second.conflict().found, eq(Version(2)));
}

/// An operator is told "refused", sends another change, and later the first one
/// lands. As long as the row has its old version, the write may still come.
#[gtest]
#[tokio::test]
async fn a_write_that_may_still_land_is_reported_as_unknown() {
    for (fault, down) in [(Fault::WriteLost, false), (Fault::AnswerLost, true)] {
        let admin = Admin::start(&sample());
        admin.store.fail_next(fault);
        admin.store.set_down(down);
        let reply = put_config(&admin, FIRST, &labelled("gold")).await;

        expect_that!(reply.status, eq(StatusCode::GATEWAY_TIMEOUT));
        let refusal = reply.refusal();
        expect_that!(
            refusal,
            matches_pattern!(Refusal::Unknown {
                expected: &FIRST,
                ..
            })
        );
        expect_that!(
            refusal.to_string(),
            contains_substring("may or may not have been accepted")
        );
        expect_that!(
            refusal.to_string(),
            contains_substring("/admin/v1/config/stored")
        );
        expect_that!(admin.store.puts(), eq(1));
    }
}

/// An operator is told "nothing was written", though the change stood until
/// another took its place. Its answer was lost, and the row shows the later one.
#[gtest]
#[tokio::test]
async fn a_lost_answer_with_a_later_change_is_not_called_not_written() {
    let admin = Admin::start(&sample());
    admin.store.hold_back();
    admin
        .store
        .fail_next(Fault::AnswerLostThenReplaced(labelled("silver")));
    let conflict = put_config(&admin, FIRST, &labelled("gold"))
        .await
        .conflict();
    expect_that!(conflict.fate, eq(Fate::MayHaveStood));
    expect_that!(conflict.found, eq(Version(11)));
    expect_that!(admin.store.puts(), eq(1));
}

/// The connection breaks after the change was accepted; the operator sends the
/// same command again and is told that it conflicts, with itself. If it has been
/// replaced meanwhile, "nothing was written" would be wrong as well.
#[gtest]
#[tokio::test]
async fn the_same_command_sent_again_gives_the_version_it_stands_at() {
    let admin = Admin::start(&sample());
    let first = put_config(&admin, FIRST, &labelled("gold"))
        .await
        .accepted();
    let again = put_config(&admin, FIRST, &labelled("gold"))
        .await
        .accepted();
    expect_that!(again.version, eq(first.version));
    expect_that!(admin.store.version(), eq(first.version));

    admin.store.accept(&labelled("silver"));
    let replaced = put_config(&admin, FIRST, &labelled("gold"))
        .await
        .conflict();
    expect_that!(replaced.fate, eq(Fate::Stood));
    expect_that!(admin.store.config(), eq(&labelled("silver")));
}

#[gtest]
#[tokio::test]
async fn a_wrong_configuration_is_refused_with_all_findings() {
    let admin = Admin::start(&sample());
    let mut config = sample();
    config
        .endpoints
        .get_mut(&EndpointName::new("console-1"))
        .unwrap()
        .slots = 0;
    config
        .groups
        .get_mut(&GroupName::new("console"))
        .unwrap()
        .endpoints = "app = = x".to_owned();
    let reply = put_config(&admin, FIRST, &config).await;
    expect_that!(reply.status, eq(StatusCode::UNPROCESSABLE_ENTITY));
    let Refusal::Findings { findings } = reply.refusal() else {
        panic!("{}", reply.text);
    };
    let places: Vec<&str> = findings
        .iter()
        .map(|finding| finding.place.as_str())
        .collect();
    expect_that!(places, contains(starts_with("endpoints.console-1.slots")));
    expect_that!(places, contains(starts_with("groups.console.endpoints")));
    expect_that!(admin.store.puts(), eq(0));
}

#[gtest]
#[tokio::test]
async fn a_malformed_or_endless_body_is_refused() {
    let admin = Admin::start(&sample());
    let put = |body: &str| {
        let request = request(&admin, Method::PUT, "/admin/v1/config").version(FIRST);
        request.body(body).send()
    };
    let reply = put("{\"servcies\": {}}").await;
    expect_that!(reply.status, eq(StatusCode::BAD_REQUEST));
    expect_that!(reply.refusal().to_string(), contains_substring("servcies"));
    let reply = put(&" ".repeat(MAX_BODY_BYTES + 1)).await;
    expect_that!(reply.status, eq(StatusCode::PAYLOAD_TOO_LARGE));
    expect_that!(admin.store.puts(), eq(0));
}

#[gtest]
#[tokio::test]
async fn a_write_that_was_never_sent_is_called_not_written() {
    let admin = Admin::start(&sample());
    admin.store.fail_next(Fault::Refused);
    let reply = put_config(&admin, FIRST, &labelled("gold")).await;
    expect_that!(reply.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(
        reply.refusal().to_string(),
        contains_substring("nothing was written")
    );
}

/// Half a change comes into force: an endpoint is relabelled and the one that
/// was to take its place is missing. One of the changes was wrong.
#[gtest]
#[tokio::test]
async fn changes_are_applied_all_or_none() {
    let admin = Admin::start(&sample());
    let drain = r#"{"change":"set_drain","name":"console-1","drain":true}"#;
    let wrong = r#"{"change":"set_drain","name":"console-9","drain":true}"#;
    let send = |body: String| {
        let request = post(&admin, "/admin/v1/changes").version(FIRST);
        async move { request.body(&body).send().await }
    };
    let reply = send(format!("[{drain},{wrong}]")).await;
    expect_that!(reply.status, eq(StatusCode::UNPROCESSABLE_ENTITY));
    expect_that!(reply.text, contains_substring("console-9"));
    expect_that!(admin.store.config(), eq(&sample()));

    expect_that!(
        send(format!("[{drain}]")).await.accepted().version,
        eq(Version(9))
    );
    expect_that!(
        admin.store.config().endpoints[&EndpointName::new("console-1")].drain,
        eq(true)
    );
}

/// An endpoint on fire is not drained because a colleague changed a label in
/// the same second. Draining depends on nothing else, so it is tried again.
#[gtest]
#[tokio::test]
async fn draining_goes_through_beside_another_change() {
    let admin = Admin::start(&sample());
    admin.store.fail_next(Fault::Overtaken(labelled("gold")));
    let path = "/admin/v1/endpoints/console-1/drain";
    let accepted = post(&admin, path).send().await.accepted();
    expect_that!(
        (accepted.version, accepted.changed),
        eq((Version(11), true))
    );

    let mut expected = labelled("gold");
    expected
        .endpoints
        .get_mut(&EndpointName::new("console-1"))
        .unwrap()
        .drain = true;
    expect_that!(admin.store.config(), eq(&expected));
    let again = post(&admin, path).send().await.accepted();
    expect_that!((again.version, again.changed), eq((Version(11), false)));

    let undrain = post(&admin, "/admin/v1/endpoints/console-1/undrain")
        .send()
        .await;
    expect_that!(undrain.accepted().changed, eq(true));
    let unknown = post(&admin, "/admin/v1/endpoints/nobody/drain")
        .send()
        .await;
    expect_that!(unknown.status, eq(StatusCode::UNPROCESSABLE_ENTITY));
}

/// An operator's undrain is undone by a drain that was sent before it. The
/// drain's answer was lost, and it was written once more on the newer version.
#[gtest]
#[tokio::test]
async fn a_drain_whose_answer_was_lost_is_not_written_again() {
    let admin = Admin::start(&sample());
    admin.store.hold_back();
    admin
        .store
        .fail_next(Fault::AnswerLostThenReplaced(sample()));
    let drain = post(&admin, "/admin/v1/endpoints/console-1/drain")
        .send()
        .await;
    expect_that!(drain.conflict().fate, eq(Fate::MayHaveStood));
    expect_that!(admin.store.config(), eq(&sample()));
    expect_that!(admin.store.puts(), eq(1));
}

/// A conflict shows a change that nobody made: two configurations that differ
/// in the order of their groups only were taken for the same.
#[gtest]
fn the_history_is_bounded_and_heeds_order() {
    let mut history = History::default();
    let mut turned = sample();
    turned.groups.reverse();
    history.keep(Version(3), &Arc::new(turned));
    let text = serde_json::to_string(&sample()).unwrap();
    expect_that!(history.find_after(Version(1), &text), none());
    history.keep(Version(5), &Arc::new(sample()));
    expect_that!(history.find_after(Version(1), &text), some(eq(Version(5))));
    expect_that!(history.find_after(Version(5), &text), none());

    for version in 10..100 {
        history.keep(Version(version), &Arc::default());
    }
    let oldest_kept = 100 - u64::try_from(MAX_VERSIONS).unwrap();
    expect_that!(history.get(Version(oldest_kept)), some(anything()));
    expect_that!(history.get(Version(oldest_kept - 1)), none());
    expect_that!(history.newest(), eq(Version(99)));
}
