//! Versions of stored rows. They begin again when the store comes back from an older copy of itself,
//! and only an era tells them from those that it gave out before.

use std::fmt;

/// Era of the store: increases by one each time that the store comes back from an older copy.
///
/// A store that states no era is in the first one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Era(pub u32);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
