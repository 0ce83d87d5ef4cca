//! Stand-ins as child processes.

use std::process::{Command, Stdio};

use citronway_standin::endpoint::{EndpointOptions, Journal};
use citronway_standin::env::{Child, wait};
use citronway_standin::http::Client;
use googletest::prelude::*;

fn endpoint() -> (Child, std::net::SocketAddr) {
    let mut options = EndpointOptions::new("one");
    options.until_stdin_closes = true;
    let mut command = Command::new(env!("CARGO_BIN_EXE_standin-endpoint"));
    let started = Child::start_standin("one", command.args(options.to_args()));
    started.expect("the stand-in starts")
}

/// Letter of the process state in `/proc`.
fn state_of(child: &Child) -> Option<char> {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).ok()?;
    let (_name, rest) = stat.rsplit_once(')')?;
    rest.trim_start().chars().next()
}

async fn ended(child: &mut Child) {
    let exited = async || child.exited().is_some();
    wait("the process ends", exited)
        .await
        .expect("the state is reached");
}

#[gtest]
#[tokio::test]
async fn a_paused_process_stands_still_until_it_goes_on() {
    let (mut child, address) = endpoint();
    child.pause().expect("it runs");
    let stopped = async || state_of(&child) == Some('T');
    wait("the process is stopped", stopped)
        .await
        .expect("the state is reached");
    expect_that!(child.has_ended(), is_false());
    child.resume().expect("it runs");
    let journal = Client::default().get::<Journal>(address, "/journal").await;
    expect_that!(journal, ok(field!(Journal.slots, eq(&6))));
}

#[gtest]
#[tokio::test]
async fn a_killed_process_takes_no_signal_any_more() {
    let (mut child, _address) = endpoint();
    child.kill().expect("it runs");
    ended(&mut child).await;
    expect_that!(child.has_ended(), is_true());
    expect_that!(child.ended_by_signal(), some(eq(libc::SIGKILL)));
    expect_that!(child.terminate(), err(anything()));
}

#[gtest]
#[tokio::test]
async fn a_platform_ends_when_its_standard_input_closes() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_standin-platform"));
    command.args(["--listen=127.0.0.1:0", "--until-stdin-closes"]);
    let output = command.stdin(Stdio::null()).output().expect("it starts");
    let line = String::from_utf8(output.stdout).expect("text");
    expect_that!(output.status.success(), is_true());
    expect_that!(line, starts_with("ready 127.0.0.1:"));
}

#[gtest]
#[tokio::test]
async fn a_program_that_ends_without_an_address_is_no_standin() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_standin-platform"));
    let started = Child::start_standin("broken", command.arg("--unknown"));
    expect_that!(started, err(anything()));
}
