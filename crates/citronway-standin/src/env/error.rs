//! What can go wrong with an environment.

use std::io;
use std::time::Duration;

use thiserror::Error;

use crate::http::ClientError;

/// What can go wrong with an environment.
#[derive(Debug, Error)]
pub enum EnvError {
    /// A file, process or socket failed.
    #[error("{doing}: {source}")]
    Io {
        /// What was being done.
        doing: String,
        /// Why it failed.
        source: io::Error,
    },
    /// A stand-in or entry did not answer as it should.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// A process ended before it was ready.
    #[error("{name} ended before it was ready")]
    EndedEarly {
        /// The process.
        name: String,
    },
    /// A state was waited for and did not come.
    #[error("waited {patience:?} in vain: {what}")]
    WaitedInVain {
        /// The state.
        what: String,
        /// Time waited.
        patience: Duration,
    },
    /// A configuration was not accepted.
    #[error("the configuration is not accepted: {refusal}")]
    NotAccepted {
        /// The last refusal.
        refusal: String,
    },
    /// Nothing of this name is in the environment.
    #[error("nothing is called {name}")]
    Unknown {
        /// The name.
        name: String,
    },
    /// What was asked needs a process, but the stand-in runs on a thread.
    #[error("{name} is no process")]
    NoProcess {
        /// The stand-in.
        name: String,
    },
}

impl EnvError {
    /// Names what was being done when I/O failed.
    pub fn io(doing: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let doing = doing.into();
        |source| Self::Io { doing, source }
    }
}
