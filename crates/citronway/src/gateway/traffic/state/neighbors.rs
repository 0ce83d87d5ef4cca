//! Neighbors that requests may be passed on to, and the links to endpoints.

use std::net::SocketAddr;

use citronway_core::gateway::admission::{Job, Neighbor};
use citronway_core::ids::EndpointStart;
use citronway_core::time::Mono;
use http::HeaderMap;

use super::State;
use crate::clock;
use crate::gateway::traffic::neighbor::{ForwardError, ForwardedRequest, read_forwarded};

/// Time for which a neighbor that could not serve a request gets no others, in milliseconds.
const AVOID_MS: u64 = 1_000;

impl State {
    /// Chooses a neighbor in turn, in this instance's availability zone if there is one.
    pub(in crate::gateway::traffic) fn choose_neighbor(&self, now: Mono) -> Option<Neighbor> {
        let mut avoided = self.avoided_neighbors.borrow_mut();
        avoided.retain(|_, until| now < *until);
        let view = self.view.borrow();
        let usable = |neighbor: &&Neighbor| !avoided.contains_key(&neighbor.address);
        let near: Vec<_> = view
            .neighbors
            .iter()
            .filter(usable)
            .filter(|neighbor| neighbor.is_near)
            .collect();
        let candidates = if near.is_empty() {
            view.neighbors.iter().filter(usable).collect()
        } else {
            near
        };
        let turn = self.next_ticket().wrapping_add(view.rank);
        let n = usize::try_from(turn % candidates.len().max(1) as u64).ok()?;
        candidates.get(n).map(|neighbor| (*neighbor).clone())
    }

    /// Passes nothing on to a neighbor for a while.
    pub(in crate::gateway::traffic) fn avoid_neighbor(&self, now: Mono, address: SocketAddr) {
        let mut avoided = self.avoided_neighbors.borrow_mut();
        avoided.insert(address, now.plus(AVOID_MS));
    }

    /// Records that no neighbor could serve a request.
    pub(in crate::gateway::traffic) fn record_not_forwarded(&self, job: &Job) {
        let mut admission = self.admission.borrow_mut();
        admission.record_not_forwarded(clock::mono(), &self.view.borrow(), job);
    }

    /// Reads the headers of a request that another instance passed on.
    pub(in crate::gateway::traffic) fn read_forwarded(
        &self,
        headers: &mut HeaderMap,
    ) -> Result<ForwardedRequest, ForwardError> {
        let key = self.view.borrow().crashes.key;
        read_forwarded(headers, key.as_ref(), &self.instance)
    }

    /// Records that a connection to the endpoint was reset, which may be a matter of the link.
    pub(in crate::gateway::traffic) fn record_link_reset(&self, endpoint: &EndpointStart) {
        let mut admission = self.admission.borrow_mut();
        admission.record_link_reset(clock::mono(), endpoint);
    }

    /// Whether no endpoint answers this instance.
    pub(in crate::gateway::traffic) fn is_cut_off(&self) -> bool {
        *self.cut_off.borrow()
    }

    /// Resolves once no endpoint answers this instance.
    pub(in crate::gateway::traffic) async fn wait_until_cut_off(&self) {
        let mut cut_off = self.cut_off.subscribe();
        if cut_off.wait_for(|is_cut_off| *is_cut_off).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Tells whoever waits whether endpoints answer this instance, and logs changes.
    pub(in crate::gateway::traffic) fn update_cut_off(&self) {
        let is_cut_off = self.admission.borrow_mut().update_links(clock::mono());
        let is_changed = self.cut_off.send_if_modified(|known| {
            let is_changed = *known != is_cut_off;
            *known = is_cut_off;
            is_changed
        });
        if !is_changed {
            return;
        }
        self.metrics.set_cut_off(is_cut_off);
        if is_cut_off {
            log::warn!("no endpoint answers this instance; requests are passed on to others");
            self.decide_waiting();
        } else {
            log::info!("endpoints answer this instance again");
        }
    }

    /// Whether a probe of an endpoint is due, which then counts as begun.
    pub(in crate::gateway::traffic) fn begin_link_probe(&self) -> bool {
        self.admission.borrow_mut().begin_probe(clock::mono())
    }

    /// Records whether an endpoint accepted a connection of a probe.
    pub(in crate::gateway::traffic) fn record_link_probe(&self, is_accepted: bool) {
        let mut admission = self.admission.borrow_mut();
        admission.record_probe(clock::mono(), is_accepted);
    }

    /// Whether no other endpoint is listed.
    pub(in crate::gateway::traffic) fn is_only_endpoint(&self, endpoint: &EndpointStart) -> bool {
        let view = self.view.borrow();
        let mut all = view.registry.iter();
        all.all(|known| known.listing.start == *endpoint)
    }

    /// Addresses of up to `most` listed endpoints, varied from call to call; those whose last
    /// connection failed come last.
    pub(in crate::gateway::traffic) fn endpoints_to_probe(
        &self,
        except: Option<&EndpointStart>,
        most: usize,
    ) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let admission = self.admission.borrow();
        let mut all: Vec<_> = view
            .registry
            .iter()
            .map(|known| &known.listing)
            .filter(|listing| except != Some(&listing.start))
            .collect();
        let turn = self.next_ticket() % all.len().max(1) as u64;
        all.rotate_left(usize::try_from(turn).unwrap_or_default());
        all.sort_by_key(|listing| admission.has_failed_link(&listing.start));
        all.iter()
            .take(most)
            .map(|listing| listing.address)
            .collect()
    }
}
