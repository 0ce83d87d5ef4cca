//! What becomes of a change, and the exit code that tells it.

mod ctl;
#[path = "../../citronway/tests/support/mod.rs"]
mod support;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;

use citronctl::failure::codes;
use citronway_core::config::Config;
use citronway_core::ids::{EndpointName, GroupName, ServiceName};
use googletest::prelude::*;
use tokio::net::TcpSocket;

use ctl::{run, run_at, run_line};
use support::store::Fault;
use support::{Admin, FIRST, TOKEN, sample};

const LABEL: [&str; 4] = ["label", "endpoint", "console-1", "tier=gold"];

fn code(code: u8) -> i32 {
    i32::from(code)
}

fn endpoint(config: &Config, name: &str) -> citronway_core::config::Endpoint {
    config.endpoints[&EndpointName::new(name)].clone()
}

/// A file of this test, below the folder for tests' files.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

#[gtest]
fn labels_are_changed_and_the_version_is_told() {
    let admin = Admin::start(&sample());
    let done = run_line(
        &admin,
        "label endpoint console-1 tier=gold app- app=console",
    );
    expect_that!(done.err, eq(""));
    expect_that!(done.out, eq("accepted at version 9\n"));
    let labels = endpoint(&admin.store.config(), "console-1").labels;
    expect_that!(labels["tier"], eq("gold"));

    let done = run_line(&admin, "label endpoint console-1 tier- --output json");
    expect_that!(done.out, contains_substring("\"version\": 11"));
    expect_that!(admin.store.config(), eq(&sample()));
}

/// Two operators label the same endpoint at the same moment. The second must be
/// told, with both changes, and a script must see it in the exit code.
#[gtest]
fn the_second_of_two_operators_sees_both_changes() {
    let admin = Admin::start(&sample());
    expect_that!(run(&admin, &LABEL).code, eq(0));
    let late = "label endpoint console-1 tier=silver --version-expected 7";
    let refused = run_line(&admin, late);
    expect_that!(refused.code, eq(code(codes::CONFLICT)));
    expect_that!(refused.out, eq(""));
    for text in [
        "based on version 7, but the configuration is at version 9; nothing was written",
        "your change:\n  ~ endpoint console-1: label tier none -> `silver`",
        "the other change:\n  ~ endpoint console-1: label tier none -> `gold`",
    ] {
        expect_that!(refused.err, contains_substring(text));
    }
}

/// An operator edits a file for an hour and applies it; what a colleague did
/// meanwhile is gone. The file was not tied to the version that it was read at.
#[gtest]
fn a_file_written_by_get_is_applied_to_its_own_version_only() {
    let admin = Admin::start(&sample());
    let read = run_line(&admin, "get config --output json");
    let path = file("edited.json", &read.out);
    let apply = ["apply", "-f", path.to_str().unwrap()];
    expect_that!(run(&admin, &LABEL).code, eq(0));
    expect_that!(run(&admin, &apply).code, eq(code(codes::CONFLICT)));
    let now = endpoint(&admin.store.config(), "console-1");
    expect_that!(now.labels["tier"], eq("gold"));

    let bare = file("bare.json", &serde_json::to_string(&sample()).unwrap());
    let done = run(&admin, &["apply", "-f", bare.to_str().unwrap()]);
    expect_that!(done.err, eq(""));
    expect_that!(admin.store.config(), eq(&sample()));
}

#[gtest]
fn a_wrong_change_is_refused_with_all_findings() {
    let admin = Admin::start(&sample());
    let unknown = run_line(&admin, "label endpoint nobody a=b c=d");
    expect_that!(unknown.code, eq(code(codes::REFUSED)));
    expect_that!(unknown.err, contains_substring("wrong in 2 place(s)"));
    expect_that!(
        unknown.err,
        contains_substring("there is no endpoint `nobody`")
    );

    let selector = ["select", "group", "console", "--endpoints", "app = = x"];
    let refused = run(&admin, &selector);
    expect_that!(refused.code, eq(code(codes::REFUSED)));
    expect_that!(
        refused.err,
        contains_substring("groups.console.endpoints column")
    );
    expect_that!(admin.store.config(), eq(&sample()));
}

/// A script goes on as if its change was refused, and the change stands. The
/// store took it and the answer was lost, or the write may still be on its way.
#[gtest]
fn a_lost_answer_is_found_or_called_unknown() {
    let admin = Admin::start(&sample());
    admin.store.fail_next(Fault::AnswerLost);
    let found = run(&admin, &LABEL);
    expect_that!(
        (found.code, found.out.as_str()),
        eq((0, "accepted at version 9\n"))
    );

    admin.store.fail_next(Fault::WriteLost);
    let unknown = run_line(&admin, "label endpoint console-1 tier=silver");
    expect_that!(unknown.code, eq(code(codes::UNKNOWN)));
    expect_that!(
        unknown.err,
        contains_substring("may or may not have been accepted")
    );
    expect_that!(admin.store.puts(), eq(2));
}

