//! Availability zones that the operator evacuates: their endpoints get no new requests.

use indexmap::{IndexMap, IndexSet};

use crate::gateway::version::RowVersion;
use crate::ids::ZoneName;
use crate::time::Mono;

/// Divisor of the time allowed for an evacuation: in this part of it, requests are still sent
/// to the owners of keys there. The rest covers the time until all instances know of the
/// evacuation.
const OWNED_WORK_DIVISOR: u64 = 2;

/// State of an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneState {
    /// The zone is evacuated.
    Evacuated {
        /// Time at which this instance learnt of it; `None` if it may have begun any time
        /// before.
        since: Option<Mono>,
    },
    /// The evacuation has ended, and the zone is in use again.
    Restored,
}

/// A change of a zone's state, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneChange {
    /// Name of the zone.
    pub zone: ZoneName,
    /// New state.
    pub state: ZoneState,
    /// Version of the row with this state, or of the store in which the row is missing.
    pub version: RowVersion,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Recorded {
    version: RowVersion,
    state: ZoneState,
}

/// State of each zone that has had a row, by its newest row.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    zones: IndexMap<ZoneName, Recorded>,
}

impl Evacuations {
    /// Applies the row of a zone, or its removal. Returns the change, or `None` if the state
    /// stays the same.
    ///
    /// Rows may arrive out of order; a row that is not newer than the recorded one is ignored.
    pub fn apply_row(
        &mut self,
        zone: &ZoneName,
        version: RowVersion,
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
        // A row that is written again does not restart the time.
        let state = if changes {
            state
        } else {
            before.unwrap_or(state)
        };
        self.zones.insert(zone.clone(), Recorded { version, state });
        changes.then(|| ZoneChange {
            zone: zone.clone(),
            state,
            version,
        })
    }

    /// Applies the complete list of zones that have a row at this version of the store: all other
    /// zones are restored. Returns the changes.
    pub fn apply_listing(
        &mut self,
        zones: &IndexSet<ZoneName>,
        version: RowVersion,
    ) -> Vec<ZoneChange> {
        let known: Vec<_> = self.zones.keys().cloned().collect();
        let gone = known.iter().filter(|zone| !zones.contains(*zone));
        gone.filter_map(|zone| self.apply_row(zone, version, ZoneState::Restored))
            .collect()
    }

    /// Evacuated zones, each with the time at which this instance learnt of the evacuation.
    pub fn evacuated(&self) -> impl Iterator<Item = (&ZoneName, Option<Mono>)> {
        self.zones
            .iter()
            .filter_map(|(zone, known)| match known.state {
                ZoneState::Evacuated { since } => Some((zone, since)),
                ZoneState::Restored => None,
            })
    }
}

/// Time until which requests are still sent to the owners of keys in an evacuated zone. The
/// evacuation must complete within `allowed_ms`.
///
/// Failure guarded against: moving a key takes longer than the time allowed for the evacuation,
/// and its requests are sent to the zone after that time. They wait for the next owner instead.
#[must_use]
pub fn owned_work_until(since: Option<Mono>, allowed_ms: u64) -> Mono {
    since.map_or(Mono(0), |since| since.plus(allowed_ms / OWNED_WORK_DIVISOR))
}
