//! Runs the command line against an administration API, for tests.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::process::Command;

use super::support::{Admin, TOKEN};

/// What a run left.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

/// Runs `citronctl` against an administration API.
pub fn run(admin: &Admin, args: &[&str]) -> Run {
    run_at(admin.address, Some(TOKEN), args)
}

/// Runs `citronctl` with the words of a line.
pub fn run_line(admin: &Admin, line: &str) -> Run {
    run(admin, &line.split_whitespace().collect::<Vec<_>>())
}

/// Runs `citronctl` against an address.
pub fn run_at(server: SocketAddr, token: Option<&str>, args: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_citronctl"));
    command.args(args).env_clear();
    command.env("CITRONWAY_SERVER", server.to_string());
    if let Some(token) = token {
        command.env("CITRONWAY_TOKEN", token);
    }
    let output = command.output().unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}
