//! Settings files: the example, defaults, and each kind of mistake with its place.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use citronway::settings::{self, Hold, SettingsBuilder, keys};
use citronway_core::findings::Problem as P;
use googletest::prelude::*;

/// A file with the required keys only.
const REQUIRED: &str = "\
[instance]
name = entry-1
zone = zone-a
callers_listen = 10.0.1.5:7000
peers_listen = 10.0.1.5:7001
operators_listen = 10.0.1.5:7002
[platform]
address = 10.0.0.10:8500
[peers]
shared_key = 0123456789abcdef
[operators]
token = fedcba9876543210
";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn text(text: &str) -> String {
    text.to_owned()
}

fn clash(other: &str) -> P {
    P::Clash { other: text(other) }
}

/// Path, line and problem of all that is wrong with the text.
fn findings(file: &str) -> Vec<(String, Option<usize>, P)> {
    let Err(findings) = settings::parse("test.ini", file) else {
        return Vec::new();
    };
    let all = findings.iter();
    all.map(|f| (f.place.path.clone(), f.place.line, f.problem.clone()))
        .collect()
}

#[gtest]
fn the_example_loads_and_states_the_defaults() {
    let path = root().join("examples/citronway.ini");
    let commented = std::fs::read_to_string(&path).expect("the example is there");
    let loaded = settings::load(&path).expect("the example has no findings");
    let secrets = ["peers.shared_key_file", "operators.token_file"];
    let others = ["instance.peers_advertise", "trace.record"];
    let mut section = "";
    let mut listed = Vec::new();
    let mut stated = Vec::new();
    for line in commented.lines() {
        section = line
            .strip_prefix('[')
            .map_or(section, |rest| rest.trim_end_matches(']'));
        let bare = line.trim_start_matches(';');
        let Some((name, _)) = bare.split_once(" = ") else {
            stated.push(line);
            continue;
        };
        let key = format!("{section}.{name}");
        let keep = !secrets.contains(&key.as_str()) && !others.contains(&key.as_str());
        stated.push(if keep { bare } else { line });
        listed.push(key);
    }
    let all: Vec<String> = keys::all().map(|key| key.to_string()).collect();
    let missing: Vec<&String> = all.iter().filter(|key| !listed.contains(key)).collect();
    expect_that!(missing, is_empty());
    let with_defaults =
        settings::parse("example", &stated.join("\n")).expect("defaults are in range");
    expect_that!(with_defaults, eq(&loaded));
}

#[gtest]
fn the_operators_page_lists_each_key_with_default_and_range() {
    let page = std::fs::read_to_string(root().join("docs/operators/settings.md"));
    let page = page.expect("the page is there");
    for key in keys::all() {
        expect_that!(
            page,
            contains_substring(format!("| `{}` |", key.name)),
            "{key}"
        );
    }
    for number in keys::NUMBERS {
        let row = format!(
            "| `{}` | {} | {} | {} to {} |",
            number.key.name, number.unit, number.default, number.min, number.max
        );
        expect_that!(page, contains_substring(row), "{}", number.key);
    }
}

#[gtest]
fn required_keys_are_enough() {
    let cfg = settings::parse("test.ini", REQUIRED).expect("no findings");
    expect_that!(cfg.instance.name.as_str(), eq("entry-1"));
    expect_that!(cfg.instance.peer_address(), eq(cfg.instance.peers_listen));
    expect_that!(cfg.peers.shared_key.reveal(), eq("0123456789abcdef"));
    expect_that!(cfg.hold.promise_ms, eq(1_000));
}

#[gtest]
fn each_mistake_in_a_line_is_found_there() {
    let cases = [
        ("name = entry-1", "", "instance.name", None, P::Missing),
        (
            "name = entry-1",
            "name =",
            "instance.name",
            Some(2),
            P::Empty,
        ),
        (
            "entry-1",
            "Entry 1",
            "instance.name",
            Some(2),
            P::NotAName(text("Entry 1")),
        ),
        (
            ":7000",
            ":0",
            "instance.callers_listen",
            Some(4),
            P::NotAnAddress(text("10.0.1.5:0")),
        ),
        (
            "10.0.1.5:7000",
            "host:7000",
            "instance.callers_listen",
            Some(4),
            P::NotAnAddress(text("host:7000")),
        ),
        (
            ":7000",
            ":70000",
            "instance.callers_listen",
            Some(4),
            P::NotAnAddress(text("10.0.1.5:70000")),
        ),
        (
            ":7001",
            ":7000",
            "instance.peers_listen",
            Some(5),
            clash("instance.callers_listen"),
        ),
        (
            "10.0.1.5:7001",
            "0.0.0.0:7001",
            "instance.peers_listen",
            Some(5),
            clash("instance.peers_advertise"),
        ),
        (
            "zone = zone-a",
            "zone = a\nzone = b",
            "instance.zone",
            Some(4),
            P::Repeated,
        ),
        (
            "[peers]",
            "[instance]\n[peers]",
            "instance",
            Some(9),
            P::Repeated,
        ),
        (
            "[platform]",
            "[platforms]",
            "platforms",
            Some(7),
            P::UnknownSection,
        ),
        (
            "0123456789abcdef",
            "short",
            "peers.shared_key",
            Some(10),
            P::SecretTooShort,
        ),
        (
            "shared_key =",
            "shared_key_file =",
            "peers.shared_key_file",
            Some(10),
            P::Unreadable(text("No such file or directory (os error 2)")),
        ),
        (
            "[peers]",
            "[peers]\nshared_key_file = x",
            "peers.shared_key",
            Some(11),
            P::Excluded(text("peers.shared_key_file")),
        ),
        (
            "token = fedcba9876543210",
            "",
            "operators.token",
            None,
            P::Missing,
        ),
        (
            "token = fedcba9876543210",
            "token fedcba9876543210",
            "settings",
            Some(12),
            P::Malformed,
        ),
    ];
    for (right, wrong, path, line, problem) in cases {
        let file = REQUIRED.replacen(right, wrong, 1);
        let found = findings(&file);
        let expected = (text(path), line, problem);
        expect_that!(found, contains(eq(&expected)), "{wrong}");
    }
}

