//! Sends calls to entries.

use std::net::SocketAddr;
use std::time::Duration;

use super::balancer::Balancer;
use super::call::Call;
use super::verdict::Verdict;
use crate::http::{Client, ClientError};

/// An entry that has not answered so long after the caller's own timeout is
/// taken for lost.
const GRACE: Duration = Duration::from_secs(3);

/// Sends calls; clones share their connections.
#[derive(Debug, Clone, Default)]
pub struct Caller {
    client: Client,
}

impl Caller {
    /// Sends a call to an entry once and judges the answer.
    ///
    /// # Panics
    ///
    /// If the call holds text that cannot be put into headers.
    pub async fn send(&self, entry: SocketAddr, call: &Call) -> Verdict {
        let req = call
            .to_request(entry)
            .expect("keys and labels fit into headers");
        match self.client.send(req, call.timeout + GRACE).await {
            Ok(rsp) => Verdict::of(call, &rsp),
            Err(ClientError::Transport(error)) if error.is_connect() => Verdict::NotSent,
            Err(error) => {
                log::debug!("call {} lost: {error}", call.id);
                Verdict::Lost
            }
        }
    }

    /// Sends a call through a balancer, which tries the next entry as long as
    /// not a byte was sent.
    ///
    /// # Panics
    ///
    /// If the call holds text that cannot be put into headers.
    pub async fn send_through(&self, balancer: &Balancer, call: &Call) -> Verdict {
        for _ in 0..balancer.entries() {
            let verdict = self.send(balancer.pick(), call).await;
            if verdict != Verdict::NotSent {
                return verdict;
            }
        }
        Verdict::NotSent
    }
}
