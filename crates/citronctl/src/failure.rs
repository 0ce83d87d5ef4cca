//! What can go wrong, and the exit code that tells it to scripts.

use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use thiserror::Error;

use citronway::operators::{Conflict, Refusal};
use citronway_core::config::Difference;
use citronway_core::ids::Version;

/// Exit codes, as the documents state them.
pub mod codes {
    /// Done.
    pub const OK: u8 = 0;
    /// Any other error; nothing was changed.
    pub const ERROR: u8 = 1;
    /// The command line is wrong.
    pub const USAGE: u8 = 2;
    /// The configuration has changed since the version the change is based on.
    pub const CONFLICT: u8 = 3;
    /// The change is wrong, or the token is.
    pub const REFUSED: u8 = 4;
    /// Accepted, but not in force everywhere in the time given.
    pub const NOT_IN_FORCE: u8 = 5;
    /// It is not known whether the change was accepted.
    pub const UNKNOWN: u8 = 6;
    /// The instance cannot be reached; nothing was changed.
    pub const UNREACHABLE: u8 = 7;
}

/// Why a command did not succeed.
#[derive(Debug, Error)]
pub enum Failure {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file does not hold what it should.
    #[error("{}: {reason}", path.display())]
    Content {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// The machine lacks something.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The instance cannot be reached.
    #[error("cannot reach {server}: {reason}")]
    Unreachable {
        /// Its address.
        server: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The connection broke after a command was sent.
    #[error(
        "no answer from {server} ({reason}): the change may or may not have been accepted. \
         Look with `citronctl get config --stored`; {}",
        repeat_text(*.expected)
    )]
    Lost {
        /// Address of the instance.
        server: SocketAddr,
        /// What became of the connection.
        reason: String,
        /// Version that the change was based on, if on one.
        expected: Option<Version>,
    },
    /// The instance refused.
    #[error("{}", refusal_text(.0))]
    Refused(Refusal),
    /// The endpoint to remove still owns shards.
    #[error(
        "endpoint {endpoint} still owns {shards} shards; nothing was changed. Drain it, wait until \
         `citronctl get endpoints` shows none, or say --force if it will never come back"
    )]
    OwnsShards {
        /// The endpoint.
        endpoint: String,
        /// Shards that it owns.
        shards: usize,
    },
    /// The instance answered something that is not understood.
    #[error("{server} gave an answer that is not understood: {reason}")]
    Answer {
        /// Address of the instance.
        server: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
    /// Accepted, but not in force everywhere in time.
    #[error(
        "accepted at version {version}, but not in force everywhere after {seconds} s; \
         still behind: {behind}"
    )]
    NotInForce {
        /// Version of the change.
        version: Version,
        /// Time given, in seconds.
        seconds: u64,
        /// Instances that are behind.
        behind: String,
    },
    /// No log names the request.
    #[error(
        "none of {lines} lines names request {request}{}",
        others_text(*.others)
    )]
    UnknownRequest {
        /// Its id.
        request: String,
        /// Lines that were read.
        lines: usize,
        /// Lines that are none of a log.
        others: usize,
    },
    /// A replay differs from the recorded outcomes.
    #[error("{0}")]
    Replay(String),
}

impl Failure {
    /// The exit code that tells it to scripts.
    #[must_use]
    pub const fn code(&self) -> u8 {
        match self {
            Self::Usage(_) => codes::USAGE,
            Self::File { .. }
            | Self::Content { .. }
            | Self::Io(_)
            | Self::Answer { .. }
            | Self::UnknownRequest { .. }
            | Self::Replay(_) => codes::ERROR,
            Self::OwnsShards { .. } => codes::REFUSED,
            Self::Unreachable { .. } => codes::UNREACHABLE,
            Self::Lost { .. } => codes::UNKNOWN,
            Self::NotInForce { .. } => codes::NOT_IN_FORCE,
            Self::Refused(refusal) => refusal_code(refusal),
        }
    }
}

/// Writes the failure to standard error and gives its exit code.
#[must_use]
pub fn show(failure: &Failure) -> ExitCode {
    eprintln!("citronctl: {failure}");
    ExitCode::from(failure.code())
}

const fn refusal_code(refusal: &Refusal) -> u8 {
    match refusal {
        Refusal::Conflict(_) => codes::CONFLICT,
        Refusal::Unknown { .. } => codes::UNKNOWN,
        Refusal::Unavailable { .. } => codes::ERROR,
        Refusal::Unauthorized { .. }
        | Refusal::Malformed { .. }
        | Refusal::VersionMissing { .. }
        | Refusal::TooLarge { .. }
        | Refusal::Findings { .. } => codes::REFUSED,
    }
}

fn repeat_text(expected: Option<Version>) -> String {
    match expected {
        Some(version) => format!(
            "sending the same command again with `--version-expected {version}` is safe, it is \
             never applied twice"
        ),
        None => "sending the same command again is safe".to_owned(),
    }
}

fn refusal_text(refusal: &Refusal) -> String {
    let mut text = refusal.to_string();
    match refusal {
        Refusal::Findings { findings } => {
            for finding in findings {
                let (place, problem) = (&finding.place, &finding.problem);
                let _ = write!(
                    text,
                    "\n  {place}: {problem}; expected {}",
                    finding.expected
                );
            }
        }
        Refusal::Conflict(conflict) => add_conflict(&mut text, conflict),
        _ => {}
    }
    text
}

fn add_conflict(text: &mut String, conflict: &Conflict) {
    let theirs = conflict
        .changes
        .as_ref()
        .and_then(|both| both.theirs.as_ref());
    let yours = conflict.changes.as_ref().map(|both| &both.yours);
    match (yours, theirs) {
        (Some(yours), Some(theirs)) => {
            add_differences(text, "your change", yours);
            add_differences(text, "the other change", theirs);
        }
        (Some(yours), None) => {
            add_differences(text, "your change, compared with what is stored", yours);
            let expected = conflict.expected;
            let _ = write!(
                text,
                "\nthe other change: version {expected} was not seen there"
            );
        }
        _ => text.push_str("\nthe other change could not be read"),
    }
    let _ = write!(
        text,
        "\nlook at version {} and send your change again, based on it",
        conflict.found
    );
}

fn add_differences(text: &mut String, whose: &str, differences: &[Difference]) {
    let _ = write!(text, "\n{whose}:");
    if differences.is_empty() {
        text.push_str(" nothing");
    }
    for difference in differences {
        let _ = write!(text, "\n  {difference}");
    }
}

fn others_text(others: usize) -> String {
    if others == 0 {
        return String::new();
    }
    format!("; {others} more are none of a log")
}
