//! Measures how long keys stay unserved after losses of real processes.
//!
//! `cargo run --release --example losses`

use std::process::ExitCode;

use citronway_standin::host::{self, EntryOptions, Task};
use citronway_standin::losses::{self, LossesOptions, losses_options};

fn main() -> ExitCode {
    match host::options(losses_options()).run() {
        Task::Platform(options) => host::exit_code(&options.run()),
        Task::Endpoint(options) => host::exit_code(&options.run()),
        Task::Entry(options) => entry(&options),
        Task::Own(options) => own(options),
    }
}

fn entry(options: &EntryOptions) -> ExitCode {
    host::end_with_parent();
    match citronway::run(&options.config) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn own(options: LossesOptions) -> ExitCode {
    match losses::run(options).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
