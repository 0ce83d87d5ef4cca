//! Rows of the product's own table: their keys, their stored forms, and their effects.

use citronway_core::gateway::admission::Owners;
use citronway_core::gateway::assignment::{Assignment, RowError};
use citronway_core::gateway::election::{FormerLeader, LeaderRow};
use citronway_core::gateway::rows::{Patch, Relay, Row, Table};
use citronway_core::gateway::version::{Era, RowVersion};
use citronway_core::ids::{InstanceName, ServiceName, Session, SessionId};
use citronway_core::time::Mono;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

use super::cluster::Cluster;
use super::peers::InstanceRow;
use super::unusable::Source;

/// Key of the row that names the leader.
///
/// The previous version uses the same key: during a rolling restart, both versions have to
/// see one leader.
pub(super) const LEADER_KEY: &str = "keeper";

/// Key of the row about requests that crash endpoints.
pub(super) const CRASHES_KEY: &str = "crashes";

/// Prefix of the keys of rows that are written with the claim of a leader and removed by the next
/// claim, followed by the leader's term and session. Versions of lost rows are given out again after a
/// restore; the key of a claim is not, so that no late write of an earlier leader finds it.
const CLAIM_PREFIX: &str = "claim/";

/// Prefix of the keys of assignments, followed by the service.
const KEYS_PREFIX: &str = "keys/";

/// Prefix of the keys of instances' rows, followed by the name.
const INSTANCE_PREFIX: &str = "instance/";

/// Stored form of the leader's row.
#[derive(Debug, Serialize, Deserialize)]
struct StoredLeader {
    session: Session,
    term: u64,
    former: Vec<FormerLeader>,
    /// Missing in rows of releases that know no era.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    era: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    first_fence: Option<u64>,
}

impl Cluster {
    pub(super) fn apply_own_rows(&mut self, now: Mono, rows: &[Row]) {
        for row in rows {
            let key = row.key.as_str();
            if key == CRASHES_KEY {
                self.apply_crashes_row(now, row);
                continue;
            }
            let Some(value) = &row.value else { continue };
            let applied = if key == LEADER_KEY {
                self.apply_leader_row(now, row.version, value)
            } else if let Some(service) = key.strip_prefix(KEYS_PREFIX) {
                self.apply_assignment_row(&ServiceName::new(service), row.version, value)
            } else if let Some(name) = key.strip_prefix(INSTANCE_PREFIX) {
                self.apply_instance_row(&InstanceName::new(name), value)
            } else {
                Ok(())
            };
            match applied {
                Ok(()) => self.unusable.clear(Source::OwnRow, key),
                Err(e) => self.unusable.record_row(Source::OwnRow, key, e.to_string()),
            }
        }
    }

    fn apply_crashes_row(&mut self, now: Mono, row: &Row) {
        match self.crashes.apply_row(now, row) {
            Ok(()) => self.unusable.clear(Source::OwnRow, CRASHES_KEY),
            Err(e) => {
                let cause = e.to_string();
                self.unusable.record_row(Source::OwnRow, CRASHES_KEY, cause);
            }
        }
    }

    fn apply_instance_row(&mut self, name: &InstanceName, value: &[u8]) -> Result<(), RowError> {
        let row = serde_json::from_slice::<InstanceRow>(value)?;
        self.peers.set_row(name, row);
        Ok(())
    }

    fn apply_leader_row(
        &mut self,
        now: Mono,
        version: RowVersion,
        value: &[u8],
    ) -> Result<(), RowError> {
        let stored = serde_json::from_slice::<StoredLeader>(value)?;
        let known = self.stored_leader.as_ref();
        if known.is_some_and(|row| row.version >= version) {
            return Ok(());
        }
        let row = LeaderRow {
            instance: stored.session.instance,
            session: stored.session.id,
            term: stored.term,
            former: stored.former,
            version,
            era: stored.era.map(Era),
            first_fence: stored.first_fence,
        };
        self.stored_leader = Some(row.clone());
        // A row of an earlier era may name a leader that was replaced long ago.
        if self.is_restored() && self.leader.is_some() {
            let instance = row.instance.as_str();
            log::info!(instance, term = row.term, version = version.number, era = version.era.0; "leader row of an earlier era");
            return Ok(());
        }
        if self
            .leader
            .as_ref()
            .is_none_or(|known| known.term < row.term)
        {
            let instance = row.instance.as_str();
            log::info!(instance, term = row.term; "leader");
            self.leader_seen = now;
        }
        self.leader = Some(row);
        Ok(())
    }

    /// Whether the store came back from a copy and no leader was elected since.
    pub(super) fn is_restored(&self) -> bool {
        if self.era == Era::FIRST {
            return false;
        }
        match &self.stored_leader {
            Some(row) => row.era.map_or(self.era_changed, |era| era < self.era),
            None => self.era_changed || !self.first_start,
        }
    }

