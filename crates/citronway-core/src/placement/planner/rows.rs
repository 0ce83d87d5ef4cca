//! Rows as a planner knows them.

use indexmap::{IndexMap, IndexSet};
use serde::de::DeserializeOwned;

use super::events::{ASSIGNMENT_TABLE, DISPATCH_TABLE, PLANNER_TABLE, PlannerRow};
use crate::ids::{EndpointName, ServiceName, Version};
use crate::platform::{Row, RowKey};
use crate::shard::{Assignment, DispatchRow};

/// What is known of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Known<T> {
    /// It was not read yet, or holds something unreadable.
    Unread,
    /// It does not exist.
    Absent,
    /// It has this content.
    Present {
        /// Version of the row.
        version: Version,
        /// Its content.
        value: T,
    },
}

impl<T> Known<T> {
    /// Version to expect in a write; `None` if it is not known.
    #[must_use]
    pub const fn version(&self) -> Option<Version> {
        match self {
            Self::Unread => None,
            Self::Absent => Some(Version(0)),
            Self::Present { version, .. } => Some(*version),
        }
    }

    /// The content, if there is one.
    #[must_use]
    pub const fn value(&self) -> Option<&T> {
        match self {
            Self::Unread | Self::Absent => None,
            Self::Present { value, .. } => Some(value),
        }
    }

    /// Takes in a row; returns whether it is newer than what was known.
    fn learn(&mut self, row: &Row) -> bool
    where
        T: DeserializeOwned,
    {
        // Failure: a read that was answered late brings back an older row and
        // with it a past assignment. Guard: versions of a row only grow.
        if self.version().is_some_and(|known| row.version <= known) {
            return false;
        }
        *self = match serde_json::from_str(&row.value) {
            Ok(value) => Self::Present {
                version: row.version,
                value,
            },
            Err(_unreadable) => Self::Unread,
        };
        true
    }
}

/// Rows that concern one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rows {
    /// Row of the planner.
    pub planner: Known<PlannerRow>,
    /// Row of the assignment.
    pub assignment: Known<Assignment>,
    /// Dispatch rows by endpoint.
    pub dispatch: IndexMap<EndpointName, Known<DispatchRow>>,
    /// Whether the dispatch table was read, so that rows not known do not exist.
    pub dispatch_read: bool,
    /// Rows to read before anything is written.
    pub stale: IndexSet<RowKey>,
    planner_at: RowKey,
    assignment_at: RowKey,
}

/// Which row has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Learnt {
    /// None that concerns the planner.
    Nothing,
    /// The planner's row.
    Planner,
    /// The assignment.
    Assignment,
    /// A dispatch row.
    Dispatch,
}

impl Rows {
    /// Nothing known yet of the service's rows.
    #[must_use]
    pub fn new(service: &ServiceName) -> Self {
        let planner_at = at(PLANNER_TABLE, service.as_str());
        let assignment_at = at(ASSIGNMENT_TABLE, service.as_str());
        let stale = IndexSet::from([planner_at.clone(), assignment_at.clone()]);
        Self {
            planner: Known::Unread,
            assignment: Known::Unread,
            dispatch: IndexMap::new(),
            dispatch_read: false,
            stale,
            planner_at,
            assignment_at,
        }
    }

    /// Name of the planner's row.
    #[must_use]
    pub const fn planner_at(&self) -> &RowKey {
        &self.planner_at
    }

    /// Name of the assignment's row.
    #[must_use]
    pub const fn assignment_at(&self) -> &RowKey {
        &self.assignment_at
    }

    /// Takes in a row, whatever its source; older rows change nothing.
    pub fn learn(&mut self, row: &Row) -> Learnt {
        let (newer, learnt) = if row.at == self.planner_at {
            (self.planner.learn(row), Learnt::Planner)
        } else if row.at == self.assignment_at {
            (self.assignment.learn(row), Learnt::Assignment)
        } else if row.at.table == DISPATCH_TABLE {
            let endpoint = EndpointName::new(&row.at.key);
            let known = self.dispatch.entry(endpoint).or_insert(Known::Unread);
            (known.learn(row), Learnt::Dispatch)
        } else {
            (false, Learnt::Nothing)
        };
        if newer { learnt } else { Learnt::Nothing }
    }

    /// Takes in that a row does not exist.
    pub fn learn_absent(&mut self, at: &RowKey) {
        if *at == self.planner_at {
            self.planner = Known::Absent;
        } else if *at == self.assignment_at {
            self.assignment = Known::Absent;
        } else if at.table == DISPATCH_TABLE {
            self.dispatch
                .insert(EndpointName::new(&at.key), Known::Absent);
        }
    }

    /// Takes in a whole table.
    pub fn learn_table(&mut self, table: &str, rows: &[Row]) -> bool {
        let mut changed = false;
        for row in rows {
            changed |= self.learn(row) != Learnt::Nothing;
        }
        if table == DISPATCH_TABLE {
            changed |= !self.dispatch_read;
            self.dispatch_read = true;
        }
        changed
    }

    /// The dispatch row of an endpoint, if it is known.
    #[must_use]
    pub fn dispatch_row(&self, endpoint: &EndpointName) -> Option<&DispatchRow> {
        self.dispatch.get(endpoint)?.value()
    }

    /// Whether the endpoint has no dispatch row as far as is known.
    #[must_use]
    pub fn lacks_dispatch(&self, endpoint: &EndpointName) -> bool {
        let known = self.dispatch.get(endpoint);
        self.dispatch_read && matches!(known, None | Some(Known::Absent))
    }
}

/// Names a row.
#[must_use]
pub fn at(table: &str, key: &str) -> RowKey {
    RowKey {
        table: table.to_owned(),
        key: key.to_owned(),
    }
}
