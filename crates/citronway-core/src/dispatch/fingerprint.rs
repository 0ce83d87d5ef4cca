//! Hash of a request's content.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::request::Request;

/// Hash of everything that identifies the content of a request. It is not
/// cryptographic: requests with the same id are assumed to come from the same
/// caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Converts to bytes, most significant first.
    #[must_use]
    pub const fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }

    /// Converts from the bytes of [`Self::to_bytes`].
    #[must_use]
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(u128::from_be_bytes(bytes))
    }

    /// Hashes the service, key, method, path, media type and body of a request.
    #[must_use]
    pub fn of(req: &Request) -> Self {
        let mut hash = Xxh3::new();
        add(&mut hash, req.service.as_str().as_bytes());
        add(&mut hash, req.key.as_str().as_bytes());
        add(&mut hash, req.method.as_bytes());
        add(&mut hash, req.path.as_bytes());
        add(
            &mut hash,
            req.content_type.as_deref().unwrap_or("").as_bytes(),
        );
        add(&mut hash, &req.body);
        Self(hash.digest128())
    }
}

/// Hashes the length of a part and then the part, so that bytes cannot shift
/// between parts without changing the hash.
fn add(hash: &mut Xxh3, part: &[u8]) {
    hash.update(&(part.len() as u64).to_le_bytes());
    hash.update(part);
}
