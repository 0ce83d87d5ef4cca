//! Keyed hashes that identify the same work across attempts.

use std::fmt;
use std::hash::Hasher as _;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;

/// Length of a key, in bytes.
const KEY_BYTES: usize = 16;

/// A keyed hash of a request's content, the same for each attempt under one key.
///
/// It reveals nothing about the content without the key, so logs may show it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes parts under a key.
    #[must_use]
    pub fn of_parts(key: &FingerprintKey, parts: &[&[u8]]) -> Self {
        let mut hasher = SipHasher24::new_with_key(&key.0);
        for part in parts {
            add(&mut hasher, part);
        }
        Self(hasher.finish())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Hash key that all instances of a fleet share and that callers do not know.
///
/// Failure guarded against: a caller crafts requests with the fingerprint of another caller's
/// work and crashes endpoints with them, and the other caller's work is refused. Without the
/// key it cannot find such requests.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct FingerprintKey([u8; KEY_BYTES]);

impl FingerprintKey {
    /// Creates a key from random bytes.
    #[must_use]
    pub const fn new(bytes: [u8; KEY_BYTES]) -> Self {
        Self(bytes)
    }
}

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FingerprintKey(..)")
    }
}

impl From<FingerprintKey> for String {
    fn from(key: FingerprintKey) -> Self {
        format!("{:032x}", u128::from_be_bytes(key.0))
    }
}

impl TryFrom<String> for FingerprintKey {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, KeyError> {
        if text.len() != 2 * KEY_BYTES {
            return Err(KeyError::Length(text.len()));
        }
        let number = u128::from_str_radix(&text, 16).map_err(KeyError::Digits)?;
        Ok(Self(number.to_be_bytes()))
    }
}

/// Error in the text form of a key.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// Wrong number of digits.
    #[error("expected a key of 32 hexadecimal digits, found {0} bytes")]
    Length(usize),
    /// Characters other than hexadecimal digits.
    #[error("expected a key of hexadecimal digits only: {0}")]
    Digits(#[source] std::num::ParseIntError),
}

/// Content of a request that all attempts at the same work share.
#[derive(Debug, Clone, Copy)]
pub struct Work<'a> {
    /// Credentials of the caller, empty if there are none, so that no caller can incriminate the
    /// work of another. The address is left out, since the same work may arrive from several.
    pub caller: &'a [u8],
    /// Host that the request is for.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Key; `None` if the service is not sharded.
    pub key: Option<u16>,
    /// Complete body.
    pub body: &'a [u8],
}

impl Work<'_> {
    /// Fingerprint of the work under a key.
    #[must_use]
    pub fn fingerprint(&self, key: &FingerprintKey) -> Fingerprint {
        let mut hasher = SipHasher24::new_with_key(&key.0);
        add(&mut hasher, self.caller);
        add(&mut hasher, self.host.as_bytes());
        add(&mut hasher, self.method.as_bytes());
        add(&mut hasher, self.path.as_bytes());
        hasher.write_u32(self.key.map_or(u32::MAX, u32::from));
        add(&mut hasher, self.body);
        Fingerprint(hasher.finish())
    }
}

/// Adds a part with its length, so that different divisions of the same bytes have different
/// hashes.
fn add(hasher: &mut SipHasher24, bytes: &[u8]) {
    hasher.write_u64(bytes.len() as u64);
    hasher.write(bytes);
}
