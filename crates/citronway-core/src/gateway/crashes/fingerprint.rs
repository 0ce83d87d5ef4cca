//! What tries of the same work have in common.

use std::fmt;
use std::hash::Hasher as _;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;

/// Length of a key, in bytes.
const KEY_BYTES: usize = 16;

/// A hash of a request's content, the same for each try of it under one key.
///
/// It tells nothing of the content to whoever lacks the key, so logs may show it.
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

/// A key that all instances of a fleet share and callers do not know.
///
/// Failure guarded against: a caller makes requests that have the fingerprint of another's
/// work, crashes endpoints with them, and the other's work is refused. Without the key it
/// cannot find such requests.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct FingerprintKey([u8; KEY_BYTES]);

impl FingerprintKey {
    /// Takes bytes that were drawn at random.
    #[must_use]
    pub const fn new(drawn: [u8; KEY_BYTES]) -> Self {
        Self(drawn)
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

/// A text that is no key.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// Not as many digits as a key has.
    #[error("a key has 32 hexadecimal digits, not {0}")]
    Length(usize),
    /// Other characters than hexadecimal digits.
    #[error("a key has hexadecimal digits only: {0}")]
    Digits(#[source] std::num::ParseIntError),
}

/// Content of a request, as far as tries of the same work share it.
#[derive(Debug, Clone, Copy)]
pub struct Work<'a> {
    /// Credentials of who sends it, empty where there are none: no caller can bring the work
    /// of another into question. Its address says nothing: the same work comes by others.
    pub caller: &'a [u8],
    /// Host that it is for.
    pub host: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Key, for a service whose endpoints divide the keys.
    pub key: Option<u16>,
    /// Body, whole.
    pub body: &'a [u8],
}

impl Work<'_> {
    /// Its fingerprint.
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

/// Adds a part with its length, so that no two divisions of the same bytes are alike.
fn add(hasher: &mut SipHasher24, bytes: &[u8]) {
    hasher.write_u64(bytes.len() as u64);
    hasher.write(bytes);
}
