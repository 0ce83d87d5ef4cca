//! Number of instances that share limits.

use citronway_core::gateway::budget::{Listed, Sharing};
use citronway_core::time::Mono;

use super::Cluster;

impl Cluster {
    /// Number of instances that share limits, as far as is known here.
    pub(in crate::gateway::control) fn sharing(&self, now: Mono) -> Sharing {
        let peers = &self.peers;
        let listed = self.is_new.map(|is_new| Listed {
            instances: peers.known_count(&self.instance),
            is_new,
        });
        Sharing::of(
            listed,
            peers.instance_count(now),
            peers.heard_count(now) + 1,
        )
    }

    /// Records that the rows of all instances have been read, or copied from another instance. Whether
    /// this instance had one counts at the first time; later it may be the one of this process.
    pub(super) fn record_listing(&mut self) {
        let is_new = !self.peers.is_known(&self.instance);
        self.is_new.get_or_insert(is_new);
    }
}
