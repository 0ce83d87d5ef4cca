//! A program that runs entries and stand-ins as children of itself.
//!
//! The tour and the load tool start their own executable again with a
//! subcommand, so that no other binary has to be built first.

use std::fmt::Display;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::{Bpaf, OptionParser, Parser, construct};

use crate::endpoint::{EndpointOptions, endpoint_options};
use crate::env::launcher::{ENDPOINT, ENTRY, PLATFORM};
use crate::platform::{PlatformOptions, platform_options};

/// Settings of an entry as a child.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(generate(entry_options))]
pub struct EntryOptions {
    /// Settings file in INI form
    #[bpaf(argument("FILE"))]
    pub config: PathBuf,
}

/// What a start of the program shall do; `T` are the options of its own purpose.
#[derive(Debug, Clone)]
pub enum Task<T> {
    /// Be the platform stand-in.
    Platform(PlatformOptions),
    /// Be an endpoint stand-in.
    Endpoint(EndpointOptions),
    /// Be an entry.
    Entry(EntryOptions),
    /// Do what the program is for.
    Own(T),
}

/// Command line of a host program.
pub fn options<T: 'static>(own: impl Parser<T> + 'static) -> OptionParser<Task<T>> {
    let platform = platform_options()
        .map(Task::Platform)
        .to_options()
        .descr("Runs the platform stand-in")
        .command(PLATFORM);
    let endpoint = endpoint_options()
        .map(Task::Endpoint)
        .to_options()
        .descr("Runs an endpoint stand-in")
        .command(ENDPOINT);
    let entry = entry_options()
        .map(Task::Entry)
        .to_options()
        .descr("Runs an entry until standard input closes")
        .command(ENTRY);
    let own = own.map(Task::Own);
    construct!([platform, endpoint, entry, own]).to_options()
}

/// Ends this process when standard input closes, so that an entry does not
/// outlive the program that started it.
pub fn end_with_parent() {
    std::thread::spawn(|| {
        let mut buf = [0; 64];
        while io::stdin().read(&mut buf).is_ok_and(|count| count > 0) {}
        std::process::exit(0);
    });
}

/// Exit code of a stand-in.
#[must_use]
pub fn exit_code(ended: &io::Result<()>) -> ExitCode {
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a host program: the process that its command line names, or its own task.
///
/// `entry` runs an entry with a settings file until it ends.
pub fn main<T, E, R, F>(
    own: impl Parser<T> + 'static,
    entry: impl FnOnce(&Path) -> Result<ExitCode, E>,
    run: impl FnOnce(T) -> F,
) -> ExitCode
where
    T: 'static,
    E: Display,
    R: Display,
    F: Future<Output = Result<ExitCode, R>>,
{
    match options(own).run() {
        Task::Platform(options) => exit_code(&options.run()),
        Task::Endpoint(options) => exit_code(&options.run()),
        Task::Entry(options) => {
            end_with_parent();
            ended(entry(&options.config))
        }
        Task::Own(options) => match tokio::runtime::Runtime::new() {
            Ok(runtime) => ended(runtime.block_on(run(options))),
            Err(error) => ended(Err(error)),
        },
    }
}

fn ended(result: Result<ExitCode, impl Display>) -> ExitCode {
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
