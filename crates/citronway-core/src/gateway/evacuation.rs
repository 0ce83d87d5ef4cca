//! Availability zones that the operator has evacuated: nothing new goes to their endpoints.

use indexmap::{IndexMap, IndexSet};

use crate::ids::{Version, ZoneName};
use crate::time::Mono;

/// Part of the time allowed for an evacuation in which keys are still sent to their owners
/// there, as a divisor; the rest covers the time that news of it take.
const OWNED_WORK_PART: u64 = 2;

/// What is known of one availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneState {
    /// It is evacuated.
    Evacuated {
        /// When this instance learnt of it; none if it may have lasted for any time by then.
        since: Option<Mono>,
    },
    /// It was evacuated and is taken back.
    Restored,
}

/// A change that the log names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneChange {
    /// Which zone.
    pub zone: ZoneName,
    /// Its state from now on.
    pub state: ZoneState,
    /// Version of the row that says so, or of the store that no longer has the row.
    pub version: Version,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Known {
    version: Version,
    state: ZoneState,
}

/// The state of every zone that was ever evacuated, by the newest row of each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    zones: IndexMap<ZoneName, Known>,
}

impl Evacuations {
    /// Takes the row of a zone, or that it was removed; none if nothing changes.
    ///
    /// Rows overtake each other on their way, so the newest version counts.
    pub fn apply_row(
        &mut self,
        zone: &ZoneName,
        version: Version,
        state: ZoneState,
    ) -> Option<ZoneChange> {
        let known = self.zones.get(zone).copied();
        if known.is_some_and(|known| known.version >= version) {
            return None;
        }
        let before = known.map(|known| known.state);
        let changes = match (before, state) {
            (Some(ZoneState::Evacuated { .. }), ZoneState::Evacuated { .. })
            | (None | Some(ZoneState::Restored), ZoneState::Restored) => false,
            (_, ZoneState::Evacuated { .. } | ZoneState::Restored) => true,
        };
        // A row that is written again begins no new time.
        let state = if changes {
            state
        } else {
            before.unwrap_or(state)
        };
        self.zones.insert(zone.clone(), Known { version, state });
        changes.then(|| ZoneChange {
            zone: zone.clone(),
            state,
            version,
        })
    }

    /// Takes which zones had a row at all when the store had a version: the others are taken
    /// back.
    pub fn apply_listing(
        &mut self,
        zones: &IndexSet<ZoneName>,
        version: Version,
    ) -> Vec<ZoneChange> {
        let known: Vec<_> = self.zones.keys().cloned().collect();
        let gone = known.iter().filter(|zone| !zones.contains(*zone));
        gone.filter_map(|zone| self.apply_row(zone, version, ZoneState::Restored))
            .collect()
    }

    /// Zones that are evacuated, and since when.
    pub fn evacuated(&self) -> impl Iterator<Item = (&ZoneName, Option<Mono>)> {
        self.zones
            .iter()
            .filter_map(|(zone, known)| match known.state {
                ZoneState::Evacuated { since } => Some((zone, since)),
                ZoneState::Restored => None,
            })
    }
}

/// Until when keys are still sent to their owners in a zone that is evacuated.
///
/// Failure guarded against: keys whose move takes longer than the evacuation may are sent to
/// the zone after its end. They wait for their next owner instead.
#[must_use]
pub fn owned_work_until(since: Option<Mono>, allowed_ms: u64) -> Mono {
    since.map_or(Mono(0), |since| since.plus(allowed_ms / OWNED_WORK_PART))
}
