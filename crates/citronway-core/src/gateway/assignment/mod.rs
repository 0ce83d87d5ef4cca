//! Assignment of a service's keys to endpoints, as stored in one row.
//!
//! Only the leader changes the row, on condition that neither the row nor the leader has
//! changed. An endpoint is entered in the row before any key is granted to it.

mod packed;
mod stored;

use std::net::SocketAddr;

use indexmap::IndexSet;

use crate::ids::EndpointStart;

/// Last key of the key space; the first is zero.
pub const LAST_KEY: u16 = u16::MAX;

/// Most ranges of an assignment with up to 960 endpoints.
///
/// In the short form a range takes up to 18 bytes and a start of an endpoint 30. With 750
/// endpoints and all ranges moving, the row has 46,000 of the 65,536 bytes that the store
/// allows.
pub const MAX_RANGES: usize = 1_200;

/// Most ranges of an assignment with this number of endpoints: with more than 960, one for each
/// endpoint and another for every fourth.
#[must_use]
pub const fn max_ranges(endpoints: usize) -> usize {
    let more = endpoints + endpoints / 4;
    if more > MAX_RANGES { more } else { MAX_RANGES }
}

/// Size limit of a row in the store, in bytes.
pub const MAX_ROW_BYTES: usize = 65_536;

/// Number of fences that are allocated for one move: the highest is the new owner's, the others
/// are for seals.
///
/// Each attempt to seal the old owner uses a fence of its own, so that a lost attempt that is
/// carried out late has a lower fence than the confirmed one.
pub const FENCES_PER_MOVE: u64 = 8;

/// An endpoint together with the fence of its grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Start of the endpoint.
    pub endpoint: EndpointStart,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Fencing token of the grant.
    pub fence: u64,
}

/// A range of keys, both ends included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Range {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// The only endpoint that may hold the keys.
    pub holder: Holder,
    /// Next owner, once the holder is known to hold the keys no more; `None` if the range does
    /// not move.
    pub next: Option<Holder>,
}

impl Range {
    /// Whether the range is moving to another endpoint.
    #[must_use]
    pub const fn is_moving(&self) -> bool {
        self.next.is_some()
    }

    /// Whether both ranges have a key in common.
    #[must_use]
    pub const fn overlaps(&self, other: &Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Number of keys in the range.
    #[must_use]
    pub fn width(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }
}

/// Assignment of all keys of a service.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Assignment {
    /// Term of the leader that wrote the row; zero if unknown, as in rows of earlier releases.
    ///
    /// Fences of moves belong to the leader that allocated them, see [`crate::gateway::leader`].
    pub term: u64,
    /// Lowest fence that has never been allocated.
    pub next_fence: u64,
    /// Ranges in ascending order that cover all keys without gaps; empty before the first
    /// assignment.
    pub ranges: Vec<Range>,
}

impl Assignment {
    /// Allocates `count` fences and returns the highest of them.
    pub fn allocate_fences(&mut self, count: u64) -> u64 {
        self.next_fence += count;
        self.next_fence - 1
    }

    /// Range that contains `key`; `None` if there are no ranges.
    #[must_use]
    pub fn range_at(&self, key: u16) -> Option<&Range> {
        let i = self.ranges.partition_point(|range| range.last < key);
        self.ranges.get(i)
    }

    /// Number of endpoints that hold a range.
    #[must_use]
    pub fn holder_count(&self) -> usize {
        let holders = self.ranges.iter().map(|range| &range.holder.endpoint);
        holders.collect::<IndexSet<_>>().len()
    }

    /// Encodes the assignment in its stored form.
    ///
    /// # Errors
    ///
    /// When a library fails to encode it.
    pub fn to_bytes(&self) -> Result<Vec<u8>, RowError> {
        stored::write(self)
    }

    /// Whether the row is within the size limit of the store.
    ///
    /// Failure: endpoints are replaced one after the other, and the row names the old and the
    /// new starts of all of them. The store refuses a longer row, so no move ends, and the keys
    /// of endpoints that have ended are served by nobody.
    #[must_use]
    pub fn fits_in_store(&self) -> bool {
        self.to_bytes()
            .is_ok_and(|bytes| bytes.len() <= MAX_ROW_BYTES)
    }

