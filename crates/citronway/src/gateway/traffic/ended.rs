//! Probes whether an endpoint whose connection broke still listens.

use std::cell::RefCell;
use std::net::SocketAddr;

use citronway_core::gateway::admission::Choice;
use citronway_core::ids::EndpointStart;
use citronway_core::time::Mono;
use futures::FutureExt as _;
use futures::future::{LocalBoxFuture, Shared};
use indexmap::IndexMap;

use crate::clock;
use crate::gateway::http_link::{Dialer, Listening};

/// Time for which the result of one probe is shared, in milliseconds.
///
/// A full endpoint resets dozens of connections a second, and each probe costs it one more.
const PROBE_TTL_MS: u64 = 100;

/// The latest probe of each endpoint whose connection broke.
#[derive(Debug)]
pub(super) struct ListenerProbes {
    dialer: Dialer,
    last: RefCell<IndexMap<EndpointStart, (Mono, SharedProbe)>>,
}

type SharedProbe = Shared<LocalBoxFuture<'static, Listening>>;

impl ListenerProbes {
    /// Probes with `dialer`.
    pub(super) fn new(dialer: Dialer) -> Self {
        Self {
            dialer,
            last: RefCell::default(),
        }
    }

    /// Whether a process listens at the address of an endpoint whose connection has just
    /// broken.
    pub(super) async fn probe(&self, choice: &Choice) -> Listening {
        let now = clock::mono();
        let probe = {
            let mut last = self.last.borrow_mut();
            last.retain(|_, (at, _)| now.since(*at) < PROBE_TTL_MS);
            let (_, probe) = last
                .entry(choice.endpoint.clone())
                .or_insert_with(|| (now, start_probe(self.dialer, choice.address)));
            probe.clone()
        };
        probe.await
    }
}

fn start_probe(dialer: Dialer, address: SocketAddr) -> SharedProbe {
    dialer.probe_listener(address).boxed_local().shared()
}