    /// Records that a list of all own rows in this version lacks rows that are known.
    pub(super) fn apply_absent_own_rows(&mut self, rows: &[Row], version: RowVersion) {
        let listed = |key: &str| rows.iter().any(|row| row.key == key);
        let is_gone = |known: RowVersion, key: &str| known.era < version.era && !listed(key);
        let stored = self.stored_leader.as_ref();
        if stored.is_some_and(|row| is_gone(row.version, LEADER_KEY)) {
            log::warn!(era = version.era.0; "the restored store names no leader");
            self.stored_leader = None;
        }
        for (service, known) in &mut self.assignment_versions {
            if is_gone(*known, &assignment_key(service)) {
                let service = service.as_str();
                log::warn!(service, era = version.era.0; "the restored store has no assignment");
                *known = RowVersion::absent(version.era);
            }
        }
        if !listed(CRASHES_KEY) {
            self.crashes.row_is_absent(version.era);
        }
    }

    fn apply_assignment_row(
        &mut self,
        service: &ServiceName,
        version: RowVersion,
        value: &[u8],
    ) -> Result<(), RowError> {
        let assignment = Assignment::from_bytes(value)?;
        let newest = self.assignment_versions.entry(service.clone()).or_default();
        if *newest >= version {
            return Ok(());
        }
        *newest = version;
        // Others know the row by its version of the earlier era, and changes of it refer to that one.
        if self.is_older_assignment(service, version.era, &assignment) {
            let service = service.as_str();
            log::warn!(service, version = version.number, era = version.era.0; "restored assignment is not newer than the known one");
            return Ok(());
        }
        self.set_owners(service, version, assignment);
        Ok(())
    }

    /// Whether an assignment is older than the known one, though its row has a newer version. It is
    /// then from a copy of the store. Next fences only grow, and moves may end without a new one.
    fn is_older_assignment(
        &self,
        service: &ServiceName,
        era: Era,
        assignment: &Assignment,
    ) -> bool {
        self.owners.get(service).is_some_and(|known| {
            let next_fence = known.assignment.next_fence;
            let is_restored = known.version.era < era;
            assignment.next_fence < next_fence
                || (is_restored && assignment.next_fence == next_fence)
        })
    }

    fn set_owners(&mut self, service: &ServiceName, version: RowVersion, assignment: Assignment) {
        let moving = assignment
            .ranges
            .iter()
            .filter(|range| range.is_moving())
            .count();
        let (ranges, term) = (assignment.ranges.len(), assignment.term);
        log::info!(service = service.as_str(), version = version.number, era = version.era.0, term, ranges, moving; "assignment");
        let owners = Owners {
            assignment: Arc::new(assignment),
            version,
        };
        self.owners.insert(service.clone(), owners);
    }

    /// Copy of a relay in which large rows are replaced by patches against the known row,
    /// where most of the row is unchanged. Rows that were relayed before are left out.
    pub(super) fn with_patches(&self, relay: &Relay) -> Relay {
        let mut patched = Relay {
            rows: Vec::new(),
            ..relay.clone()
        };
        for row in &relay.rows {
            if self.is_known_assignment(row) || self.is_restored_assignment(row) {
                continue;
            }
            match self.patch_for(row) {
                Some(patch) => patched.patches.push(patch),
                None => patched.rows.push(row.clone()),
            }
        }
        patched
    }

    /// Whether a row is an assignment that is already known. It was relayed when it was
    /// written.
    fn is_known_assignment(&self, row: &Row) -> bool {
        let service = row.key.strip_prefix(KEYS_PREFIX).map(ServiceName::new);
        let known = service.and_then(|service| self.owners.get(&service));
        known.is_some_and(|known| known.version >= row.version)
    }

    /// Whether a row is an assignment from a copy of the store that is older than the known one.
    fn is_restored_assignment(&self, row: &Row) -> bool {
        let service = row.key.strip_prefix(KEYS_PREFIX).map(ServiceName::new);
        let (Some(service), Some(value)) = (service, &row.value) else {
            return false;
        };
        let known = self.owners.get(&service);
        if known.is_none_or(|known| known.version.era == row.version.era) {
            return false;
        }
        // A malformed row is relayed as it is, and each receiver logs it.
        let assignment = Assignment::from_bytes(value);
        assignment.is_ok_and(|assignment| {
            self.is_older_assignment(&service, row.version.era, &assignment)
        })
    }

