//! Number of instances that share limits.

use citronway_core::gateway::budget::{CountSource, Sharing};
use citronway_core::time::Mono;

use super::Cluster;

impl Cluster {
    /// Number of instances that share limits, as far as is known here.
    pub(super) fn sharing(&self, now: Mono) -> Sharing {
        let peers = &self.peers;
        let source = if peers.has_totals() {
            CountSource::Totals
        } else if peers.is_large_fleet(now) {
            CountSource::Listed
        } else {
            CountSource::Heard
        };
        Sharing {
            instances: u32::try_from(peers.instance_count(now)).unwrap_or(u32::MAX),
            source,
        }
    }
}
