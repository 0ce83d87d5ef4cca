//! A small deployment of real processes under losses and pauses.
//!
//! `cargo run --release --example tour`

use std::process::ExitCode;

use citronway_standin::host::{self, EntryOptions, Task};
use citronway_standin::tour::{self, TourOptions, tour_options};

fn main() -> ExitCode {
    match host::options(tour_options()).run() {
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
async fn own(options: TourOptions) -> ExitCode {
    match tour::run(options).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
