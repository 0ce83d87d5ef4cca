//! Measures how long keys stay unserved after losses of real processes.
//!
//! `cargo run --release --example losses`

use std::process::ExitCode;

use citronway_standin::{host, losses};

fn main() -> ExitCode {
    host::main(losses::losses_options(), citronway::run, losses::run)
}
