//! Finds out what became of a write whose answer was lost.

use std::time::Duration;

use tokio::time::sleep;

use citronway_core::ids::Version;
use citronway_core::platform::Row;

use super::store::StoreClient;

/// How long to look for the outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// Most reads of the row.
    pub reads: u32,
    /// Time between two reads.
    pub pause: Duration,
}

/// What became of the write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settled {
    /// The text stands at this version.
    Stands(Version),
    /// The row has another text at a later version: the write can land no more,
    /// but it may have landed before the later one.
    Overtaken(Row),
    /// Nothing can be said: the write may still land.
    Open,
}

/// Reads the row until the fate of the write on `expected` is known.
///
/// Failure: the answer to a write is lost after it took effect, or while it is
/// still under way; the operator is told "refused" and a write that stands is
/// repeated or forgotten. Nothing is written here. The write is conditional on
/// `expected`, so it can no longer land once the row has a higher version; until
/// then the old text proves nothing.
pub async fn settle(
    store: &StoreClient,
    expected: Version,
    text: &str,
    patience: Patience,
) -> Settled {
    for read in 0..patience.reads {
        if read > 0 {
            sleep(patience.pause).await;
        }
        let Ok(Some(row)) = store.read().await else {
            continue;
        };
        if row.value == text {
            return Settled::Stands(row.version);
        }
        if row.version > expected {
            return Settled::Overtaken(row);
        }
    }
    Settled::Open
}
