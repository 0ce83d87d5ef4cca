//! Number of instances that share a limit.

use crate::time::Mono;

/// Time in milliseconds before a larger number of instances is replaced by a smaller one. It is
/// longer than a window, and longer than a new leader needs to receive reports of all instances.
const SHRINK_DELAY_MS: u64 = 15_000;

/// Number of instances that share the limit.
///
/// Failure guarded against: the leader changes, its successor has reports of only a few instances
/// at first and announces their number, and each instance uses the slack of the whole fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetSize {
    count: u32,
    updated_at: Mono,
}

impl FleetSize {
    /// Applies a number announced by a leader.
    pub const fn update(&mut self, now: Mono, count: u32) {
        let is_old = now.since(self.updated_at) >= SHRINK_DELAY_MS;
        if count >= self.count || is_old {
            self.count = count;
            self.updated_at = now;
        }
    }

    /// Number of instances; zero before any announcement.
    #[must_use]
    pub const fn count(self) -> u32 {
        self.count
    }
}

/// Where the number of instances comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CountSource {
    /// Nothing is known yet.
    Unknown,
    /// The instances that are heard.
    Heard,
    /// The rows of instances in the store.
    Listed,
    /// The totals of a leader.
    Totals,
}

impl CountSource {
    /// All sources.
    pub const ALL: [Self; 4] = [Self::Unknown, Self::Heard, Self::Listed, Self::Totals];

    /// Name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Heard => "heard",
            Self::Listed => "listed",
            Self::Totals => "totals",
        }
    }
}

/// Number of instances that share limits, as far as an instance knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sharing {
    /// Number of instances, this one included.
    pub instances: u32,
    /// Where the number comes from.
    pub source: CountSource,
}