    /// A relay of an assignment that was just written; `None` if this version or a newer
    /// one is known, or if it can't be encoded.
    pub(super) fn relay_of_write(
        &self,
        service: &ServiceName,
        row: &Assignment,
        version: RowVersion,
    ) -> Option<Relay> {
        let known = self.owners.get(service);
        if known.is_some_and(|known| known.version >= version) {
            return None;
        }
        let owners = Owners {
            assignment: Arc::new(row.clone()),
            version,
        };
        let row = assignment_as_row((service, &owners))?;
        Some(Relay {
            table: Table::Own,
            after: RowVersion::NONE,
            position: self.own.position,
            rows: vec![row],
            patches: Vec::new(),
            confirmed: None,
        })
    }

    fn patch_for(&self, row: &Row) -> Option<Patch> {
        let service = ServiceName::new(row.key.strip_prefix(KEYS_PREFIX)?);
        let value = row.value.as_deref()?;
        let known = self.owners.get(&service)?;
        if known.version >= row.version {
            return None;
        }
        // A malformed row is relayed as it is, and each receiver logs it.
        let newer = Assignment::from_bytes(value).ok()?;
        let change = newer.changes_since(&known.assignment).ok()?;
        Some(Patch {
            key: row.key.clone(),
            before: known.version,
            version: row.version,
            change,
        })
    }

    /// Whether each row that a relay patches is known in the version that the patch starts
    /// from, or in one that already includes the patch.
    pub(super) fn can_patch(&self, relay: &Relay) -> bool {
        relay.patches.iter().all(|patch| {
            let known = self.row_to_patch(patch).map(|known| known.version);
            known.is_some_and(|known| known == patch.before || known >= patch.version)
        })
    }

    fn row_to_patch(&self, patch: &Patch) -> Option<&Owners> {
        let service = patch.key.strip_prefix(KEYS_PREFIX)?;
        self.owners.get(&ServiceName::new(service))
    }

    pub(super) fn apply_patch(&mut self, patch: &Patch) {
        let Some(known) = self.row_to_patch(patch) else {
            return;
        };
        if known.version != patch.before {
            return;
        }
        match known.assignment.with_changes(&patch.change) {
            Ok(assignment) => {
                let service = ServiceName::new(patch.key.trim_start_matches(KEYS_PREFIX));
                let newest = self.assignment_versions.entry(service.clone()).or_default();
                *newest = patch.version.max(*newest);
                self.set_owners(&service, patch.version, assignment);
                self.own.observe_version(patch.version);
                self.changed = true;
            }
            Err(e) => self
                .unusable
                .record_row(Source::OwnRow, &patch.key, e.to_string()),
        }
    }
}

/// Whether a key is that of an assignment.
pub(super) fn is_assignment(key: &str) -> bool {
    key.starts_with(KEYS_PREFIX)
}

/// Whether a key of the own table is that of an instance's row.
pub(super) fn is_instance(key: &str) -> bool {
    key.starts_with(INSTANCE_PREFIX)
}

/// Whether a gap in the versions of this row of the own table shows that earlier rows were
/// missed.
pub(super) fn is_sequenced(key: &str) -> bool {
    !is_instance(key) && !is_claim(key) && key != LEADER_KEY
}

/// Whether a key of the own table is that of a leader's claim.
pub(super) fn is_claim(key: &str) -> bool {
    key.starts_with(CLAIM_PREFIX)
}

/// Key of the row that is written with the claim of a leader.
pub(super) fn claim_key(session: SessionId, term: u64) -> String {
    format!("{CLAIM_PREFIX}{term}-{:x}", session.0)
}

/// The row of an assignment, with all patches since the row was read; `None` if it can't be
/// encoded.
pub(super) fn assignment_as_row((service, owners): (&ServiceName, &Owners)) -> Option<Row> {
    let value = match owners.assignment.to_bytes() {
        Ok(value) => value,
        Err(e) => {
            let service = service.as_str();
            log::error!(service, cause = e.to_string(); "assignment cannot be encoded");
            return None;
        }
    };
    Some(Row {
        key: assignment_key(service),
        value: Some(value),
        version: owners.version,
    })
}

/// Key of an instance's row.
pub(super) fn instance_key(instance: &InstanceName) -> String {
    format!("{INSTANCE_PREFIX}{instance}")
}

/// Key of a service's assignment.
pub(super) fn assignment_key(service: &ServiceName) -> String {
    format!("{KEYS_PREFIX}{service}")
}

/// Stored form of the leader's row.
pub(super) fn leader_value(row: &LeaderRow) -> Result<Vec<u8>, serde_json::Error> {
    serde_json::to_vec(&StoredLeader {
        session: Session {
            instance: row.instance.clone(),
            id: row.session,
        },
        term: row.term,
        former: row.former.clone(),
        era: row.era.map(|era| era.0),
        first_fence: row.first_fence,
    })
}
