//! What is wrong with a request, and where.

use std::fmt;

use http::StatusCode;
use serde::{Serialize, Serializer};

use super::percent::DecodeError;

/// One thing that is wrong with a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Where.
    pub place: Place,
    /// What.
    #[serde(flatten)]
    pub problem: Problem,
}

/// Part of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// The method.
    Method,
    /// The path.
    Path,
    /// The header of this name.
    Header(String),
    /// The body.
    Body,
}

/// What is wrong with a part of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, thiserror::Error)]
#[serde(tag = "problem", rename_all = "snake_case")]
pub enum Problem {
    /// It has to be there.
    #[error("it is required")]
    Missing,
    /// It is there more than once.
    #[error("it is there more than once")]
    Repeated,
    /// It holds bytes that are no text.
    #[error("it is not text")]
    NotText,
    /// It has no content.
    #[error("it is empty")]
    Empty,
    /// It is longer than allowed.
    #[error("it is longer than {limit} bytes")]
    TooLong {
        /// Most bytes.
        limit: usize,
    },
    /// Its percent-encoding is wrong.
    #[error("{cause}")]
    BadEncoding {
        /// What is wrong with it.
        cause: DecodeError,
    },
    /// It is neither `true` nor `false`.
    #[error("it is neither true nor false")]
    NotBoolean,
    /// It is no number of milliseconds above zero.
    #[error("it is not a whole number of milliseconds above zero")]
    NotMilliseconds,
    /// Work that must not run twice has no idempotency key.
    #[error(
        "non-idempotent work needs a UUID of version 7 here; send the same one with each retry, \
         or state `citronway-idempotent: true` if the work may run more than once"
    )]
    KeyRequired,
    /// It is no UUID of version 7.
    #[error("it is not a UUID of version 7")]
    NotUuidV7,
    /// The UUID was created later than now.
    #[error("its time of creation is more than {limit_ms} ms ahead")]
    Ahead {
        /// Most milliseconds ahead.
        limit_ms: u64,
    },
    /// Callers may not use it.
    #[error("it is reserved")]
    Reserved,
    /// There is nothing here.
    #[error("there is nothing here; work goes to /v1/services/SERVICE/PATH")]
    NotFound,
    /// It is not supported.
    #[error("it is not supported")]
    Unsupported,
    /// There are more labels than allowed.
    #[error("there are more than {limit} labels")]
    TooMany {
        /// Most labels.
        limit: usize,
    },
    /// The body is larger than allowed.
    #[error("it is larger than {limit} bytes")]
    TooLarge {
        /// Most bytes.
        limit: usize,
    },
    /// The body did not come in time.
    #[error("it did not come in time")]
    TooSlow,
    /// The body could not be read to its end.
    #[error("it could not be read to its end")]
    Cut,
}

impl Problem {
    /// Status of an answer that reports only this.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Method => f.write_str("method"),
            Self::Path => f.write_str("path"),
            Self::Header(name) => write!(f, "header {name}"),
            Self::Body => f.write_str("body"),
        }
    }
}

impl Serialize for Place {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl Finding {
    /// Finds `problem` in the header `name`.
    #[must_use]
    pub fn header(name: &str, problem: Problem) -> Self {
        Self {
            place: Place::Header(name.to_owned()),
            problem,
        }
    }

    /// Finds `problem` in the path.
    #[must_use]
    pub const fn path(problem: Problem) -> Self {
        Self {
            place: Place::Path,
            problem,
        }
    }

    /// Finds `problem` in the body.
    #[must_use]
    pub const fn body(problem: Problem) -> Self {
        Self {
            place: Place::Body,
            problem,
        }
    }
}
