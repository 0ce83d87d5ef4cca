//! First dispatch rows of endpoints that have none.

use indexmap::IndexSet;

use super::rows::at;
use super::{DISPATCH_TABLE, Planner, put};
use crate::ids::Version;
use crate::placement::dispatchers::{RoleCounts, first_row};
use crate::placement::moves::floor;
use crate::platform::ConditionalPut;
use crate::time::Now;

/// Most rows in one transaction.
const BATCH: usize = 16;

impl Planner {
    /// Rows to create, or `None` if all endpoints have one.
    ///
    /// They expect that the row does not exist, so an endpoint that is in
    /// groups of two services gets one row only; the other planner's write
    /// fails and it reads the row.
    pub(super) fn first_dispatch_rows(&self, now: Now) -> Option<Vec<ConditionalPut>> {
        let wanted = self.wanted.as_ref()?;
        let mut members = wanted.groups.iter().flat_map(|group| &group.members);
        // Counting the roles of all rows is only worth it if one is missing.
        if !members.any(|member| self.rows.lacks_dispatch(&member.endpoint)) {
            return None;
        }
        let rows = self.rows.dispatch.values();
        let mut counts = RoleCounts::of(rows.filter_map(super::Known::value));
        let mut puts = Vec::new();
        let mut seen = IndexSet::new();
        for member in wanted.groups.iter().flat_map(|group| &group.members) {
            if puts.len() == BATCH {
                break;
            }
            if !self.rows.lacks_dispatch(&member.endpoint) || !seen.insert(&member.endpoint) {
                continue;
            }
            let floor = floor(now, self.settings.skew_ms);
            let candidates = &wanted.candidates;
            let row = first_row(&member.endpoint, &member.zone, candidates, &counts, floor)?;
            counts.add(&row);
            let at = at(DISPATCH_TABLE, member.endpoint.as_str());
            puts.push(put(&at, Version(0), &row)?);
        }
        if puts.is_empty() { None } else { Some(puts) }
    }
}
