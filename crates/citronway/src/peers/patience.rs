//! Waiting for a time in which this process itself could run.

use std::time::Duration;

/// Parts of a wait; each ends only when this process has had the processor.
const PARTS: u32 = 10;

/// Waits for a future; none if it is not done within the limit.
///
/// Failure guarded against: this process is held up for longer than the limit. When it goes
/// on, its timer is due before it has read the answer that has come meanwhile, and it takes a
/// peer that answered for silent. A wait in parts ends after several turns of this process,
/// in which it reads what has come.
pub async fn within<F: Future>(limit: Duration, done: F) -> Option<F::Output> {
    tokio::pin!(done);
    for _ in 0..PARTS {
        if let Ok(output) = tokio::time::timeout(limit / PARTS, &mut done).await {
            return Some(output);
        }
    }
    None
}
