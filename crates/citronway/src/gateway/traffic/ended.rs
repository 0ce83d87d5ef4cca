//! Whether an endpoint whose connection broke has ended.

use std::cell::RefCell;
use std::net::SocketAddr;

use citronway_core::gateway::admission::Choice;
use citronway_core::ids::EndpointStart;
use citronway_core::time::Mono;
use futures::FutureExt as _;
use futures::future::{LocalBoxFuture, Shared};
use indexmap::IndexMap;

use crate::clock;
use crate::gateway::http_link::{self, Listening};

/// Time within which the answer to one look holds for others, in milliseconds.
///
/// Load: a full endpoint resets dozens of connections a second, and each look costs it one.
const LOOK_HOLDS_MS: u64 = 100;

/// Looks at endpoints whose connections broke, the last one at each.
#[derive(Debug, Default)]
pub(super) struct Looks {
    last: RefCell<IndexMap<EndpointStart, (Mono, Look)>>,
}

type Look = Shared<LocalBoxFuture<'static, Listening>>;

impl Looks {
    /// Whether something listens at the address of an endpoint whose connection has just
    /// broken.
    pub(super) async fn at(&self, choice: &Choice) -> Listening {
        let now = clock::mono();
        let look = {
            let mut last = self.last.borrow_mut();
            last.retain(|_, (at, _)| now.since(*at) < LOOK_HOLDS_MS);
            let (_, look) = last
                .entry(choice.endpoint.clone())
                .or_insert_with(|| (now, look(choice.address)));
            look.clone()
        };
        look.await
    }
}

fn look(address: SocketAddr) -> Look {
    http_link::probe_listener(address).boxed_local().shared()
}
