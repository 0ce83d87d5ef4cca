//! Entry instance of citronway.

use std::process::ExitCode;

use citronway::cli;

fn main() -> ExitCode {
    let options = cli::options().run();
    let result = if options.check_config {
        citronway::check(&options.config)
    } else {
        citronway::run(&options.config)
    };
    match result {
        Ok(code) => code,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
