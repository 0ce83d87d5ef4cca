//! Who owns which keys of a service, as it stands in the store.
//!
//! One row holds the whole assignment of a service. It is changed only by the
//! leader, under the condition that neither the row nor the leader has changed.
//! Whoever may hold keys stands in the row before anything is granted to it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointName, EndpointStart};

/// Last key of the key space; the first is zero.
pub const LAST_KEY: u16 = u16::MAX;

/// Most ranges of one assignment.
///
/// A range takes 30 to 40 bytes in its stored form and an endpoint about 55. With 400
/// endpoints and all ranges moving, the row has 51,000 of the 65,536 bytes that the store
/// allows a row.
pub const MAX_RANGES: usize = 850;

/// Fences set aside for one move: seals below, the new owner's on top.
///
/// Each attempt to seal the old owner takes a fence of its own, so that a lost
/// attempt that is carried out late is below the one that was confirmed.
pub const FENCES_A_MOVE: u64 = 8;

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
    pub fn draw_fences(&mut self, count: u64) -> u64 {
        self.next_fence += count;
        self.next_fence - 1
    }

    /// The range that holds `key`, if there are ranges at all.
    #[must_use]
    pub fn at(&self, key: u16) -> Option<&Range> {
        let i = self.ranges.partition_point(|range| range.last < key);
        self.ranges.get(i)
    }

    /// Writes the stored form.
    ///
    /// # Errors
    ///
    /// Only if the library cannot write it.
    pub fn to_bytes(&self) -> Result<Vec<u8>, serde_json::Error> {
        serde_json::to_vec(&Stored::from(self))
    }

    /// What leads from `before` to this one: the fence to draw next and the ranges
    /// that `before` does not have, in the stored form of an assignment.
    ///
    /// # Errors
    ///
    /// Only if the library cannot write it.
    pub fn changes_since(&self, before: &Self) -> Result<Vec<u8>, serde_json::Error> {
        let is_new = |range: &&Range| before.at(range.first) != Some(*range);
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
        let changed = serde_json::from_slice::<Stored>(bytes)?.assignment()?;
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
        let follows = |next: u64| next > held && next >= FENCES_A_MOVE && next < self.next_fence;
        held < self.next_fence && next.is_none_or(follows)
    }

    /// Reads the stored form.
    ///
    /// # Errors
    ///
    /// When it is malformed, names an endpoint it does not list, or leaves keys out.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, RowError> {
        serde_json::from_slice::<Stored>(bytes)?
            .assignment()?
            .check()
    }
}

/// Why a row of the own table was not taken.
#[derive(Debug, thiserror::Error)]
pub enum RowError {
    /// Not of the stored form.
    #[error("malformed: {0}")]
    Malformed(#[from] serde_json::Error),
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

/// Stored form: each start of an endpoint once, ranges as numbers.
///
/// When the starts began stands in a list of its own: an instance of the version before,
/// which runs beside this one while all are restarted in turn, reads the row without it.
/// A row that such an instance wrote lacks the list, and its holders are starts of which
/// nobody knows when they began. They are taken for ended and their keys are moved, with
/// seal and release like those of any holder.
#[derive(Debug, Serialize, Deserialize)]
struct Stored {
    next_fence: u64,
    endpoints: Vec<(EndpointName, SocketAddr)>,
    /// In the order of `endpoints`; shorter where the last ones do not say.
    #[serde(default)]
    born: Vec<Option<u64>>,
    ranges: Vec<StoredRange>,
}

/// First key, last key, place and fence of the holder, place and fence of the next.
#[derive(Debug, Serialize, Deserialize)]
struct StoredRange(u16, u16, usize, u64, Option<(usize, u64)>);

impl Stored {
    fn place(&mut self, holder: &Holder) -> usize {
        let (name, born_ms) = (holder.endpoint.name(), holder.endpoint.born_ms());
        let listed = self.endpoints.iter().zip(&self.born);
        let same = |((n, address), born): (&(EndpointName, SocketAddr), &Option<u64>)| {
            n == name && *born == born_ms && *address == holder.address
        };
        if let Some(place) = listed.into_iter().position(same) {
            return place;
        }
        self.endpoints.push((name.clone(), holder.address));
        self.born.push(born_ms);
        self.endpoints.len() - 1
    }

    fn holder(&self, range: usize, place: usize, fence: u64) -> Result<Holder, RowError> {
        let Some((name, address)) = self.endpoints.get(place) else {
            return Err(RowError::UnknownEndpoint {
                range,
                endpoint: place,
            });
        };
        let born_ms = self.born.get(place).copied().flatten();
        Ok(Holder {
            endpoint: EndpointStart::new(name.as_str(), born_ms),
            address: *address,
            fence,
        })
    }

    fn assignment(&self) -> Result<Assignment, RowError> {
        let mut ranges = Vec::with_capacity(self.ranges.len());
        for (i, StoredRange(first, last, place, fence, next)) in self.ranges.iter().enumerate() {
            let next = match next {
                Some((place, fence)) => Some(self.holder(i, *place, *fence)?),
                None => None,
            };
            ranges.push(Range {
                first: *first,
                last: *last,
                holder: self.holder(i, *place, *fence)?,
                next,
            });
        }
        Ok(Assignment {
            next_fence: self.next_fence,
            ranges,
        })
    }
}

impl From<&Assignment> for Stored {
    fn from(assignment: &Assignment) -> Self {
        let mut stored = Self {
            next_fence: assignment.next_fence,
            endpoints: Vec::new(),
            born: Vec::new(),
            ranges: Vec::with_capacity(assignment.ranges.len()),
        };
        for range in &assignment.ranges {
            let holder = stored.place(&range.holder);
            let next = range
                .next
                .as_ref()
                .map(|next| (stored.place(next), next.fence));
            let row = StoredRange(range.first, range.last, holder, range.holder.fence, next);
            stored.ranges.push(row);
        }
        stored
    }
}
