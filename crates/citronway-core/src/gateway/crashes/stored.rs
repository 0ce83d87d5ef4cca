//! The stored row that all instances of a fleet share.

use serde::{Deserialize, Serialize};

use super::{Fingerprint, FingerprintKey};

/// The row as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrashes {
    /// Key of fingerprints.
    pub key: FingerprintKey,
    /// Work that is refused, or was and is tried again.
    #[serde(default)]
    pub refused: Vec<Refused>,
}

/// Work that was taken as harmful.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Refused {
    /// Which work.
    pub work: Fingerprint,
    /// How often it was taken as harmful.
    pub times: u32,
}
