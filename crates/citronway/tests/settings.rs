//! Settings files: the example, defaults, and each kind of mistake with its place.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use citronway::settings::{self, Hold, SettingsBuilder, keys};
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

/// Line, path and problem of all that is wrong with the text.
fn findings(file: &str) -> Vec<String> {
    let Err(findings) = settings::parse("test.ini", file) else {
        return Vec::new();
    };
    let all = findings.iter();
    all.map(|finding| {
        let line = finding.place.line.map(|line| format!("{line}: "));
        let path = &finding.place.path;
        format!("{}{path}: {}", line.unwrap_or_default(), finding.problem)
    })
    .collect()
}

/// The three columns of a case.
fn columns(case: &str) -> [&str; 3] {
    let columns: Vec<&str> = case.split('|').map(str::trim).collect();
    columns.try_into().expect("three columns")
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
    expect_that!(cfg.hold.promise_ms, eq(800));
}

/// What stands in the file, what an operator writes instead, and the finding.
const WRONG_LINES: &str = "\
name = entry-1 | | instance.name: missing
name = entry-1 | name = | 2: instance.name: empty
entry-1 | Entry 1 | 2: instance.name: `Entry 1` is not a name
:7000 | :0 | 4: instance.callers_listen: `10.0.1.5:0` is not an IP number and port
:7000 | :70000 | 4: instance.callers_listen: `10.0.1.5:70000` is not an IP number and port
10.0.1.5:7000 | host:7000 | 4: instance.callers_listen: `host:7000` is not an IP number and port
:7001 | :7000 | 5: instance.peers_listen: does not go with `instance.callers_listen`
10.0.1.5:7001 | 0.0.0.0:7001 | 5: instance.peers_listen: does not go with `instance.peers_advertise`
10.0.1.5:7001 | 0.0.0.0:7000 | 5: instance.peers_listen: does not go with `instance.callers_listen`
:7002 | :7000 | 6: instance.operators_listen: does not go with `instance.callers_listen`
:7002 | :7001 | 6: instance.operators_listen: does not go with `instance.peers_listen`
zone = zone-a | zone = a; zone = b | 4: instance.zone: stated more than once
[peers] | [instance]; [peers] | 9: instance: stated more than once
[platform] | [platforms] | 7: platforms: unknown section
0123456789abcdef | short | 10: peers.shared_key: too short
shared_key = | shared_key_file = | 10: peers.shared_key_file: cannot be read: No such file or directory (os error 2)
[peers] | [peers]; shared_key_file = x | 11: peers.shared_key: excluded by `peers.shared_key_file`
token = fedcba9876543210 | | operators.token: missing
token = fedcba9876543210 | token fedcba9876543210 | 12: settings: malformed";

#[gtest]
fn each_mistake_in_a_line_is_found_there() {
    for case in WRONG_LINES.lines() {
        let [right, wrong, expected] = columns(case);
        let file = REQUIRED.replacen(right, &wrong.replace("; ", "\n"), 1);
        expect_that!(findings(&file), contains(eq(expected)), "{wrong}");
    }
}

/// Section, the line that is added to it as line 14, and the only finding.
const ADDED_LINES: &str = "\
hold | promise = 1 | 14: hold.promise: unknown key
hold | promise_ms = 1s | 14: hold.promise_ms: `1s` is not a whole number
hold | promise_ms = -1 | 14: hold.promise_ms: `-1` is not a whole number
hold | promise_ms = 1000 ;ms | 14: hold.promise_ms: `1000 ;ms` is not a whole number
hold | promise_ms = 1s; ask_ms = 600 | 14: hold.promise_ms: `1s` is not a whole number
hold | promise_ms = 49 | 14: hold.promise_ms: 49 is out of range
hold | ask_ms = 500 | 14: hold.ask_ms: does not go with `hold.promise_ms`
hold | suspicion_ms = 400 | 14: hold.suspicion_ms: does not go with `peers.heartbeat_ms`
dispatch | grant_ms = 500 | 14: dispatch.grant_ms: does not go with `dispatch.renew_ms`
clock | skew_ms = 1500 | dispatch.grant_ms: does not go with `clock.skew_ms`
callers | default_timeout_ms = 60001 | 14: callers.default_timeout_ms: does not go with `callers.max_timeout_ms`
callers | max_timeout_ms = 600001 | dispatch.duplicate_window_ms: does not go with `callers.max_timeout_ms`
dispatch | max_order_ms = 600001 | dispatch.duplicate_window_ms: does not go with `dispatch.max_order_ms`
callers | max_in_flight = 0 | 14: callers.max_in_flight: 0 is out of range
log | level = loud | 14: log.level: `loud` is not known
trace | record = | 14: trace.record: empty";

#[gtest]
fn each_mistake_in_an_added_line_is_found_alone() {
    for case in ADDED_LINES.lines() {
        let [section, line, expected] = columns(case);
        let file = format!("{REQUIRED}[{section}]\n{}\n", line.replace("; ", "\n"));
        expect_that!(findings(&file), elements_are![eq(expected)], "{line}");
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
        format!("[{secret}="),
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
