//! Requests that crash the endpoints that run them.
//!
//! Each try of a caller has an id of its own and may come to any instance. What tries of one
//! work have in common is their content; a keyed hash of it is their [`Fingerprint`].

mod fingerprint;
mod known;
mod stored;

pub use fingerprint::{Fingerprint, FingerprintKey, KeyError, Work};
pub use known::Known;
pub use stored::StoredCrashes;
