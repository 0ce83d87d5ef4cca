//! Stored form of the crash records, which all instances of a fleet share.

use serde::{Deserialize, Serialize};

use super::{Fingerprint, FingerprintKey};
use crate::gateway::pace::EndpointTag;

/// The stored row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrashes {
    /// Key of the fingerprints.
    pub key: FingerprintKey,
    /// Harmful work, whether it is refused now or is being tried again.
    #[serde(default)]
    pub refused: Vec<RefusedWork>,
    /// Suspects. An instance of an earlier version writes none.
    #[serde(default)]
    pub suspects: Vec<StoredSuspect>,
}

impl StoredCrashes {
    /// Whether the row contains all of these suspects with all of their endpoints.
    #[must_use]
    pub fn covers(&self, suspects: &[StoredSuspect]) -> bool {
        let known = |suspect: &StoredSuspect| {
            let mut same = self.suspects.iter().filter(|s| s.work == suspect.work);
            same.any(|s| suspect.endpoints.iter().all(|e| s.endpoints.contains(e)))
        };
        suspects.iter().all(known)
    }
}

/// Work that was at endpoints that crashed and has not been answered since.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoredSuspect {
    /// Which work.
    pub work: Fingerprint,
    /// Starts of the endpoints.
    pub endpoints: Vec<EndpointTag>,
}

/// Work that was found harmful.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RefusedWork {
    /// Which work.
    pub work: Fingerprint,
    /// Number of times that it was found harmful.
    pub times: u32,
}
