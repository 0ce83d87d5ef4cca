//! The wall clock, read where a request enters and where it leaves.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use citronway_core::time::Wall;

/// Reads the wall clock.
#[must_use]
pub fn wall_now() -> Wall {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Wall(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Time left until `end`, zero if that has passed.
#[must_use]
pub fn time_until(end: Wall) -> Duration {
    Duration::from_millis(end.since(wall_now()))
}
