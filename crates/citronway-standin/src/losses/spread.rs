//! Spread of measured times.

use serde::Serialize;

const NINETY: usize = 90;
const HUNDRED: usize = 100;

/// Spread of measured times, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Spread {
    /// Shortest.
    pub min: u64,
    /// Half of them are at most as long.
    pub median: u64,
    /// Nine of ten are at most as long.
    pub p90: u64,
    /// Longest.
    pub max: u64,
}

impl Spread {
    /// Of the given times; `None` if there are none.
    #[must_use]
    pub fn of(times: impl IntoIterator<Item = u64>) -> Option<Self> {
        let mut sorted = times.into_iter().collect::<Vec<_>>();
        sorted.sort_unstable();
        let rank = |hundredths: usize| {
            let nth = (sorted.len() * hundredths).div_ceil(HUNDRED);
            sorted.get(nth.saturating_sub(1)).copied()
        };
        Some(Self {
            min: *sorted.first()?,
            median: rank(HUNDRED / 2)?,
            p90: rank(NINETY)?,
            max: *sorted.last()?,
        })
    }
}
