//! Measures a deployment of real entry processes under load.
//!
//! `cargo run --release --example load -- --deployment vatuwaqa --scenario full`

use std::process::ExitCode;

use citronway_standin::{host, load};

fn main() -> ExitCode {
    host::main(load::load_options(), citronway::run, load::run)
}
