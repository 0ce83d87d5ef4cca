//! Steady load while the store is down, or many requests under random faults.
//!
//! `cargo run --release --example outage`

use std::process::ExitCode;

use citronway_standin::host::{self, EntryOptions, Task};
use citronway_standin::outage::{self, OutageOptions, outage_options};

fn main() -> ExitCode {
    match host::options(outage_options()).run() {
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
async fn own(options: OutageOptions) -> ExitCode {
    match outage::run(options).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
