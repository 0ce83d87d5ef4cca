//! Steady load while the store is down, or many requests under random faults.
//!
//! `cargo run --release --example outage`

use std::process::ExitCode;

use citronway_standin::{host, outage};

fn main() -> ExitCode {
    host::main(outage::outage_options(), citronway::run, outage::run)
}
