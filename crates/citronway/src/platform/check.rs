//! Whether an answer of the platform fits the question.

use citronway_core::ids::Version;
use citronway_core::platform::{ConditionalPut, InstanceList, Row, RowKey};
use indexmap::IndexSet;

use super::error::PlatformError;

/// Each row belongs to `table` and stands there once.
pub(super) fn table(table: &str, rows: &[Row]) -> Result<(), PlatformError> {
    let mut keys = IndexSet::with_capacity(rows.len());
    for row in rows {
        if row.at.table != table {
            return Err(PlatformError::ForeignRow(row.at.clone()));
        }
        if !keys.insert(row.at.key.as_str()) {
            return Err(PlatformError::DoubleRow(row.at.clone()));
        }
    }
    Ok(())
}

/// The row is the one at `at`.
pub(super) fn row(at: &RowKey, row: &Row) -> Result<(), PlatformError> {
    if row.at != *at {
        return Err(PlatformError::ForeignRow(row.at.clone()));
    }
    Ok(())
}

/// Each write has one new version, later than the one it expected.
pub(super) fn written(puts: &[ConditionalPut], versions: &[Version]) -> Result<(), PlatformError> {
    if puts.len() != versions.len() {
        return Err(PlatformError::Unfitting("wrong number of versions"));
    }
    for (put, version) in puts.iter().zip(versions) {
        if *version <= put.expected {
            return Err(PlatformError::Unfitting("version did not grow"));
        }
    }
    Ok(())
}

/// The row that did not match is one of the writes, and did not match.
pub(super) fn mismatch(
    puts: &[ConditionalPut],
    at: &RowKey,
    found: Version,
) -> Result<(), PlatformError> {
    for put in puts {
        if put.at == *at && put.expected != found {
            return Ok(());
        }
    }
    Err(PlatformError::Unfitting("conflict with no write"))
}

/// Each instance is listed once.
pub(super) fn instances(list: &InstanceList) -> Result<(), PlatformError> {
    let mut names = IndexSet::with_capacity(list.instances.len());
    for listed in &list.instances {
        if !names.insert(&listed.instance) {
            return Err(PlatformError::DoubleInstance(listed.instance.clone()));
        }
    }
    Ok(())
}