#[gtest]
fn each_mistake_in_an_added_line_is_found_alone() {
    let number = |text: &str| P::NotANumber(text.to_owned());
    let range = |text: &str| P::OutOfRange(text.to_owned());
    let cases = [
        (
            "hold",
            "promise = 1",
            "hold.promise",
            Some(14),
            P::UnknownKey,
        ),
        (
            "hold",
            "promise_ms = 1s",
            "hold.promise_ms",
            Some(14),
            number("1s"),
        ),
        (
            "hold",
            "promise_ms = -1",
            "hold.promise_ms",
            Some(14),
            number("-1"),
        ),
        (
            "hold",
            "promise_ms = 1000 ; ms",
            "hold.promise_ms",
            Some(14),
            number("1000 ; ms"),
        ),
        (
            "hold",
            "promise_ms = 49",
            "hold.promise_ms",
            Some(14),
            range("49"),
        ),
        (
            "hold",
            "ask_ms = 500",
            "hold.ask_ms",
            Some(14),
            clash("hold.promise_ms"),
        ),
        (
            "hold",
            "suspicion_ms = 400",
            "hold.suspicion_ms",
            Some(14),
            clash("peers.heartbeat_ms"),
        ),
        (
            "dispatch",
            "grant_ms = 1000",
            "dispatch.grant_ms",
            Some(14),
            clash("dispatch.renew_ms"),
        ),
        (
            "clock",
            "skew_ms = 1500",
            "dispatch.grant_ms",
            None,
            clash("clock.skew_ms"),
        ),
        (
            "callers",
            "default_timeout_ms = 60001",
            "callers.default_timeout_ms",
            Some(14),
            clash("callers.max_timeout_ms"),
        ),
        (
            "callers",
            "max_timeout_ms = 600001",
            "dispatch.duplicate_window_ms",
            None,
            clash("callers.max_timeout_ms"),
        ),
        (
            "callers",
            "max_in_flight = 0",
            "callers.max_in_flight",
            Some(14),
            range("0"),
        ),
        (
            "log",
            "level = loud",
            "log.level",
            Some(14),
            P::UnknownWord(text("loud")),
        ),
        ("trace", "record =", "trace.record", Some(14), P::Empty),
    ];
    for (section, line, path, at, problem) in cases {
        let file = format!("{REQUIRED}[{section}]\n{line}\n");
        let expected = (text(path), at, problem);
        expect_that!(findings(&file), elements_are![eq(&expected)], "{line}");
    }
}

#[gtest]
fn everything_is_reported_together_with_file_line_and_expected_form() {
    let file = REQUIRED.replace("zone-a", "Zone") + "[hold]\nask_ms = x\n";
    let error = settings::parse("entry.ini", &file).expect_err("two findings");
    let printed = error.to_string();
    expect_that!(
        printed.lines().collect::<Vec<_>>(),
        elements_are![
            starts_with("entry.ini:3: instance.zone: `Zone` is not a name; expected 1 to 63"),
            eq(&"entry.ini:14: hold.ask_ms: `x` is not a whole number; \
                 expected a whole number of milliseconds from 10 to 30000"),
        ]
    );
}

#[gtest]
fn secrets_are_never_shown() {
    // An operator mistypes a line with a secret in some way and mails the
    // error to a colleague, or debug output lands in a log that many can
    // read. Cause: errors that repeat the text of the line.
    let secret = "hunter2hunter2hunter2";
    let lines = [
        format!("shared_key {secret}"),
        format!("shared_kye = {secret}"),
        format!("shared_key = {secret}\nshared_key = {secret}"),
        format!("shared_key = {secret}\nshared_key_file = /{secret}"),
        format!("[{secret}"),
        format!("Hunter2+{secret}="),
        format!("shared_key =\n{secret}="),
        format!("shared_key = '{secret}"),
    ];
    for line in lines {
        let file = REQUIRED.replace("shared_key = 0123456789abcdef", &line);
        let shown = match settings::parse("entry.ini", &file) {
            Ok(cfg) => format!("{cfg:?}"),
            Err(findings) => format!("{findings}\n{findings:?}"),
        };
        expect_that!(shown, not(contains_substring("hunter2")), "{line}");
    }
    let cfg = settings::parse("entry.ini", REQUIRED).expect("no findings");
    expect_that!(format!("{cfg:?}"), not(contains_substring("0123456789")));
}

#[gtest]
fn a_file_that_cannot_be_read_is_a_finding() {
    let error = settings::load(Path::new("none.ini")).expect_err("no such file");
    expect_that!(
        error.to_string(),
        starts_with("none.ini: settings: cannot be read: ")
    );
}

#[gtest]
fn built_settings_keep_the_rules() {
    let platform = SocketAddr::from(([127, 0, 0, 1], 8500));
    let builder = SettingsBuilder::new("entry-1", "zone-a", platform);
    let cfg = builder.clone().skew_ms(5).build().expect("no findings");
    expect_that!(cfg.clock.skew_ms, eq(5));
    let hold = Hold {
        promise_ms: 100,
        ask_ms: 50,
        suspicion_ms: 600,
    };
    let error = builder.hold(hold).build().expect_err("too slow");
    expect_that!(error.at("hold.ask_ms"), eq(true));
}
