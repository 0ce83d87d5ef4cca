//! Distinguishes an outage of the store from a lost connection between this instance and it.

use crate::gateway::report::Versions;
use crate::time::Mono;

/// Time in milliseconds after which newer versions at other instances prove that the store still
/// answers them.
///
/// Until then they may be rows from just before the outage: a call takes up to 0.5 s, reports
/// are up to 0.6 s apart, and one in a hundred is lost.
const REPORT_DELAY_MS: u64 = 2_000;

/// Detects whether other instances can still reach a store that this one cannot reach.
#[derive(Debug, Default)]
pub struct Outage {
    lost_since: Option<Mono>,
    /// The newest versions that others have reported.
    newest: Versions,
    is_local: bool,
}

impl Outage {
    /// Records the newest versions that others report. `lost` says that the store does not answer
    /// this instance.
    pub fn observe(&mut self, now: Mono, lost: bool, newest: Versions) {
        if !lost {
            *self = Self {
                newest,
                ..Self::default()
            };
            return;
        }
        let since = *self.lost_since.get_or_insert(now);
        if newest.has_newer_than(&self.newest) {
            self.newest = self.newest.newer(newest);
            self.is_local |= now.since(since) > REPORT_DELAY_MS;
        }
    }

    /// Whether the store has answered others since it stopped answering this instance.
    #[must_use]
    pub const fn is_local(&self) -> bool {
        self.is_local
    }
}
