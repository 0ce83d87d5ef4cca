//! The stored row that all instances of a fleet share.

use serde::{Deserialize, Serialize};

use super::{Fingerprint, FingerprintKey};
use crate::gateway::pace::EndpointTag;

/// The row as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrashes {
    /// Key of fingerprints.
    pub key: FingerprintKey,
    /// Work that is refused, or was and is tried again.
    #[serde(default)]
    pub refused: Vec<RefusedWork>,
    /// Work under suspicion. An instance of an earlier version writes none.
    #[serde(default)]
    pub suspects: Vec<StoredSuspect>,
}

impl StoredCrashes {
    /// Whether it says all that another one does of work under suspicion.
    #[must_use]
    pub fn covers(&self, suspects: &[StoredSuspect]) -> bool {
        let known = |suspect: &StoredSuspect| {
            let mut same = self.suspects.iter().filter(|s| s.work == suspect.work);
            same.any(|s| suspect.endpoints.iter().all(|e| s.endpoints.contains(e)))
        };
        suspects.iter().all(known)
    }
}

/// Work that was at endpoints that crashed, and was not answered since.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoredSuspect {
    /// Which work.
    pub work: Fingerprint,
    /// Starts of the endpoints.
    pub endpoints: Vec<EndpointTag>,
}

/// Work that was taken as harmful.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RefusedWork {
    /// Which work.
    pub work: Fingerprint,
    /// How often it was taken as harmful.
    pub times: u32,
}
