//! Versions of stored rows. They begin again when the store comes back from an older copy of itself,
//! and only an era tells them from those that it gave out before.

use std::fmt;

/// Number of bits of a leader's term below its era.
const TERM_BITS: u32 = 32;

/// Number of bits of a fence below its era.
const FENCE_BITS: u32 = 32;

/// Era of the store: increases by one each time that the store comes back from an older copy.
///
/// A store that states no era is in the first one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Era(pub u32);

impl Era {
    /// The era of a store that states none.
    pub const FIRST: Self = Self(0);

    /// The last era. Its fences are integers of 53 bits, which each reader of JSON keeps.
    pub const LAST: Self = Self(1 << 20);

    /// Lowest fence that a leader gives out after the store came back in this era. It does not depend
    /// on known fences, as no leader may know how high those of lost rows were.
    #[must_use]
    pub const fn first_fence(self) -> u64 {
        (self.0 as u64) << FENCE_BITS
    }

    /// Term that is lower than all terms of leaders that replace a leader of an earlier era, also one
    /// whose row was lost.
    #[must_use]
    pub const fn first_term(self) -> u64 {
        (self.0 as u64) << TERM_BITS
    }

    /// Latest era that is known to have begun where a term is known. Terms of a leader that
    /// replaced none of an earlier era do not tell the era.
    #[must_use]
    pub const fn of_term(term: u64) -> Self {
        Self((term >> TERM_BITS) as u32)
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Version of a stored row, or of the store. Versions of a later era are newer than all of an
/// earlier one, whatever their numbers are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RowVersion {
    /// Era in which the row was read or written.
    pub era: Era,
    /// Number that the store gave out; zero for a row that does not exist.
    pub number: u64,
}

impl RowVersion {
    /// Version that precedes all others.
    pub const NONE: Self = Self::first(0);

    /// Version with this number in the first era.
    #[must_use]
    pub const fn first(number: u64) -> Self {
        Self {
            era: Era::FIRST,
            number,
        }
    }

    /// The version that follows in the same era.
    #[must_use]
    pub const fn next(self) -> Self {
        Self {
            era: self.era,
            number: self.number + 1,
        }
    }

    /// Version of a row that does not exist in an era.
    #[must_use]
    pub const fn absent(era: Era) -> Self {
        Self { era, number: 0 }
    }
}

impl fmt::Display for RowVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.number)
    }
}
