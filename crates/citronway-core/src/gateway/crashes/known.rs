//! What an instance's traffic goes by.

use indexmap::{IndexMap, IndexSet};

use super::{Fingerprint, FingerprintKey};
use crate::time::Mono;

/// What is known of crashes, as the traffic goes by it.
#[derive(Debug, Clone, Default)]
pub struct Known {
    /// Key of fingerprints; none until the stored row was seen.
    pub key: Option<FingerprintKey>,
    /// Harmful work, and until when it is refused.
    pub refused: IndexMap<Fingerprint, Mono>,
    /// Work that was at an endpoint that crashed, harmful or not.
    pub suspects: IndexSet<Fingerprint>,
}

impl Known {
    /// Whether work is refused.
    #[must_use]
    pub fn refuses(&self, now: Mono, work: Fingerprint) -> bool {
        self.refused.get(&work).is_some_and(|until| now < *until)
    }
}
