//! Bearer token of the administration API.

use std::hint::black_box;

use crate::settings::Secret;

const SCHEME: &str = "Bearer ";

/// Secret that operators send with each request.
#[derive(Debug, Clone)]
pub struct Token(Secret);

impl Token {
    /// Takes the token of the settings, which check its length.
    #[must_use]
    pub const fn new(secret: Secret) -> Self {
        Self(secret)
    }

    /// Whether the value of an `Authorization` header holds this token.
    ///
    /// An empty token lets nobody in.
    #[must_use]
    pub fn matches(&self, authorization: Option<&str>) -> bool {
        let Some(given) = authorization.and_then(|text| text.strip_prefix(SCHEME)) else {
            return false;
        };
        let expected = self.0.reveal().as_bytes();
        !expected.is_empty() && same(expected, given.trim().as_bytes())
    }
}

/// Compares without stopping at the first difference.
///
/// Failure: a comparison that stops early tells by its duration how many bytes
/// of a guess are right, and the token is found byte by byte. Here every byte
/// is looked at, and `black_box` keeps the compiler from stopping early.
fn same(expected: &[u8], given: &[u8]) -> bool {
    if expected.len() != given.len() {
        return false;
    }
    let mut difference = 0;
    for (a, b) in expected.iter().zip(given) {
        difference |= black_box(a ^ b);
    }
    black_box(difference) == 0
}
