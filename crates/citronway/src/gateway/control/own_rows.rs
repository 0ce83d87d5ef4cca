//! Rows of the product's own table: their keys, their stored forms, and their effects.

use citronway_core::gateway::admission::Owners;
use citronway_core::gateway::assignment::{Assignment, RowError};
use citronway_core::gateway::election::{FormerLeader, LeaderRow};
use citronway_core::gateway::rows::{Patch, Relay, Row, Table};
use citronway_core::gateway::version::RowVersion;
use citronway_core::ids::{InstanceName, ServiceName, Session};
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
        if self
            .leader
            .as_ref()
            .is_some_and(|row| row.version >= version)
        {
            return Ok(());
        }
        if self
            .leader
            .as_ref()
            .is_none_or(|row| row.term < stored.term)
        {
            let instance = stored.session.instance.as_str();
            log::info!(instance, term = stored.term; "leader");
            self.leader_seen = now;
        }
        self.leader = Some(LeaderRow {
            instance: stored.session.instance,
            session: stored.session.id,
            term: stored.term,
            former: stored.former,
            version,
        });
        Ok(())
    }

    fn apply_assignment_row(
        &mut self,
        service: &ServiceName,
        version: RowVersion,
        value: &[u8],
    ) -> Result<(), RowError> {
        let assignment = Assignment::from_bytes(value)?;
        let known = self.owners.get(service);
        if known.is_none_or(|known| known.version < version) {
            self.set_owners(service, version, assignment);
        }
        Ok(())
    }

    fn set_owners(&mut self, service: &ServiceName, version: RowVersion, assignment: Assignment) {
        let moving = assignment
            .ranges
            .iter()
            .filter(|range| range.is_moving())
            .count();
        let ranges = assignment.ranges.len();
        log::info!(service = service.as_str(), version = version.number, era = version.era.0, ranges, moving; "assignment");
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
            if self.is_known_assignment(row) {
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
    !is_instance(key) && key != LEADER_KEY
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
pub(super) fn leader_value(
    me: &Session,
    term: u64,
    former: Vec<FormerLeader>,
) -> Result<Vec<u8>, serde_json::Error> {
    serde_json::to_vec(&StoredLeader {
        session: me.clone(),
        term,
        former,
    })
}
