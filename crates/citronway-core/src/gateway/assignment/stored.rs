//! Stored forms of an assignment: a long one that all versions read, a short one for large
//! services, and a packed one for services whose short form exceeds the store's size limit.

use std::net::SocketAddr;

use indexmap::IndexSet;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::packed::Packed;
use super::{Assignment, Holder, MAX_ROW_BYTES, Range, RowError};
use crate::ids::{EndpointName, EndpointStart};

/// First byte of the short form. The long form is JSON and begins with a brace.
const SHORT: u8 = 2;

/// First byte of the packed form.
const PACKED: u8 = 3;

/// Length up to which the long form is written, in bytes.
///
/// During a rolling restart, instances of the previous version run beside this one and read only
/// the long form. They can write rows of at most 65,536 bytes; a limit of three quarters of that
/// leaves room for the moves during the restart.
const LONG_UP_TO: usize = 48_000;

/// Encodes an assignment in the most widely readable form that is short enough.
pub(super) fn write(assignment: &Assignment) -> Result<Vec<u8>, RowError> {
    let starts = Starts::of(assignment);
    let long = serde_json::to_vec(&Stored::new(assignment, &starts))?;
    if long.len() <= LONG_UP_TO {
        return Ok(long);
    }
    let short = Short::new(assignment, &starts);
    let short = with_term(&short, assignment.term, vec![SHORT])?;
    // Earlier versions read the short form, so it is used while it fits into a row.
    if short.len() <= MAX_ROW_BYTES {
        return Ok(short);
    }
    Packed::new(assignment).write(assignment.term, vec![PACKED])
}

/// Decodes any stored form, without validating the ranges and fences.
pub(super) fn read(bytes: &[u8]) -> Result<Assignment, RowError> {
    match bytes.split_first() {
        Some((&SHORT, short)) => {
            let (short, term) = read_with_term::<Short>(short)?;
            short.assignment(term)
        }
        Some((&PACKED, packed)) => {
            let (packed, term) = Packed::read(packed)?;
            packed.assignment(term)
        }
        _ => serde_json::from_slice::<Stored>(bytes)?.assignment(),
    }
}

/// Appends a value and the term to `buf`. Releases that know no term ignore what follows the value.
pub(super) fn with_term<T: Serialize>(
    value: &T,
    term: u64,
    buf: Vec<u8>,
) -> Result<Vec<u8>, postcard::Error> {
    let buf = postcard::to_extend(value, buf)?;
    postcard::to_extend(&term, buf)
}

/// Reads a value and the term that follows it; zero if there is none.
pub(super) fn read_with_term<T: DeserializeOwned>(
    bytes: &[u8],
) -> Result<(T, u64), postcard::Error> {
    let (value, rest) = postcard::take_from_bytes(bytes)?;
    let term = if rest.is_empty() {
        0
    } else {
        postcard::from_bytes(rest)?
    };
    Ok((value, term))
}

/// Distinct starts of endpoints with their addresses.
pub(super) struct Starts<'a>(IndexSet<(&'a EndpointStart, SocketAddr)>);

impl<'a> Starts<'a> {
    pub(super) fn of(assignment: &'a Assignment) -> Self {
        let ranges = assignment.ranges.iter();
        let holders = ranges.flat_map(|range| [Some(&range.holder), range.next.as_ref()]);
        let starts = holders
            .flatten()
            .map(|holder| (&holder.endpoint, holder.address));
        Self(starts.collect())
    }

    /// All starts, in the order of their first range.
    pub(super) fn iter(&self) -> impl Iterator<Item = &(&'a EndpointStart, SocketAddr)> {
        self.0.iter()
    }

    /// Index of a holder's start.
    pub(super) fn place(&self, holder: &Holder) -> usize {
        let place = self.0.get_index_of(&(&holder.endpoint, holder.address));
        place.unwrap_or_default()
    }
}

/// Long form: each start of an endpoint once, and ranges that refer to them by index.
///
/// The times at which the starts began are a separate list, which instances of earlier versions
/// ignore. A row that such an instance wrote lacks the list, so the holders in it are starts of
/// unknown age. They are assumed to have ended, and their keys are moved, with seal and release
/// as for any holder.
#[derive(Debug, Serialize, Deserialize)]
struct Stored {
    /// Missing in rows of releases that know no term.
    #[serde(default)]
    term: u64,
    next_fence: u64,
    endpoints: Vec<(EndpointName, SocketAddr)>,
    /// Time at which each of `endpoints` began, in Unix milliseconds; `None` or missing if
    /// unknown.
    #[serde(default)]
    born: Vec<Option<u64>>,
    ranges: Vec<StoredRange>,
}

