//! Why a request to the administration API was not carried out.

use std::fmt;

use http::StatusCode;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use citronway_core::config;
use citronway_core::findings::FindingText;
use citronway_core::ids::Version;

use super::store::StoredError;

/// Body of an answer that is not a success.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "snake_case")]
pub enum Refusal {
    /// The token is missing or wrong; nothing was done.
    #[error("{message}")]
    Unauthorized {
        /// For people.
        message: String,
    },
    /// The request cannot be read; nothing was done.
    #[error("{message}")]
    Malformed {
        /// For people.
        message: String,
    },
    /// The request does not say which version it is based on; nothing was done.
    #[error("{message}")]
    VersionMissing {
        /// For people.
        message: String,
    },
    /// The body is longer than the limit; nothing was done.
    #[error("{message}")]
    TooLarge {
        /// For people.
        message: String,
    },
    /// The change is wrong; nothing was written.
    #[error("the change is wrong in {} place(s) and was not accepted", findings.len())]
    Findings {
        /// All that is wrong, with places.
        findings: Vec<FindingText>,
    },
    /// The configuration has changed since the stated version.
    #[error("{0}")]
    Conflict(Box<Conflict>),
    /// The store does not take part at present; nothing was written.
    #[error("{message}")]
    Unavailable {
        /// For people.
        message: String,
    },
    /// It is not known whether the change was accepted.
    #[error("{message}")]
    Unknown {
        /// Version that the change was based on.
        expected: Version,
        /// For people: how to find out.
        message: String,
    },
}

/// Two changes met: the caller's and the one that was accepted before.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error(
    "the change is based on version {expected}, but the configuration is at version {found}; {}",
    self.fate
)]
pub struct Conflict {
    /// Version that the change was based on.
    pub expected: Version,
    /// Version that the configuration has.
    pub found: Version,
    /// Both changes; absent if the one accepted before could not be read.
    pub changes: Option<config::Conflict>,
    /// What is known of the refused change.
    pub fate: Fate,
}

/// What is known of a change that met another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// Nothing was written by this command, and nothing will be.
    NotWritten,
    /// The store's answer was lost: it may have stood before the later change.
    MayHaveStood,
    /// It was accepted, and a later change has taken its place.
    Stood,
}

impl fmt::Display for Fate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotWritten => "nothing was written by this command",
            Self::MayHaveStood => {
                "it may have been accepted, but a later change has taken its place"
            }
            Self::Stood => "it was accepted, but a later change has taken its place",
        })
    }
}

impl Refusal {
    /// HTTP status of the answer.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Unauthorized { .. } => StatusCode::UNAUTHORIZED,
            Self::Malformed { .. } => StatusCode::BAD_REQUEST,
            Self::VersionMissing { .. } => StatusCode::PRECONDITION_REQUIRED,
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Findings { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Conflict(_) => StatusCode::CONFLICT,
            Self::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The store was not asked to write anything.
    #[must_use]
    pub fn unavailable(reason: &impl fmt::Display) -> Self {
        Self::Unavailable {
            message: format!("{reason}; nothing was written, try again later"),
        }
    }

    /// The write on `expected` may have been accepted or may be yet.
    #[must_use]
    pub fn unknown(expected: Version) -> Self {
        Self::Unknown {
            expected,
            message: format!(
                "the store gave no answer: the change based on version {expected} may or may not \
                 have been accepted, and may still be. Do not assume either; read \
                 GET /admin/v1/config/stored (`citronctl get config --stored`) until its version \
                 is above {expected}: if it shows the change, it was accepted. Sending the same \
                 change again with version {expected} is safe: it is never applied twice"
            ),
        }
    }
}

impl From<StoredError> for Refusal {
    fn from(error: StoredError) -> Self {
        Self::unavailable(&error)
    }
}
