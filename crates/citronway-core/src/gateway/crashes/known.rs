//! Snapshot of the crash records, by which an instance decides about requests.

use indexmap::IndexMap;

use super::{Fingerprint, FingerprintKey};
use crate::time::Mono;

/// Harmful and suspect work, as needed to decide about requests.
#[derive(Debug, Clone, Default)]
pub struct CrashSnapshot {
    /// Key of the fingerprints; `None` until the stored row has been read.
    pub key: Option<FingerprintKey>,
    /// Harmful work, and the time until which it is refused.
    pub refused: IndexMap<Fingerprint, Mono>,
    /// Work that was at an endpoint that crashed, harmful or not, and when that was last
    /// reported.
    pub suspects: IndexMap<Fingerprint, Mono>,
}

impl CrashSnapshot {
    /// Whether the work is refused now.
    #[must_use]
    pub fn is_refused(&self, now: Mono, work: Fingerprint) -> bool {
        self.refused.get(&work).is_some_and(|until| now < *until)
    }

    /// Whether the work was at an endpoint that crashed and has not been answered since.
    #[must_use]
    pub fn is_suspect(&self, work: Fingerprint) -> bool {
        self.suspects.contains_key(&work)
    }
}
