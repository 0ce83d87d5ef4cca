//! How far an instance knows a table of the store.

use citronway_core::gateway::version::RowVersion;
use citronway_core::time::Mono;

/// Where rows of a table came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RowSource {
    /// The store itself.
    Store,
    /// The leader, which relayed them.
    Relay,
    /// A copy that another instance sent on request.
    Copy,
}

impl RowSource {
    /// Name for logs.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Relay => "relay",
            Self::Copy => "copy",
        }
    }
}

/// How far a table is known.
#[derive(Debug, Default)]
pub(in super::super) struct TableState {
    /// Newest version among the rows that were seen.
    pub(super) newest: RowVersion,
    /// Position in the table's history up to which all rows were taken.
    pub(in super::super) position: RowVersion,
    /// The last call failed.
    pub(super) lost: bool,
    /// Since when others are known to have newer rows.
    pub(super) behind_since: Option<Mono>,
    /// When another instance was last asked for rows that were lost on the way.
    pub(super) missed_requested_at: Option<Mono>,
    /// The table was read or copied at least once.
    pub(super) loaded: bool,
}

impl TableState {
    /// Records that a row of this version was seen.
    pub(in super::super) fn observe_version(&mut self, version: RowVersion) {
        self.newest = self.newest.max(version);
        self.behind_since = None;
    }

    /// Records that the table is known in the era of this version of the store.
    pub(super) fn enter_era_of(&mut self, version: RowVersion) {
        if version.era > self.newest.era {
            self.observe_version(version);
        }
    }

    /// Records that all rows up to a position were taken.
    pub(super) fn advance_position(&mut self, position: RowVersion) {
        self.position = self.position.max(position);
    }
}
