//! The dispatcher role: the only sender of orders to its endpoints.

use indexmap::IndexMap;

use crate::ids::{EndpointName, Epoch};
use crate::outcome::{MayHaveRun, MayHaveRunReason, NotRun, NotRunReason, Outcome};
use crate::request::{Fence, Request};
use crate::time::Now;

use super::Node;
use super::events::{Action, OrderReply, RefusedReason, Ticket};

/// When a caller may come back if nothing better is known, in milliseconds.
const COME_BACK_MS: u64 = 1_000;

/// Who waits for the outcome of a dispatched request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller of this instance.
    Caller(Ticket),
    /// Another entry that forwarded it.
    Peer(Ticket),
}

/// Orders under way.
#[derive(Debug, Default)]
pub(super) struct Dispatching {
    orders: IndexMap<Ticket, Origin>,
}

impl Dispatching {
    pub(super) fn is_idle(&self) -> bool {
        self.orders.is_empty()
    }
}

impl Node {
    pub(super) fn dispatch(
        &mut self,
        origin: Origin,
        endpoint: &EndpointName,
        epoch: Epoch,
        request: Request,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        match self.order(endpoint, epoch, request) {
            Ok(action) => {
                if let Action::SendOrder { ticket, .. } = &action {
                    self.dispatching.orders.insert(*ticket, origin);
                }
                out.push(action);
            }
            Err(reason) => {
                let outcome = Outcome::NotRun(NotRun::new(reason, COME_BACK_MS));
                self.give_back(origin, outcome, now, out);
            }
        }
    }

    fn order(
        &mut self,
        endpoint: &EndpointName,
        epoch: Epoch,
        request: Request,
    ) -> Result<Action, NotRunReason> {
        let row = self
            .view
            .dispatch()
            .get(endpoint)
            .ok_or(NotRunReason::NotDispatcher)?;
        if row.value.dispatcher != self.me || row.value.epoch != epoch {
            return Err(NotRunReason::NotDispatcher);
        }
        let shard = self
            .view
            .shard_of(&request.service, &request.key)
            .ok_or(NotRunReason::NoOwner)?;
        if shard.owner() != Some(endpoint) {
            return Err(NotRunReason::Moving);
        }
        let config = self.view.config().ok_or(NotRunReason::StaleConfig)?;
        let known = config
            .value
            .endpoints
            .get(endpoint)
            .ok_or(NotRunReason::NoOwner)?;
        Ok(Action::SendOrder {
            ticket: self.tickets.draw(),
            endpoint: endpoint.clone(),
            address: known.address,
            connections: known.connections,
            fence: Fence {
                shard: shard.id,
                shard_epoch: shard.epoch,
                dispatch_epoch: epoch,
                dispatcher: self.me.clone(),
            },
            request,
        })
    }

    pub(super) fn order_done(
        &mut self,
        ticket: Ticket,
        reply: OrderReply,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let Some(origin) = self.dispatching.orders.swap_remove(&ticket) else {
            return;
        };
        self.give_back(origin, outcome_of(reply), now, out);
    }

    fn give_back(&mut self, origin: Origin, outcome: Outcome, now: Now, out: &mut Vec<Action>) {
        match origin {
            Origin::Caller(ticket) => self.settle(ticket, outcome, now, out),
            Origin::Peer(ticket) => out.push(Action::Reply { ticket, outcome }),
        }
    }
}

fn outcome_of(reply: OrderReply) -> Outcome {
    match reply {
        OrderReply::Answered { answer } => Outcome::Answered(answer),
        OrderReply::Refused { reason } => not_run(match reason {
            RefusedReason::StaleEpoch | RefusedReason::NoGrant => NotRunReason::EndpointRefused,
            RefusedReason::Expired => NotRunReason::Expired,
            RefusedReason::Draining => NotRunReason::Draining,
            RefusedReason::Shed => NotRunReason::EndpointShed,
        }),
        OrderReply::NotSent => not_run(NotRunReason::EndpointUnreachable),
        OrderReply::Lost => may_have_run(MayHaveRunReason::ConnectionLost),
        OrderReply::Foreign => may_have_run(MayHaveRunReason::BadAnswer),
        OrderReply::Timeout => may_have_run(MayHaveRunReason::Timeout),
    }
}

const fn not_run(reason: NotRunReason) -> Outcome {
    Outcome::NotRun(NotRun::new(reason, COME_BACK_MS))
}

const fn may_have_run(reason: MayHaveRunReason) -> Outcome {
    Outcome::MayHaveRun(MayHaveRun {
        reason,
        retry_after_ms: COME_BACK_MS,
    })
}
