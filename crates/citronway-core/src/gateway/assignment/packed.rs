//! Packed form of an assignment: delta-encoded columns of numbers, compressed with deflate.

use std::io::{Read as _, Write as _};
use std::net::SocketAddr;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

use super::stored::{self, Starts};
use super::{Assignment, Holder, Range, RowError};
use crate::ids::{EndpointName, EndpointStart};

/// Size limit of the uncompressed columns, in bytes; longer rows are refused.
const MAX_COLUMN_BYTES: u64 = 4 * 1024 * 1024;

/// Columns of the packed form. The order and types of the fields are the stored format.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Packed {
    next_fence: u64,
    names: Vec<EndpointName>,
    addresses: Vec<SocketAddr>,
    /// Time at which each start began, as the difference to the previous one; a time of zero
    /// stands for an unknown one.
    births: Vec<i64>,
    /// Number of keys of each range, minus one.
    widths: Vec<u16>,
    holders: Places,
    /// For each moving range, the number of ranges between it and the previous moving one.
    moving: Vec<u32>,
    next: Places,
}

/// Columns of holders: the index of the endpoint and the fence of each.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Places {
    /// Index of each holder's endpoint, as the difference to the previous one.
    places: Vec<i64>,
    /// Fence of each holder, as the difference to the previous one.
    fences: Vec<i64>,
}

impl Packed {
    pub(super) fn new(assignment: &Assignment) -> Self {
        let starts = Starts::of(assignment);
        let births = starts.iter().map(|(start, _)| start.born_ms().unwrap_or(0));
        let ranges = assignment.ranges.iter();
        let next = ranges.clone().filter_map(|range| range.next.as_ref());
        let mut moving = Vec::new();
        let mut skipped = 0;
        for range in &assignment.ranges {
            if !range.is_moving() {
                skipped += 1;
                continue;
            }
            moving.push(skipped);
            skipped = 0;
        }
        Self {
            next_fence: assignment.next_fence,
            names: starts
                .iter()
                .map(|(start, _)| start.name().clone())
                .collect(),
            addresses: starts.iter().map(|(_, address)| *address).collect(),
            births: differences(births),
            widths: ranges
                .clone()
                .map(|range| range.last - range.first)
                .collect(),
            holders: Places::new(&starts, ranges.map(|range| &range.holder)),
            moving,
            next: Places::new(&starts, next),
        }
    }

    /// Appends the compressed columns and the term to `buf`.
    pub(super) fn write(&self, term: u64, buf: Vec<u8>) -> Result<Vec<u8>, RowError> {
        let columns = stored::with_term(self, term, Vec::new())?;
        let mut deflated = DeflateEncoder::new(buf, Compression::fast());
        deflated.write_all(&columns)?;
        Ok(deflated.finish()?)
    }

    /// Reads the columns and the term.
    pub(super) fn read(bytes: &[u8]) -> Result<(Self, u64), RowError> {
        let mut columns = Vec::new();
        let mut inflated = DeflateDecoder::new(bytes).take(MAX_COLUMN_BYTES);
        inflated.read_to_end(&mut columns)?;
        Ok(stored::read_with_term(&columns)?)
    }

    pub(super) fn assignment(self, term: u64) -> Result<Assignment, RowError> {
        let starts = self.starts()?;
        let holders = self.holders.holders(&starts, "holders")?;
        let mut next = self.next.holders(&starts, "next")?.into_iter();
        if holders.len() != self.widths.len() {
            return Err(RowError::PackedPart { part: "holders" });
        }
        let mut ranges = Vec::with_capacity(self.widths.len());
        let mut first = Some(0_u16);
        for (i, (width, holder)) in self.widths.iter().zip(holders).enumerate() {
            let begins = first.ok_or(RowError::Gap { range: i })?;
            let last = begins
                .checked_add(*width)
                .ok_or(RowError::Gap { range: i })?;
            first = last.checked_add(1);
            ranges.push(Range {
                first: begins,
                last,
                holder,
                next: None,
            });
        }
        let mut at = 0;
        for skipped in &self.moving {
            at += *skipped as usize;
            let range = ranges.get_mut(at);
            let range = range.ok_or(RowError::PackedPart { part: "ranges" })?;
            let holder = next.next();
            range.next = Some(holder.ok_or(RowError::PackedPart { part: "next" })?);
            at += 1;
        }
        Ok(Assignment {
            term,
            next_fence: self.next_fence,
            ranges,
        })
    }

    fn starts(&self) -> Result<Vec<(EndpointStart, SocketAddr)>, RowError> {
        let births = sums(&self.births);
        let count = self.names.len();
        if self.addresses.len() != count || births.len() != count {
            return Err(RowError::PackedPart { part: "starts" });
        }
        let starts = self.names.iter().zip(&self.addresses).zip(births);
        let start = |((name, address), born): ((&EndpointName, &SocketAddr), u64)| {
            let born_ms = (born > 0).then_some(born);
            (EndpointStart::new(name.as_str(), born_ms), *address)
        };
        Ok(starts.map(start).collect())
    }
}

impl Places {
    fn new<'a>(starts: &Starts<'_>, holders: impl Iterator<Item = &'a Holder> + Clone) -> Self {
        let places = holders.clone().map(|holder| starts.place(holder) as u64);
        Self {
            places: differences(places),
            fences: differences(holders.map(|holder| holder.fence)),
        }
    }

    fn holders(
        &self,
        starts: &[(EndpointStart, SocketAddr)],
        part: &'static str,
    ) -> Result<Vec<Holder>, RowError> {
        let (places, fences) = (sums(&self.places), sums(&self.fences));
        if places.len() != fences.len() {
            return Err(RowError::PackedPart { part });
        }
        let mut holders = Vec::with_capacity(places.len());
        for (range, (place, fence)) in places.into_iter().zip(fences).enumerate() {
            let place = usize::try_from(place).unwrap_or(usize::MAX);
            let (endpoint, address) = starts.get(place).ok_or(RowError::UnknownEndpoint {
                range,
                endpoint: place,
            })?;
            holders.push(Holder {
                endpoint: endpoint.clone(),
                address: *address,
                fence,
            });
        }
        Ok(holders)
    }
}

/// Difference of each number to the previous one, the first one to zero.
fn differences(numbers: impl Iterator<Item = u64>) -> Vec<i64> {
    let mut before = 0_u64;
    let difference = |number: u64| {
        let added = number.wrapping_sub(before).cast_signed();
        before = number;
        added
    };
    numbers.map(difference).collect()
}

/// Inverse of [`differences`].
fn sums(differences: &[i64]) -> Vec<u64> {
    let mut sum = 0_u64;
    let add = |added: &i64| {
        sum = sum.wrapping_add(added.cast_unsigned());
        sum
    };
    differences.iter().map(add).collect()
}
