//! Tables of the store that an instance follows, and their rows.

use crate::ids::Version;

/// A table that an instance follows; it writes only [`Table::Own`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Table {
    /// The operator's configuration.
    Config,
    /// Listed endpoints.
    Endpoints,
    /// The product's own rows.
    Own,
}

impl Table {
    /// All tables.
    pub const ALL: [Self; 3] = [Self::Config, Self::Endpoints, Self::Own];

    /// Word for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Endpoints => "endpoints",
            Self::Own => "own",
        }
    }
}

/// A row of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value; none if it was removed.
    pub value: Option<Vec<u8>>,
    /// Version at which it last changed.
    pub version: Version,
}

/// Rows that the leader has just seen, passed on to the other instances.
///
/// One instance waits at the store for changes; the others get them from it. What
/// is lost on the way shows by the positions, and is then asked of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// Which table.
    pub table: Table,
    /// Version of the newest row before these; the receiver must have it.
    pub after: Version,
    /// Position to which these rows bring it.
    pub position: Version,
    /// Rows that changed in between.
    pub rows: Vec<Row>,
    /// Changes of large rows of which most stays as it was.
    pub patches: Vec<Patch>,
}

/// What changed of an assignment's row.
///
/// Load: while hot ranges are cut up, the row changes ten times a second. Passed on
/// whole it takes 20 KB at 400 ranges, and 86 instances get it: more than the leader's
/// link carries, so most copies were lost and asked of the store. What changed is below
/// 1 KB.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Patch {
    /// Key of the row.
    pub key: String,
    /// Version of the row that is changed.
    pub before: Version,
    /// Version that the row has afterwards.
    pub version: Version,
    /// The change, as `Assignment::changes_since` writes it.
    pub change: Vec<u8>,
}
