//! Operators' command line for citronway.

use std::process::ExitCode;

use citronctl::{cli, failure, run};

fn main() -> ExitCode {
    let command = match cli::parse() {
        Ok(command) => command,
        Err(code) => return code,
    };
    match run(command) {
        Ok(code) => code,
        Err(failure) => failure::show(&failure),
    }
}
