//! Who owns which keys of a service, as it stands in the store.
//!
//! One row holds the whole assignment of a service. It is changed only by the
//! leader, under the condition that neither the row nor the leader has changed.
//! Whoever may hold keys stands in the row before anything is granted to it.

mod packed;
mod stored;

use std::net::SocketAddr;

use indexmap::IndexSet;

use crate::ids::EndpointStart;

/// Last key of the key space; the first is zero.
pub const LAST_KEY: u16 = u16::MAX;

/// Most ranges of one assignment of up to 960 endpoints.
///
/// In its short form a range takes up to 18 bytes and a start of an endpoint 30. With 750
/// endpoints and all ranges moving, the row has 46,000 of the 65,536 bytes that the store
/// allows a row.
pub const MAX_RANGES: usize = 1_200;

/// Most ranges of the assignment of a service with so many endpoints: with more than 960,
/// each has one and every fourth another.
#[must_use]
pub const fn max_ranges(endpoints: usize) -> usize {
    let more = endpoints + endpoints / 4;
    if more > MAX_RANGES { more } else { MAX_RANGES }
}

/// Most bytes of a row, as the store allows.
pub const MAX_ROW_BYTES: usize = 65_536;

/// Fences set aside for one move: seals below, the new owner's on top.
///
/// Each attempt to seal the old owner takes a fence of its own, so that a lost
/// attempt that is carried out late is below the one that was confirmed.
pub const FENCES_PER_MOVE: u64 = 8;

/// An endpoint together with the fence of its grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Start of the endpoint.
    pub endpoint: EndpointStart,
    /// Where it listens.
    pub address: SocketAddr,
    /// Fence of the grant.
    pub fence: u64,
}

/// A range of keys, both ends included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Range {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Who may hold the keys; nobody else does.
    pub holder: Holder,
    /// Who gets them once the holder is known to hold them no more.
    pub next: Option<Holder>,
}

impl Range {
    /// Whether the range is being taken from its holder.
    #[must_use]
    pub const fn is_moving(&self) -> bool {
        self.next.is_some()
    }

    /// Whether the two have a key in common.
    #[must_use]
    pub const fn overlaps(&self, other: &Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Number of keys.
    #[must_use]
    pub fn width(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }
}

/// All ranges of a service, in order and without gaps.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Assignment {
    /// No fence at or above it was ever given.
    pub next_fence: u64,
    /// Ranges in ascending order; they cover all keys.
    pub ranges: Vec<Range>,
}

impl Assignment {
    /// Takes `count` fences; returns the highest of them.
    pub fn allocate_fences(&mut self, count: u64) -> u64 {
        self.next_fence += count;
        self.next_fence - 1
    }

    /// The range that holds `key`, if there are ranges at all.
    #[must_use]
    pub fn range_at(&self, key: u16) -> Option<&Range> {
        let i = self.ranges.partition_point(|range| range.last < key);
        self.ranges.get(i)
    }

    /// Endpoints that hold a range.
    #[must_use]
    pub fn holder_count(&self) -> usize {
        let holders = self.ranges.iter().map(|range| &range.holder.endpoint);
        holders.collect::<IndexSet<_>>().len()
    }

    /// Writes the stored form.
    ///
    /// # Errors
    ///
    /// Only if a library cannot write it.
    pub fn to_bytes(&self) -> Result<Vec<u8>, RowError> {
        stored::write(self)
    }

    /// Whether the store takes the row.
    ///
    /// Failure: endpoints are replaced one after the other, and the row names the old and
    /// the new starts of them all. The store refuses a longer row, so no move ends, and keys
    /// of endpoints that have left are served by nobody.
    #[must_use]
    pub fn fits_in_store(&self) -> bool {
        self.to_bytes()
            .is_ok_and(|bytes| bytes.len() <= MAX_ROW_BYTES)
    }

    /// What leads from `before` to this one: the fence to draw next and the ranges
    /// that `before` does not have, in the stored form of an assignment.
    ///
    /// # Errors
    ///
    /// Only if the library cannot write it.
    pub fn changes_since(&self, before: &Self) -> Result<Vec<u8>, RowError> {
        let is_new = |range: &&Range| before.range_at(range.first) != Some(*range);
        let changed = Self {
            next_fence: self.next_fence,
            ranges: self.ranges.iter().filter(is_new).cloned().collect(),
        };
        changed.to_bytes()
    }

    /// This assignment with changes made by [`Assignment::changes_since`] on it.
    ///
    /// # Errors
    ///
    /// When the changes are malformed or do not fit.
    pub fn with_changes(&self, bytes: &[u8]) -> Result<Self, RowError> {
        let changed = stored::read(bytes)?;
        let mut ranges = self.ranges.clone();
        ranges.retain(|old| !changed.ranges.iter().any(|new| new.overlaps(old)));
        ranges.extend(changed.ranges);
        ranges.sort_by_key(|range| range.first);
        let whole = Self {
            next_fence: changed.next_fence,
            ranges,
        };
        whole.check()
    }

    /// The assignment, if each key belongs to just one of its ranges.
    fn check(self) -> Result<Self, RowError> {
        let mut due = Some(0);
        for (i, range) in self.ranges.iter().enumerate() {
            if due != Some(range.first) || range.last < range.first {
                return Err(RowError::Gap { range: i });
            }
            due = range.last.checked_add(1);
            if !self.has_sound_fences(range) {
                return Err(RowError::Fence { range: i });
            }
        }
        if due.is_some() && !self.ranges.is_empty() {
            let range = self.ranges.len();
            return Err(RowError::Gap { range });
        }
        Ok(self)
    }

    /// Whether the fences of a range were drawn from this row, the next owner's last.
    fn has_sound_fences(&self, range: &Range) -> bool {
        let held = range.holder.fence;
        let next = range.next.as_ref().map(|next| next.fence);
        let follows = |next: u64| next > held && next >= FENCES_PER_MOVE && next < self.next_fence;
        held < self.next_fence && next.is_none_or(follows)
    }

    /// Reads the stored form.
    ///
    /// # Errors
    ///
    /// When it is malformed, names an endpoint it does not list, or leaves keys out.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, RowError> {
        stored::read(bytes)?.check()
    }
}

/// Why a row of the own table was not taken.
#[derive(Debug, thiserror::Error)]
pub enum RowError {
    /// Not of the stored form.
    #[error("malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// Not of the short form.
    #[error("malformed: {0}")]
    MalformedShort(#[from] postcard::Error),
    /// Not of the packed form.
    #[error("malformed: {0}")]
    MalformedPacked(#[from] std::io::Error),
    /// The parts of a packed row do not go together.
    #[error("malformed: part {part} of a packed row is too short")]
    PackedPart {
        /// Which part.
        part: &'static str,
    },
    /// A range names an endpoint that the row does not list.
    #[error("range {range} names endpoint number {endpoint}, which the row does not list")]
    UnknownEndpoint {
        /// Place of the range.
        range: usize,
        /// Number of the endpoint.
        endpoint: usize,
    },
    /// A fence that was never drawn, or a next owner's that is not above its holder's.
    #[error("range {range} has a fence that this row cannot have given")]
    Fence {
        /// Place of the range.
        range: usize,
    },
    /// A key belongs to no range or to two.
    #[error("range {range} does not begin where the one before it ends")]
    Gap {
        /// Place of the range.
        range: usize,
    },
}
