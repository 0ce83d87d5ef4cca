//! What an instance's traffic goes by.

use super::FingerprintKey;

/// What is known of crashes, as the traffic goes by it.
#[derive(Debug, Clone, Default)]
pub struct Known {
    /// Key of fingerprints; none until the stored row was seen.
    pub key: Option<FingerprintKey>,
}
