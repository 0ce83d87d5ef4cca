//! Measures a deployment of real entry processes under load.
//!
//! `cargo run --release --example load -- --deployment vatuwaqa --scenario full`

use std::process::ExitCode;

use citronway_standin::host::{self, EntryOptions, Task};
use citronway_standin::load::{self, LoadOptions, load_options};

fn main() -> ExitCode {
    match host::options(load_options()).run() {
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
async fn own(options: LoadOptions) -> ExitCode {
    match load::run(options).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
