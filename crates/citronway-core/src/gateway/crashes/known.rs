//! What an instance's traffic goes by.

use indexmap::IndexMap;

use super::{Fingerprint, FingerprintKey};
use crate::time::Mono;

/// What is known of crashes, as the traffic goes by it.
#[derive(Debug, Clone, Default)]
pub struct CrashSnapshot {
    /// Key of fingerprints; none until the stored row was seen.
    pub key: Option<FingerprintKey>,
    /// Harmful work, and until when it is refused.
    pub refused: IndexMap<Fingerprint, Mono>,
    /// Work that was at an endpoint that crashed, harmful or not, and when that was last
    /// heard of.
    pub suspects: IndexMap<Fingerprint, Mono>,
}

impl CrashSnapshot {
    /// Whether work is refused.
    #[must_use]
    pub fn is_refused(&self, now: Mono, work: Fingerprint) -> bool {
        self.refused.get(&work).is_some_and(|until| now < *until)
    }

    /// Whether work was at an endpoint that crashed, and was not answered since.
    #[must_use]
    pub fn is_suspect(&self, work: Fingerprint) -> bool {
        self.suspects.contains_key(&work)
    }
}