/// A script is told "cannot reach", so it tries another instance; both changes
/// stand. The connection broke after the command had been sent, or a proxy in
/// between answered in the instance's place.
#[gtest]
fn a_connection_that_breaks_after_sending_is_unknown() {
    for answer in ["", "HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\n\r\n"] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0; 1024]).unwrap();
            stream.write_all(answer.as_bytes()).unwrap();
        });
        let lost = run_at(address, Some(TOKEN), &["drain", "console-1"]);
        server.join().unwrap();
        expect_that!(lost.code, eq(code(codes::UNKNOWN)));
        expect_that!(
            lost.err,
            contains_substring("may or may not have been accepted")
        );
    }
}

#[gtest]
fn a_connection_that_was_never_made_is_told_apart() {
    // Bound but not listening: the port is taken, and connections are refused.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    let unreachable = run_at(address, Some(TOKEN), &["drain", "console-1"]);
    expect_that!(unreachable.code, eq(code(codes::UNREACHABLE)));
    expect_that!(unreachable.err, contains_substring("cannot reach"));
}

/// A script starts the next step of a roll-out while an instance still goes by
/// the old configuration. Accepted was taken for in force.
#[gtest]
fn waiting_tells_accepted_from_in_force() {
    let admin = Admin::start(&sample());
    let done = run_line(&admin, "drain console-1 --wait 60");
    expect_that!(done.out, eq("accepted at version 9, in force everywhere\n"));

    admin.store.hold_back();
    let behind = run_line(&admin, "undrain console-1 --wait 0");
    expect_that!(behind.code, eq(code(codes::NOT_IN_FORCE)));
    expect_that!(behind.err, contains_substring("accepted at version 11"));
    expect_that!(behind.err, contains_substring("entry-1 (version 9)"));
    let now = endpoint(&admin.store.config(), "console-1");
    expect_that!(now.drain, eq(false));
}

#[gtest]
fn services_come_and_go_whole() {
    let admin = Admin::start(&sample());
    let endpoint = "create endpoint history-1 --address 127.0.0.1:4009 --zone north \
                --slots 2 --label app=history";
    expect_that!(run_line(&admin, endpoint).err, eq(""));
    let create = "create service history --default-class batch --weights 1,4,2 \
                --endpoints app=history --label team=lab";
    let created = run_line(&admin, create);
    expect_that!(created.err, eq(""));
    let config = admin.store.config();
    let (service, group) = (ServiceName::new("history"), GroupName::new("history"));
    expect_that!(config.services[&service].weights.churn, eq(4.0));
    expect_that!(config.groups[&group].endpoints, eq("app=history"));

    let rule = "create rule urgent --service history --class interactive";
    expect_that!(run_line(&admin, rule).code, eq(0));
    let alone = run_line(&admin, "remove service history");
    expect_that!(alone.code, eq(code(codes::REFUSED)));
    let whole = run_line(&admin, "remove service history --with-groups");
    expect_that!(whole.err, eq(""));
    expect_that!(run_line(&admin, "remove endpoint history-1").err, eq(""));
    expect_that!(admin.store.config(), eq(&sample()));
}

/// Keys of an endpoint are not served until its grants have ended, because it
/// was removed while it owned them and nobody could take them back from it.
#[gtest]
fn an_endpoint_that_owns_keys_is_not_removed_in_haste() {
    let admin = Admin::start(&sample());
    let mut snapshot = support::snapshot(&sample(), FIRST);
    snapshot.assignments.push(support::owned_by("console-1"));
    admin.publisher.send_replace(Arc::new(snapshot));
    let remove = ["remove", "endpoint", "console-1"];
    let refused = run(&admin, &remove);
    expect_that!(refused.code, eq(code(codes::REFUSED)));
    expect_that!(refused.err, contains_substring("still owns 1 shards"));
    expect_that!(admin.store.puts(), eq(0));
    expect_that!(run_line(&admin, "remove endpoint console-2").code, eq(0));
    let forced = run(&admin, &[&remove[..], &["--force"]].concat());
    expect_that!(forced.err, contains_substring("matches no endpoint"));
}

#[gtest]
fn a_token_is_needed_and_must_be_right() {
    let admin = Admin::start(&sample());
    let none = run_at(admin.address, None, &["get", "config"]);
    expect_that!(none.code, eq(code(codes::USAGE)));
    let wrong = run_at(admin.address, Some("another-token-altogether"), &LABEL);
    expect_that!(wrong.code, eq(code(codes::REFUSED)));
    expect_that!(wrong.err, contains_substring("token is wrong"));

    let path = file("token", &format!("{TOKEN}\n"));
    let args = ["get", "version", "--token-file", path.to_str().unwrap()];
    expect_that!(run_at(admin.address, None, &args).code, eq(0));
}
