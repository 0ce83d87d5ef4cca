//! Versions of the configuration: recorded traces against their stated outcomes.

use std::path::Path;

use citronway_core::config::version::{Decision, InForce, RecordedEvent, replay};
use citronway_core::config::{ConfigAction, ConfigEvent};
use citronway_core::ids::{InstanceName, Version};
use citronway_core::outcome::NotRunReason;
use citronway_core::time::Mono;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Text of a file among the traces.
fn read(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/traces")
        .join(name);
    std::fs::read_to_string(path).expect(name)
}

/// Replays a trace and compares each decision with the stated one.
fn expect_trace(name: &str) {
    let recorded = read(&format!("{name}.jsonl"));
    let events: Vec<RecordedEvent> = recorded
        .lines()
        .map(|line| serde_json::from_str(line).expect(line))
        .collect();
    let stated = read(&format!("{name}.expected.json"));
    let stated: Vec<Decision> = serde_json::from_str(&stated).expect("stated decisions");
    expect_that!(replay(&events), container_eq(stated));
}

#[gtest]
fn an_old_row_never_reverts_an_accepted_change() {
    // An operator's change is accepted and in force. The store fails, comes
    // back from an older state and answers reads with the old row, or with
    // none. Users would be served by the old selectors again.
    expect_trace("config-old-row");
}

#[gtest]
fn of_two_operators_the_later_version_stays() {
    // Two operators change the configuration one after the other. The second
    // version reaches an instance first; the first one follows late, sent by a
    // peer that lags. Users of this instance would lose the second change.
    expect_trace("config-two-operators");
}

#[gtest]
fn a_write_whose_answer_was_lost_comes_into_force_by_reading() {
    // An operator's write takes effect but its answer is lost. An instance
    // hears of the version from a peer and asks the store; the first answer was
    // under way since before the write and is old. It asks again.
    expect_trace("config-lost-answer");
}

#[gtest]
fn a_thawed_instance_serves_only_after_fresh_news() {
    // An instance freezes for a minute, in which the configuration changes. It
    // thaws and finds a heartbeat and a store's answer from before the freeze
    // in its buffers. Taken for news, they would make it serve by old selectors.
    expect_trace("config-thaw");
}

#[gtest]
fn an_instance_that_cannot_get_a_known_version_stops_serving() {
    // A peer announces a newer version and is lost before it can send it, and
    // the store is down. Elsewhere callers are served by the newer version, so
    // after five seconds this instance answers "not run".
    expect_trace("config-unreachable-version");
}

#[gtest]
fn an_instance_that_hears_nothing_stops_serving() {
    // An instance is cut off from the store and all peers. The balancer still
    // sends it callers. After five seconds it answers "not run", and serves
    // again once the store answers.
    expect_trace("config-silence");
}

#[gtest]
fn a_peer_that_is_behind_is_no_news() {
    // An instance is cut off together with a peer that was cut off earlier and
    // is a version behind. They hear each other, and nobody else. Callers of
    // this instance would be served by an old configuration without end.
    expect_trace("config-lagging-peer");
}

#[gtest]
fn an_instance_two_versions_behind_goes_on_to_the_last() {
    // Two changes follow each other while an instance fetches the first. It
    // must ask for the second at once, and goes on serving for five seconds
    // from when the first came into force.
    expect_trace("config-two-versions-behind");
}

#[gtest]
fn rows_that_cannot_be_used_leave_the_old_version_in_force() {
    let mut machine = InForce::new();
    let row = |version, value: &str| ConfigEvent::StoreRead {
        asked: Mono(0),
        version: Version(version),
        value: value.to_owned(),
    };
    expect_that!(
        machine.config(Mono(0)).err(),
        some(eq(NotRunReason::StaleConfig))
    );
    machine.apply(&row(5, "{}"), Mono(0));
    let broken = [
        "{",
        r#"{"unknown":1}"#,
        r#"{"rules":[{"name":"x","service":"x","class":"x"}]}"#,
    ];
    for (value, version) in broken.into_iter().zip(6..) {
        let actions = machine.apply(&row(version, value), Mono(0));
        let refused =
            matches!(&actions[0], ConfigAction::Refused { findings, .. } if !findings.is_empty());
        expect_that!(refused, eq(true), "{value}");
        expect_that!(machine.version(), eq(Version(5)));
        expect_that!(machine.value(), some(eq("{}")));
    }
}

/// An event at the time; answers of the store were asked for `delay` before.
fn event(kind: Kind, version: Version, delay: u64, now: Mono) -> ConfigEvent {
    let asked = now.minus(delay);
    let peer = InstanceName::new("e2");
    let value = if kind == Kind::Broken { "{" } else { "{}" }.to_owned();
    match kind {
        Kind::Read | Kind::Broken => ConfigEvent::StoreRead {
            asked,
            version,
            value,
        },
        Kind::Empty => ConfigEvent::StoreEmpty { asked },
        Kind::Row => ConfigEvent::PeerRow {
            peer,
            version,
            value,
        },
        Kind::Heartbeat => ConfigEvent::Heartbeat { peer, version },
        Kind::Tick => ConfigEvent::Tick,
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Kind {
    Read,
    Broken,
    Empty,
    Row,
    Heartbeat,
    Tick,
}

fn kind() -> impl Strategy<Value = Kind> {
    use Kind::{Broken, Empty, Heartbeat, Read, Row, Tick};
    prop::sample::select(vec![Read, Broken, Empty, Row, Heartbeat, Tick])
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(20_260_702),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn versions_only_grow_and_silence_stops_serving(
        steps in prop::collection::vec((kind(), 1_u64..9, 0_u64..7_000, 0_u64..3_000), 1..40),
    ) {
        let mut machine = InForce::new();
        let mut now = Mono(0);
        let mut last = Version(0);
        for (kind, version, delay, pause) in steps {
            now = now.plus(pause);
            machine.apply(&event(kind, Version(version), delay, now), now);
            prop_assert!(machine.version() >= last);
            prop_assert!(machine.highest() >= machine.version());
            prop_assert!(machine.config(now).is_err() || machine.version() > Version(0));
            prop_assert!(machine.config(now.plus(5_000)).is_err());
            last = machine.version();
        }
    }
}
