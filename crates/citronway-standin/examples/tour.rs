//! A small deployment of real processes under losses and pauses.
//!
//! `cargo run --release --example tour`

use std::process::ExitCode;

use citronway_standin::{host, tour};

fn main() -> ExitCode {
    host::main(tour::tour_options(), citronway::run, tour::run)
}
