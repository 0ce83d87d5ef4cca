//! Reads the present time for the machines.

use std::time::{SystemTime, UNIX_EPOCH};

use citronway_core::time::{Mono, Now, Wall};
use rustix::time::{ClockId, clock_gettime};

/// Reads both clocks of this process.
///
/// The monotonic reading counts time that the machine was suspended. A clock
/// that stops meanwhile would leave a dispatcher that wakes up believing in
/// promises which have long lapsed.
#[must_use]
pub fn now() -> Now {
    Now {
        mono: mono(),
        wall: wall(),
    }
}

/// Reads the monotonic clock, which counts time that the machine was suspended.
#[must_use]
pub fn mono() -> Mono {
    let reading = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(reading.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(reading.tv_nsec).unwrap_or_default();
    Mono(secs * 1_000 + nanos / 1_000_000)
}

fn wall() -> Wall {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Wall(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
