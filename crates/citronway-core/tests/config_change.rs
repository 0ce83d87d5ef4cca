//! Operators' changes, differences and conflicts.

mod config_support;

use citronway_core::config::{Change, Config, Conflict, Labelled, Selecting, change, diff};
use citronway_core::findings::{Kind, Problem as P};
use citronway_core::ids::{EndpointName, Version};
use config_support::base;
use googletest::prelude::*;

fn changes(json: &str) -> Vec<Change> {
    serde_json::from_str(json).expect("well formed changes")
}

fn lines(before: &Config, after: &Config) -> Vec<String> {
    diff(before, after)
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[gtest]
fn each_change_makes_the_difference_it_says() {
    let cases = [
        (
            r#"[{"change":"set_label","of":{"endpoint":"m1"},"label":"tier","value":"x"}]"#,
            "~ endpoint m1: label tier none -> `x`",
        ),
        (
            r#"[{"change":"set_label","of":{"group":"rest"},"label":"tier","value":"x"}]"#,
            "~ group rest: label tier none -> `x`",
        ),
        (
            r#"[{"change":"remove_label","of":{"service":"migration"},"label":"team"}]"#,
            "~ service migration: label team `batch` -> none",
        ),
        (
            r#"[{"change":"set_selector","of":{"group_endpoints":"rest"},"selector":"app in (migration,big)"}]"#,
            "~ group rest: endpoints `app=migration` -> `app in (migration,big)`",
        ),
        (
            r#"[{"change":"set_selector","of":{"group_keys":"big"},"selector":"part0=pko"}]"#,
            "~ group big: keys `part0 in (pko,mbank)` -> `part0=pko`",
        ),
        (
            r#"[{"change":"set_selector","of":{"group_callers":"console"},"selector":null}]"#,
            "~ group console: callers `tenant` -> none",
        ),
        (
            r#"[{"change":"set_selector","of":{"rule_callers":"urgent"},"selector":"urgent"}]"#,
            "~ rule urgent: callers `tenant=pko,urgent` -> `urgent`",
        ),
        (
            r#"[{"change":"set_selector","of":{"rule_keys":"urgent"},"selector":"part0"}]"#,
            "~ rule urgent: keys none -> `part0`",
        ),
        (
            r#"[{"change":"set_drain","name":"m1","drain":true}]"#,
            "~ endpoint m1: drain `false` -> `true`",
        ),
        (
            r#"[{"change":"remove_endpoint","name":"m2"}]"#,
            "- endpoint m2",
        ),
        (
            r#"[{"change":"add_endpoint","name":"m3","endpoint":{"address":"10.0.0.9:80","zone":"a","slots":6}}]"#,
            "+ endpoint m3",
        ),
        (
            r#"[{"change":"add_class","name":"night","class":{"priority":5}}]"#,
            "+ class night",
        ),
        (
            r#"[{"change":"remove_rule","name":"urgent"}]"#,
            "- rule urgent",
        ),
        (
            r#"[{"change":"add_rule","rule":{"name":"x","service":"console","class":"batch"},"before":"urgent"}]"#,
            "+ rule x",
        ),
        (r#"[{"change":"remove_group","name":"big"}]"#, "- group big"),
        (
            r#"[{"change":"add_group","name":"x","group":{"service":"migration","endpoints":"app=big","keys":"part0=x"},"before":"rest"}]"#,
            "+ group x",
        ),
    ];
    for (json, line) in cases {
        let changed = change(&base(), &changes(json)).expect(json);
        expect_that!(lines(&base(), &changed), elements_are![eq(line)], "{json}");
    }
}

#[gtest]
fn a_refused_change_changes_nothing_and_says_why() {
    let dangling = |kind, name: &str| P::Dangling {
        kind,
        name: name.to_owned(),
    };
    let exists = |kind, name: &str| P::Exists {
        kind,
        name: name.to_owned(),
    };
    let cases = [
        (
            r#"[{"change":"set_drain","name":"x","drain":true}]"#,
            "endpoint x",
            dangling(Kind::Endpoint, "x"),
        ),
        (
            r#"[{"change":"remove_label","of":{"endpoint":"m1"},"label":"x"}]"#,
            "label x",
            dangling(Kind::Label, "x"),
        ),
        (
            r#"[{"change":"add_class","name":"batch","class":{"priority":5}}]"#,
            "class batch",
            exists(Kind::Class, "batch"),
        ),
        (
            r#"[{"change":"add_rule","rule":{"name":"x","service":"console","class":"batch"},"before":"y"}]"#,
            "rule y",
            dangling(Kind::Rule, "y"),
        ),
        (
            r#"[{"change":"set_selector","of":{"group_endpoints":"rest"},"selector":null}]"#,
            "groups.rest.endpoints",
            P::Missing,
        ),
        (
            r#"[{"change":"set_drain","name":"m1","drain":true},{"change":"remove_class","name":"interactive"}]"#,
            "services.console.default_class",
            dangling(Kind::Class, "interactive"),
        ),
        (
            r#"[{"change":"add_service","name":"x","service":{"default_class":"batch"}}]"#,
            "services.x",
            P::Missing,
        ),
    ];
    for (json, path, problem) in cases {
        let cfg = base();
        let findings = change(&cfg, &changes(json)).expect_err(json);
        let first = findings.iter().next().expect("a finding");
        expect_that!(
            (first.place.path.as_str(), &first.problem),
            eq((path, &problem))
        );
        expect_that!(cfg, eq(&base()), "{json}");
    }
}

#[gtest]
fn a_service_is_added_together_with_its_group() {
    let json = r#"[
        {"change":"add_service","name":"x","service":{"default_class":"batch"}},
        {"change":"add_group","name":"x","group":{"service":"x","endpoints":"app=big"}}
    ]"#;
    let changed = change(&base(), &changes(json)).expect("no findings");
    let expected = ["+ service x", "+ group x"];
    expect_that!(
        lines(&base(), &changed),
        eq(&expected.map(ToOwned::to_owned).to_vec())
    );
    let back = change(&changed, &[Change::Replace { config: base() }]).expect("no findings");
    expect_that!(back, eq(&base()));
}

#[gtest]
fn another_order_of_groups_is_a_difference() {
    let mut after = base();
    after.groups.swap_indices(0, 1);
    let expected = "~ order of group entries: rest, big, console";
    expect_that!(lines(&base(), &after), elements_are![eq(expected)]);
}

#[gtest]
fn the_second_operator_sees_both_changes() {
    // Two operators open version 7. One drains an endpoint and is accepted as
    // version 8. The other sets a label and would have undone the drain, had
    // the whole of its configuration been taken. It is refused and shown both.
    let seen = base();
    let drain = Change::SetDrain {
        name: EndpointName::new("m1"),
        drain: true,
    };
    let label = Change::SetLabel {
        of: Labelled::Endpoint(EndpointName::new("m2")),
        label: "tier".to_owned(),
        value: "x".to_owned(),
    };
    let stored = change(&seen, &[drain]).expect("no findings");
    let wanted = change(&seen, &[label]).expect("no findings");
    let conflict = Conflict::new((Version(7), Some(&seen)), (Version(8), &stored), &wanted);
    let expected = "made from version 7, but version 8 is stored; nothing was changed\n\
        changed since:\n\
        ~ endpoint m1: drain `false` -> `true`\n\
        refused:\n\
        ~ endpoint m2: label tier none -> `x`";
    expect_that!(conflict.to_string(), eq(expected));

    let unknown = Conflict::new((Version(7), None), (Version(8), &stored), &wanted).to_string();
    expect_that!(unknown, contains_substring("drain `true` -> `false`"));
}

#[gtest]
fn selectors_name_what_they_belong_to() {
    let json = serde_json::to_string(&Selecting::RuleKeys("x".to_owned())).expect("JSON");
    expect_that!(json, eq(r#"{"rule_keys":"x"}"#));
}
