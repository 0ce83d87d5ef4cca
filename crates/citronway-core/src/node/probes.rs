//! Whether somebody else reaches an endpoint that does not answer its dispatcher.
//!
//! A dispatcher that is cut off from a healthy endpoint would have all its keys
//! moved. So when the endpoint stops answering, the successors are asked to try
//! it; if one reaches it, it is offered the role, and nothing moves.

use crate::dispatch::health::Reach as Health;
use crate::hold::{EndpointReach, HandOverReason, HoldEvent};
use crate::ids::{EndpointName, Session};
use crate::node::events::{Grant, ProbeReport};
use crate::peer::PeerMessage;
use crate::time::{Mono, Now, Wall};

use super::Node;
use super::events::Action;
use super::seats::Seats;
use super::tickets::Purpose;

/// How long the result of a probe is gone by, in milliseconds.
const PROBE_HOLDS_MS: u64 = 1_500;
/// Time between two questions to the successors, in milliseconds.
const ASK_EVERY_MS: u64 = 500;

/// What probes of others, or for others, have shown.
#[derive(Debug, Clone, Default)]
pub(super) struct Probes {
    /// When the successors were last asked to try the endpoint.
    asked: Option<Mono>,
    /// When a successor last said that it reaches the endpoint.
    successor_reaches: Option<Mono>,
    /// What this instance's own probe for a dispatcher showed, and when.
    own: Option<OwnProbe>,
}

#[derive(Debug, Clone, Copy)]
struct OwnProbe {
    at: Mono,
    reach: EndpointReach,
}

impl Probes {
    /// What this instance's own probe showed, if it is not too old.
    pub(super) fn own_reach(&self, now: Mono) -> EndpointReach {
        match self.own {
            Some(own) if now.since(own.at) < PROBE_HOLDS_MS => own.reach,
            _ => EndpointReach::Unknown,
        }
    }

    fn successor_reaches(&self, now: Mono) -> bool {
        self.successor_reaches
            .is_some_and(|at| now.since(at) < PROBE_HOLDS_MS)
    }
}

impl Seats {
    /// A successor has tried the endpoint.
    pub(super) fn probed(&mut self, endpoint: &EndpointName, reached: bool, now: Mono) {
        let Some(seat) = self.by_endpoint.get_mut(endpoint) else {
            return;
        };
        if reached {
            seat.probes.successor_reaches = Some(now);
        }
    }
}

impl Node {
    /// Asks the successors of every endpoint that does not answer to try it.
    pub(super) fn ask_successors(&mut self, now: Now, out: &mut Vec<Action>) {
        for (endpoint, seat) in &mut self.seats.by_endpoint {
            let Some(active) = &seat.active else {
                continue;
            };
            let healthy = active.dispatcher.reach() == Health::Healthy;
            let asked = seat.probes.asked;
            if healthy || asked.is_some_and(|at| now.mono.since(at) < ASK_EVERY_MS) {
                continue;
            }
            seat.probes.asked = Some(now.mono);
            let Some(known) = self.view.dispatch().get(endpoint) else {
                continue;
            };
            for to in &known.value.successors {
                let message = PeerMessage::Probe {
                    endpoint: endpoint.clone(),
                };
                out.push(Action::Send {
                    to: to.clone(),
                    message,
                });
            }
        }
    }

    /// A dispatcher wants to know whether this instance reaches the endpoint.
    ///
    /// The probe carries the epoch of the known row and no shards, so that it
    /// changes nothing at the endpoint.
    pub(super) fn asked_to_probe(
        &mut self,
        from: &Session,
        endpoint: &EndpointName,
        out: &mut Vec<Action>,
    ) {
        let Some(known) = self.view.dispatch().get(endpoint) else {
            return;
        };
        let endpoints = self.view.config().map(|it| &it.config().endpoints);
        let Some(configured) = endpoints.and_then(|all| all.get(endpoint)) else {
            return;
        };
        let address = configured.address;
        let grant = Grant {
            dispatch_epoch: known.value.epoch,
            dispatcher: known.value.dispatcher.clone(),
            end: Wall(0),
            shards: Vec::new(),
        };
        let purpose = Purpose::Probe {
            endpoint: endpoint.clone(),
            asked_by: from.clone(),
        };
        let ticket = self.tickets.draw(purpose);
        out.push(Action::Grant {
            ticket,
            endpoint: endpoint.clone(),
            address,
            grant,
        });
    }

    /// The probe for a dispatcher has ended.
    pub(super) fn probe_done(
        &mut self,
        endpoint: EndpointName,
        asked_by: Session,
        report: &ProbeReport,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let reached = matches!(report, ProbeReport::Answered { .. });
        if let Some(seat) = self.seats.by_endpoint.get_mut(&endpoint) {
            let reach = if reached {
                EndpointReach::Reached
            } else {
                EndpointReach::Lost
            };
            seat.probes.own = Some(OwnProbe {
                at: now.mono,
                reach,
            });
        }
        out.push(Action::Send {
            to: asked_by,
            message: PeerMessage::Probed { endpoint, reached },
        });
    }

    /// Offers the role of a cut-off dispatcher to a successor that reaches the
    /// endpoint; returns false if there is none.
    pub(super) fn offer_role(
        &mut self,
        endpoint: &EndpointName,
        now: Now,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(seat) = self.seats.by_endpoint.get(endpoint) else {
            return false;
        };
        let Some(active) = &seat.active else {
            return false;
        };
        if !seat.probes.successor_reaches(now.mono) {
            return false;
        }
        let known = active.dispatcher.export();
        let reason = HandOverReason::EndpointLost;
        self.tell_hold(endpoint, &HoldEvent::HandOver { reason, known }, now, out);
        true
    }
}
