//! What a request asks for, in a few bytes.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::request::Request;

/// Hash of all that makes two requests the same work. Not made against forgers:
/// the callers of one id are trusted to be the same caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// As bytes, most significant first.
    #[must_use]
    pub const fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }

    /// From the bytes of [`Self::to_bytes`].
    #[must_use]
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(u128::from_be_bytes(bytes))
    }

    /// Hashes service, key, method, path, media type and body.
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

/// Adds a part after its length, so that no part can pass for the next one.
fn add(hash: &mut Xxh3, part: &[u8]) {
    hash.update(&(part.len() as u64).to_le_bytes());
    hash.update(part);
}