/// First key, last key, index and fence of the holder, index and fence of the next owner.
#[derive(Debug, Serialize, Deserialize)]
struct StoredRange(u16, u16, usize, u64, Option<(usize, u64)>);

impl Stored {
    fn new(assignment: &Assignment, starts: &Starts<'_>) -> Self {
        let endpoints = starts.0.iter();
        let range = |range: &Range| {
            let next = range
                .next
                .as_ref()
                .map(|next| (starts.place(next), next.fence));
            let place = starts.place(&range.holder);
            StoredRange(range.first, range.last, place, range.holder.fence, next)
        };
        Self {
            term: assignment.term,
            next_fence: assignment.next_fence,
            endpoints: endpoints
                .clone()
                .map(|(start, address)| (start.name().clone(), *address))
                .collect(),
            born: endpoints.map(|(start, _)| start.born_ms()).collect(),
            ranges: assignment.ranges.iter().map(range).collect(),
        }
    }

    fn assignment(&self) -> Result<Assignment, RowError> {
        let holder = |range: usize, place: usize, fence: u64| {
            let endpoint = self.endpoints.get(place);
            let (name, address) = endpoint.ok_or(RowError::UnknownEndpoint {
                range,
                endpoint: place,
            })?;
            let born_ms = self.born.get(place).copied().flatten();
            Ok::<_, RowError>(Holder {
                endpoint: EndpointStart::new(name.as_str(), born_ms),
                address: *address,
                fence,
            })
        };
        let mut ranges = Vec::with_capacity(self.ranges.len());
        for (i, StoredRange(first, last, place, fence, next)) in self.ranges.iter().enumerate() {
            let next = match next {
                Some((place, fence)) => Some(holder(i, *place, *fence)?),
                None => None,
            };
            ranges.push(Range {
                first: *first,
                last: *last,
                holder: holder(i, *place, *fence)?,
                next,
            });
        }
        Ok(Assignment {
            term: self.term,
            next_fence: self.next_fence,
            ranges,
        })
    }
}

/// Short form, encoded by `postcard` with variable-length integers. Fences are stored as their
/// distance below the next fence, which keeps them small.
#[derive(Debug, Serialize, Deserialize)]
struct Short {
    next_fence: u64,
    starts: Vec<(EndpointName, SocketAddr, Option<u64>)>,
    ranges: Vec<ShortRange>,
}

/// First key, last key, index and fence of the holder, index and fence of the next owner.
#[derive(Debug, Serialize, Deserialize)]
struct ShortRange(u16, u16, u32, u64, Option<(u32, u64)>);

impl Short {
    fn new(assignment: &Assignment, starts: &Starts<'_>) -> Self {
        let next_fence = assignment.next_fence;
        let place = |holder: &Holder| u32::try_from(starts.place(holder)).unwrap_or(u32::MAX);
        let below = |fence: u64| next_fence.wrapping_sub(fence);
        let range = |range: &Range| {
            let holder = &range.holder;
            let next = range.next.as_ref();
            ShortRange(
                range.first,
                range.last,
                place(holder),
                below(holder.fence),
                next.map(|next| (place(next), below(next.fence))),
            )
        };
        let start = |(start, address): &(&EndpointStart, SocketAddr)| {
            (start.name().clone(), *address, start.born_ms())
        };
        Self {
            next_fence,
            starts: starts.0.iter().map(start).collect(),
            ranges: assignment.ranges.iter().map(range).collect(),
        }
    }

    fn assignment(self, term: u64) -> Result<Assignment, RowError> {
        let fence = |below: u64| self.next_fence.wrapping_sub(below);
        let ranges = self.ranges.iter().map(|range| {
            let ShortRange(first, last, place, below, next) = range;
            let next = next.map(|(place, below)| (place as usize, fence(below)));
            StoredRange(*first, *last, *place as usize, fence(*below), next)
        });
        let ranges = ranges.collect();
        let born = self.starts.iter().map(|(_, _, born)| *born).collect();
        let starts = self.starts.into_iter();
        let stored = Stored {
            term,
            next_fence: self.next_fence,
            endpoints: starts.map(|(name, address, _)| (name, address)).collect(),
            born,
            ranges,
        };
        stored.assignment()
    }
}