    /// Delta from `before` to this assignment: the term, the next fence and the ranges that
    /// `before` does not have, in the stored form of an assignment.
    ///
    /// # Errors
    ///
    /// When a library fails to encode it.
    pub fn changes_since(&self, before: &Self) -> Result<Vec<u8>, RowError> {
        let is_new = |range: &&Range| before.range_at(range.first) != Some(*range);
        let changed = Self {
            term: self.term,
            next_fence: self.next_fence,
            ranges: self.ranges.iter().filter(is_new).cloned().collect(),
        };
        changed.to_bytes()
    }

    /// This assignment with a delta applied that [`Assignment::changes_since`] made.
    ///
    /// # Errors
    ///
    /// When the delta is malformed or does not apply to this assignment.
    pub fn with_changes(&self, bytes: &[u8]) -> Result<Self, RowError> {
        let changed = stored::read(bytes)?;
        let mut ranges = self.ranges.clone();
        ranges.retain(|old| !changed.ranges.iter().any(|new| new.overlaps(old)));
        ranges.extend(changed.ranges);
        ranges.sort_by_key(|range| range.first);
        let whole = Self {
            term: changed.term,
            next_fence: changed.next_fence,
            ranges,
        };
        whole.check()
    }

    /// Returns the assignment if each key belongs to exactly one range and all fences are valid.
    fn check(self) -> Result<Self, RowError> {
        let mut expected_first = Some(0);
        for (i, range) in self.ranges.iter().enumerate() {
            if expected_first != Some(range.first) || range.last < range.first {
                return Err(RowError::Gap { range: i });
            }
            expected_first = range.last.checked_add(1);
            if !self.has_valid_fences(range) {
                return Err(RowError::Fence { range: i });
            }
        }
        if expected_first.is_some() && !self.ranges.is_empty() {
            let range = self.ranges.len();
            return Err(RowError::Gap { range });
        }
        Ok(self)
    }

    /// Whether the fences of a range were allocated by this row, the next owner's last.
    fn has_valid_fences(&self, range: &Range) -> bool {
        let held = range.holder.fence;
        let next = range.next.as_ref().map(|next| next.fence);
        let follows = |next: u64| next > held && next >= FENCES_PER_MOVE && next < self.next_fence;
        held < self.next_fence && next.is_none_or(follows)
    }

    /// Decodes the stored form.
    ///
    /// # Errors
    ///
    /// When it is malformed, names an endpoint that it does not list, leaves keys out or has an
    /// invalid fence.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, RowError> {
        stored::read(bytes)?.check()
    }
}

/// Error in the stored form of an assignment.
#[derive(Debug, thiserror::Error)]
pub enum RowError {
    /// The long form, JSON, cannot be decoded.
    #[error("malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The short form cannot be decoded.
    #[error("malformed: {0}")]
    MalformedShort(#[from] postcard::Error),
    /// The packed form cannot be inflated.
    #[error("malformed: {0}")]
    MalformedPacked(#[from] std::io::Error),
    /// The parts of a packed row are inconsistent.
    #[error("malformed: part {part} of a packed row is too short")]
    PackedPart {
        /// Name of the part.
        part: &'static str,
    },
    /// A range names an endpoint that the row does not list.
    #[error("range {range} names endpoint number {endpoint}, which the row does not list")]
    UnknownEndpoint {
        /// Index of the range.
        range: usize,
        /// Index of the endpoint.
        endpoint: usize,
    },
    /// A fence was never allocated, or the next owner's is not above the holder's.
    #[error("range {range} has a fence that this row cannot have given")]
    Fence {
        /// Index of the range.
        range: usize,
    },
    /// A key belongs to no range or to two.
    #[error("range {range} does not begin where the one before it ends")]
    Gap {
        /// Index of the range.
        range: usize,
    },
}
