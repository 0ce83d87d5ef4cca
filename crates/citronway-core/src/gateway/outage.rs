//! Whether the store is away, or only this instance is cut off from it.

use crate::gateway::report::Versions;
use crate::time::Mono;

/// Time after the loss from which newer rows at others show that the store goes on, in
/// milliseconds.
///
/// Rows of the last moment before an outage are told until then: a call takes up to
/// 0.5 s, reports are up to 0.6 s apart, and one in a hundred is lost.
const TOLD_WITHIN_MS: u64 = 2_000;

/// What others have seen since the store was lost.
#[derive(Debug, Default)]
pub struct Outage {
    lost_since: Option<Mono>,
    newest: u64,
    own: bool,
}

impl Outage {
    /// Takes the newest versions that others report; `lost` while the store does not
    /// answer this instance.
    pub fn observe(&mut self, now: Mono, lost: bool, newest: Versions) {
        // Each of them only grows.
        let newest = newest.config + newest.endpoints + newest.own;
        if !lost {
            *self = Self {
                newest,
                ..Self::default()
            };
            return;
        }
        let since = *self.lost_since.get_or_insert(now);
        if newest > self.newest {
            self.newest = newest;
            self.own |= now.since(since) > TOLD_WITHIN_MS;
        }
    }

    /// Whether the store went on for others while it was lost here.
    #[must_use]
    pub const fn is_local(&self) -> bool {
        self.own
    }
}
