//! Why the platform gave nothing usable.

use citronway_core::ids::{InstanceName, Version};
use citronway_core::platform::RowKey;
use http::StatusCode;

use crate::endpoints::link::ExchangeError;

/// Why a request to the platform brought nothing usable.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// Not a byte reached the platform.
    #[error("not sent: {0}")]
    NotSent(String),
    /// It was sent, and no whole answer came.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The answer has an unexpected status.
    #[error("answer has status {0}")]
    Status(StatusCode),
    /// The answer is not JSON of the expected shape.
    #[error("bad JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The request cannot be written as HTTP.
    #[error(transparent)]
    Http(#[from] http::Error),
    /// The answer holds a row that was not asked for.
    #[error("row {}/{} was not asked for", .0.table, .0.key)]
    ForeignRow(RowKey),
    /// The answer holds a row twice.
    #[error("row {}/{} is there twice", .0.table, .0.key)]
    DoubleRow(RowKey),
    /// The answer holds an instance twice.
    #[error("instance {0} is there twice")]
    DoubleInstance(InstanceName),
    /// A row has an older version than one that was known before the read began.
    #[error("row {}/{} went back from version {known} to {found}", at.table, at.key)]
    WentBack {
        /// The row.
        at: RowKey,
        /// Version known when the read began.
        known: Version,
        /// Version read.
        found: Version,
    },
    /// The answer to a write does not fit the write.
    #[error("answer does not fit the write: {0}")]
    Unfitting(&'static str),
}

impl From<ExchangeError> for PlatformError {
    fn from(err: ExchangeError) -> Self {
        match err {
            ExchangeError::NotSent(cause) => Self::NotSent(cause),
            err => Self::NoAnswer(err.to_string()),
        }
    }
}
