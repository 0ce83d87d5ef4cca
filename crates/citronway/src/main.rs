//! Entry instance of citronway.

use std::path::Path;
use std::process::ExitCode;

use citronway::cli::{self, Source};
use citronway::gateway;

fn main() -> ExitCode {
    let options = cli::options().run();
    match &options.source {
        Source::Own { config } if options.check_config => report(citronway::check(config)),
        Source::Own { config } => report(citronway::run(config)),
        Source::OnPlatform { .. } => match citronway_platform::settings::path() {
            Some(path) => report(on_platform(&path, options.check_config)),
            None => {
                eprintln!("the platform names no settings file");
                ExitCode::FAILURE
            }
        },
    }
}

fn on_platform(path: &Path, check: bool) -> Result<ExitCode, gateway::Error> {
    if check {
        return gateway::check(path);
    }
    gateway::run(path)
}

fn report<E: std::fmt::Display>(result: Result<ExitCode, E>) -> ExitCode {
    match result {
        Ok(code) => code,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
