//! The stored row that all instances of a fleet share.

use serde::{Deserialize, Serialize};

use super::FingerprintKey;

/// The row as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrashes {
    /// Key of fingerprints.
    pub key: FingerprintKey,
}
