//! Text that must not show up in logs, errors or debug output.

use std::fmt;

/// A secret; its text is only had by asking for it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Takes the text as it is.
    #[must_use]
    pub const fn new(text: String) -> Self {
        Self(text)
    }

    /// The text itself.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}
