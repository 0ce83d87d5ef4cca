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
    /// The instances that are heard; there may be many more.
    Heard,
    /// The rows of instances in the store.
    Listed,
    /// The rows, and a leader that knows of more instances.
    Totals,
}

impl CountSource {
    /// All sources.
    pub const ALL: [Self; 3] = [Self::Heard, Self::Listed, Self::Totals];

    /// Name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Heard => "heard",
            Self::Listed => "listed",
            Self::Totals => "totals",
        }
    }
}

/// What an instance has read about all instances from their rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listed {
    /// Number of instances with a row, this one included.
    pub instances: usize,
    /// Whether this instance had no row, so that no process has run in its place before.
    pub is_new: bool,
}

/// Number of instances that share limits, as far as an instance knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sharing {
    /// Number of instances, this one included.
    pub instances: u32,
    /// Where the number comes from.
    pub source: CountSource,
    /// Whether no process has run in place of this one before.
    pub is_new: bool,
}

impl Sharing {
    /// An instance that knows of itself only.
    pub const ALONE: Self = Self {
        instances: 1,
        source: CountSource::Heard,
        is_new: false,
    };

    /// Number of instances by the rows that are known, by the totals of leaders and by those that are
    /// heard, this one included. `listed` is `None` until the rows have been read once.
    ///
    /// Each of the numbers may be too small: rows are written after a start, a new leader hears of
    /// few, and parts of a fleet that are cut off do not hear of each other. So the largest counts.
    #[must_use]
    pub fn of(listed: Option<Listed>, totals: usize, heard: usize) -> Self {
        let source = match listed {
            None => CountSource::Heard,
            Some(listed) if totals > listed.instances => CountSource::Totals,
            Some(_) => CountSource::Listed,
        };
        let rows = listed.map_or(0, |listed| listed.instances);
        let most = rows.max(totals).max(heard).max(1);
        Self {
            instances: u32::try_from(most).unwrap_or(u32::MAX),
            source,
            is_new: listed.is_some_and(|listed| listed.is_new),
        }
    }

    /// Part of a limit that this instance may use; nothing until the number of instances is known.
    #[must_use]
    pub fn part(self) -> f64 {
        match self.source {
            CountSource::Heard => 0.0,
            CountSource::Listed | CountSource::Totals => 1.0 / f64::from(self.instances.max(1)),
        }
    }
}
