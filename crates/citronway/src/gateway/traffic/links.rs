//! Finds out whether this instance reaches endpoints.

use std::rc::Rc;
use std::time::Duration;

use citronway_core::ids::EndpointStart;
use futures::future;

use super::state::State;

/// Interval between checks whether a probe is due.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Number of endpoints that are probed at the same time.
const PROBED_AT_ONCE: usize = 2;

/// Most endpoints that are probed to tell the end of one endpoint from a cut link.
const MAX_PROBED: usize = 8;

/// Probes endpoints while none answers this instance.
pub(super) async fn watch(state: Rc<State>) {
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        state.update_cut_off();
        if state.begin_link_probe() {
            let is_accepted = state.reaches_any(None, PROBED_AT_ONCE).await;
            state.record_link_probe(is_accepted);
            state.update_cut_off();
        }
    }
}

impl State {
    /// Whether this instance reaches another endpoint than one that refuses connections, or knows
    /// no other.
    ///
    /// Where links of this instance are reset, all endpoints seem to have ended with what they ran,
    /// and innocent work would be under suspicion at all instances.
    pub(super) async fn reaches_another(&self, endpoint: &EndpointStart) -> bool {
        self.is_only_endpoint(endpoint) || self.reaches_any(Some(endpoint), MAX_PROBED).await
    }

    /// Whether one of up to `most` endpoints accepts a connection.
    async fn reaches_any(&self, except: Option<&EndpointStart>, most: usize) -> bool {
        let addresses = self.endpoints_to_probe(except, most);
        for addresses in addresses.chunks(PROBED_AT_ONCE) {
            let probes = addresses
                .iter()
                .map(|address| self.dialer.probe_link(*address));
            if future::join_all(probes).await.contains(&true) {
                return true;
            }
        }
        false
    }
}
