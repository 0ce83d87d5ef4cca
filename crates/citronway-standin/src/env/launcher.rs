//! Which programs an environment starts.

use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Subcommand of a host program that runs an entry.
pub const ENTRY: &str = "entry";
/// Subcommand of a host program that runs the platform stand-in.
pub const PLATFORM: &str = "platform";
/// Subcommand of a host program that runs an endpoint stand-in.
pub const ENDPOINT: &str = "endpoint";

/// Which programs an environment starts.
#[derive(Debug, Clone)]
pub enum Launcher {
    /// Entries are processes of the given binary, stand-ins are threads.
    Binary {
        /// Path of the `citronway` binary.
        entry: PathBuf,
    },
    /// All are processes of one host program with the subcommands [`ENTRY`],
    /// [`PLATFORM`] and [`ENDPOINT`]; they end when their standard input closes.
    Host {
        /// Path of the host program.
        program: PathBuf,
    },
}

impl Launcher {
    /// Entries of this binary; in tests, `env!("CARGO_BIN_EXE_citronway")`.
    #[must_use]
    pub fn binary(entry: impl AsRef<Path>) -> Self {
        Self::Binary {
            entry: entry.as_ref().to_owned(),
        }
    }

    /// This very program is the host.
    ///
    /// # Errors
    ///
    /// If its path is not known.
    pub fn this_program() -> io::Result<Self> {
        let program = std::env::current_exe()?;
        Ok(Self::Host { program })
    }

    pub(super) fn entry(&self, settings: &Path) -> Command {
        let mut config = OsString::from("--config=");
        config.push(settings);
        let mut command = match self {
            Self::Binary { entry } => Command::new(entry),
            Self::Host { program } => host(program, ENTRY),
        };
        command.arg(config);
        command
    }

    /// `None` if stand-ins are threads.
    pub(super) fn standin(&self, subcommand: &str) -> Option<Command> {
        match self {
            Self::Binary { .. } => None,
            Self::Host { program } => Some(host(program, subcommand)),
        }
    }
}

fn host(program: &Path, subcommand: &str) -> Command {
    let mut command = Command::new(program);
    command.arg(subcommand);
    command
}
