//! What can be wrong with a message from another instance.

use std::str::Utf8Error;

/// A message that could not be converted.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A pointer that must be set is null.
    #[error("{place} is missing")]
    Missing {
        /// Field at fault, `struct.field`.
        place: &'static str,
    },
    /// An enum or union has a value that this version does not know.
    #[error("{place} has the unknown value {number}")]
    UnknownValue {
        /// Field at fault.
        place: &'static str,
        /// Number found.
        number: u16,
    },
    /// A request id that is not 16 bytes long.
    #[error("{place} is no UUID: it has {found} bytes instead of 16")]
    BadUuid {
        /// Field at fault.
        place: &'static str,
        /// Bytes found.
        found: usize,
    },
    /// A nonce of another length than agreed.
    #[error("{place} has {found} bytes instead of {expected}")]
    BadLength {
        /// Field at fault.
        place: &'static str,
        /// Bytes found.
        found: usize,
        /// Bytes expected.
        expected: usize,
    },
    /// Text that is not UTF-8.
    #[error("{place} is not UTF-8")]
    BadText {
        /// Field at fault.
        place: &'static str,
        /// Where it goes wrong.
        source: Utf8Error,
    },
    /// A field that is longer than allowed, in bytes or in entries.
    #[error("{place} has a length of {found}, the limit is {limit}")]
    OverLimit {
        /// Field at fault.
        place: &'static str,
        /// Length found.
        found: usize,
        /// Longest allowed.
        limit: usize,
    },
    /// The encoding itself is broken.
    #[error("{place} is malformed")]
    Malformed {
        /// Field at fault.
        place: &'static str,
        /// What the codec found.
        source: capnp::Error,
    },
}

impl From<WireError> for capnp::Error {
    fn from(err: WireError) -> Self {
        Self::failed(err.to_string())
    }
}
