//! Way from the administration API to the store: commands to the platform's thread.

use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use citronway_core::config::Config;
use citronway_core::ids::Version;
use citronway_core::platform::{ConditionalPut, Row, RowKey, WriteOutcome};

/// Table that holds the configuration.
pub const CONFIG_TABLE: &str = "config";

/// Key of the row that holds the whole configuration.
pub const CONFIG_KEY: &str = "head";

/// What the administration API asks of the platform's thread.
#[derive(Debug)]
pub enum StoreCommand {
    /// Write all or nothing, once.
    Write {
        /// The writes.
        puts: Vec<ConditionalPut>,
        /// What became of them.
        answer: oneshot::Sender<WriteOutcome>,
    },
    /// Read one row from the store itself, not from memory.
    ReadRow {
        /// Its name.
        at: RowKey,
        /// The row, or `None` if it does not exist.
        answer: oneshot::Sender<Result<Option<Row>, ReadFailed>>,
    },
}

/// A row could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the store does not answer")]
pub struct ReadFailed;

/// The configuration as stored.
#[derive(Debug, Clone, PartialEq)]
pub struct Stored {
    /// Its version; 0 if there is none yet.
    pub version: Version,
    /// The configuration.
    pub config: Arc<Config>,
}

/// The stored configuration could not be had.
#[derive(Debug, Error)]
pub enum StoredError {
    /// The store does not answer.
    #[error(transparent)]
    Read(#[from] ReadFailed),
    /// The row does not hold a configuration.
    #[error("version {version} of the stored configuration cannot be read: {source}")]
    Malformed {
        /// Version of the row.
        version: Version,
        /// What is wrong.
        source: serde_json::Error,
    },
}

/// Sends commands to the platform's thread.
#[derive(Debug, Clone)]
pub struct StoreClient {
    commands: mpsc::Sender<StoreCommand>,
    timeout: Duration,
}

impl StoreClient {
    /// Uses a bounded ring; each command is waited for at most `timeout`.
    #[must_use]
    pub const fn new(commands: mpsc::Sender<StoreCommand>, timeout: Duration) -> Self {
        Self { commands, timeout }
    }

    /// Reads the row of the configuration.
    ///
    /// # Errors
    ///
    /// When the store does not answer in time.
    pub async fn read(&self) -> Result<Option<Row>, ReadFailed> {
        let (tx, rx) = oneshot::channel();
        let command = StoreCommand::ReadRow {
            at: config_row(),
            answer: tx,
        };
        if self.commands.try_send(command).is_err() {
            return Err(ReadFailed);
        }
        match timeout(self.timeout, rx).await {
            Ok(Ok(row)) => row,
            Ok(Err(_)) | Err(_) => Err(ReadFailed),
        }
    }

    /// Reads the stored configuration.
    ///
    /// # Errors
    ///
    /// When the store does not answer or the row is malformed.
    pub async fn read_config(&self) -> Result<Stored, StoredError> {
        parse(self.read().await?)
    }

    /// Writes the configuration once, on condition of the expected version.
    pub async fn write(&self, expected: Version, value: String) -> WriteOutcome {
        let (tx, rx) = oneshot::channel();
        let put = ConditionalPut {
            at: config_row(),
            expected,
            value,
        };
        let command = StoreCommand::Write {
            puts: vec![put],
            answer: tx,
        };
        // A ring that is full or closed has not taken the command.
        if self.commands.try_send(command).is_err() {
            return WriteOutcome::Refused;
        }
        // Failure: the platform's thread ends, or hangs, after it has sent the
        // write. The command was taken, so no answer means unknown, never "not
        // written".
        match timeout(self.timeout, rx).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => WriteOutcome::Unknown,
        }
    }
}

/// Name of the row that holds the configuration.
#[must_use]
pub fn config_row() -> RowKey {
    RowKey {
        table: CONFIG_TABLE.to_owned(),
        key: CONFIG_KEY.to_owned(),
    }
}

/// Reads a configuration out of its row.
///
/// # Errors
///
/// When the row does not hold one.
pub fn parse(row: Option<Row>) -> Result<Stored, StoredError> {
    let Some(row) = row else {
        return Ok(Stored {
            version: Version(0),
            config: Arc::default(),
        });
    };
    match serde_json::from_str(&row.value) {
        Ok(config) => Ok(Stored {
            version: row.version,
            config,
        }),
        Err(source) => Err(StoredError::Malformed {
            version: row.version,
            source,
        }),
    }
}
