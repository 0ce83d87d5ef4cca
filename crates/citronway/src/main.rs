//! Entry instance of citronway.

use std::process::ExitCode;

use citronway::cli::{self, Source};
use citronway::gateway;

fn main() -> ExitCode {
    let options = cli::options().run();
    match &options.source {
        Source::Own { config } if options.check_config => report(citronway::check(config)),
        Source::Own { config } => report(citronway::run(config)),
        Source::OnPlatform { .. } => report(on_platform(options.check_config)),
    }
}

fn on_platform(check: bool) -> Result<ExitCode, gateway::Error> {
    let path = gateway::settings_path()?;
    if check {
        return gateway::check(&path);
    }
    gateway::run(&path)
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
