//! The entry role: takes callers' requests, finds the dispatcher, gives the outcome back.

use indexmap::IndexMap;

use crate::ids::{EndpointName, Epoch, Session};
use crate::outcome::{NotRun, NotRunReason, Outcome};
use crate::request::{Repeat, Request};
use crate::time::{Mono, Now};

use super::Node;
use super::dispatching::Origin;
use super::events::{Action, CallerRequest, Ticket};

/// Pause between two tries of the same request, in milliseconds.
const RETRY_PAUSE_MS: u64 = 50;
/// Time within which a request is tried again, in milliseconds.
const RETRY_FOR_MS: u64 = 2_500;
/// When a caller may come back if nothing better is known, in milliseconds.
const COME_BACK_MS: u64 = 1_000;

/// Requests of callers that have no outcome yet.
#[derive(Debug, Default)]
pub(super) struct Entry {
    pending: IndexMap<Ticket, Pending>,
    forwards: IndexMap<Ticket, Ticket>,
}

#[derive(Debug)]
struct Pending {
    request: Request,
    begun: Mono,
    retry_at: Option<Mono>,
}

/// Where a request has to go.
struct Target {
    endpoint: EndpointName,
    dispatcher: Session,
    epoch: Epoch,
}

impl Entry {
    pub(super) fn forget(&mut self, ticket: Ticket) {
        self.pending.swap_remove(&ticket);
    }

    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }
}

impl Node {
    pub(super) fn caller(
        &mut self,
        ticket: Ticket,
        request: CallerRequest,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        match self.admit(request, now) {
            Ok(request) => {
                let pending = Pending {
                    request,
                    begun: now.mono,
                    retry_at: None,
                };
                self.entry.pending.insert(ticket, pending);
                self.send_on(ticket, now, out);
            }
            Err(reason) => {
                let outcome = Outcome::NotRun(NotRun::new(reason, COME_BACK_MS));
                out.push(Action::Reply { ticket, outcome });
            }
        }
    }

    fn admit(&self, req: CallerRequest, now: Now) -> Result<Request, NotRunReason> {
        if self.stopping {
            return Err(NotRunReason::ShuttingDown);
        }
        if !self.ready(now) {
            return Err(NotRunReason::StaleConfig);
        }
        let config = self.view.config().ok_or(NotRunReason::StaleConfig)?;
        let service = config
            .value
            .services
            .get(&req.service)
            .ok_or(NotRunReason::UnknownService)?;
        Ok(Request {
            id: req.id,
            service: req.service,
            key: req.key,
            tenant: req.labels.get("tenant").cloned().unwrap_or_default(),
            class: service.default_class.clone(),
            repeat: req.repeat,
            deadline: req.deadline,
            method: req.method,
            path: req.path,
            content_type: req.content_type,
            body: req.body,
        })
    }

    fn target(&self, request: &Request) -> Result<Target, NotRunReason> {
        let shard = self
            .view
            .shard_of(&request.service, &request.key)
            .ok_or(NotRunReason::NoOwner)?;
        let endpoint = shard.owner().ok_or(NotRunReason::Moving)?;
        let row = self
            .view
            .dispatch()
            .get(endpoint)
            .ok_or(NotRunReason::NoOwner)?;
        Ok(Target {
            endpoint: endpoint.clone(),
            dispatcher: row.value.dispatcher.clone(),
            epoch: row.value.epoch,
        })
    }

    fn send_on(&mut self, ticket: Ticket, now: Now, out: &mut Vec<Action>) {
        let Some(pending) = self.entry.pending.get_mut(&ticket) else {
            return;
        };
        pending.retry_at = None;
        let request = pending.request.clone();
        let target = match self.target(&request) {
            Ok(target) => target,
            Err(reason) => {
                let outcome = Outcome::NotRun(NotRun::new(reason, COME_BACK_MS));
                self.settle(ticket, outcome, now, out);
                return;
            }
        };
        if target.dispatcher == self.me {
            let origin = Origin::Caller(ticket);
            self.dispatch(origin, &target.endpoint, target.epoch, request, now, out);
            return;
        }
        let forward = self.tickets.draw();
        self.entry.forwards.insert(forward, ticket);
        out.push(Action::Forward {
            ticket: forward,
            to: target.dispatcher,
            endpoint: target.endpoint,
            dispatch_epoch: target.epoch,
            request,
        });
    }

    pub(super) fn entry_outcome(
        &mut self,
        forward: Ticket,
        outcome: Outcome,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let Some(ticket) = self.entry.forwards.swap_remove(&forward) else {
            return;
        };
        self.settle(ticket, outcome, now, out);
    }

    /// Answers the caller, or keeps the request for another try.
    pub(super) fn settle(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.entry.pending.get_mut(&ticket) else {
            return;
        };
        if pending.may_retry(&outcome, now) {
            pending.retry_at = Some(now.mono.plus(RETRY_PAUSE_MS));
            return;
        }
        self.entry.pending.swap_remove(&ticket);
        out.push(Action::Reply { ticket, outcome });
    }

    pub(super) fn entry_tick(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut due = Vec::new();
        for (ticket, pending) in &self.entry.pending {
            if pending.retry_at.is_some_and(|at| at <= now.mono) {
                due.push(*ticket);
            }
        }
        for ticket in due {
            self.send_on(ticket, now, out);
        }
    }
}

impl Pending {
    /// Only work that may run again, or is known not to have run, is tried again.
    fn may_retry(&self, outcome: &Outcome, now: Now) -> bool {
        let in_time = now.mono.since(self.begun) < RETRY_FOR_MS
            && now.wall.plus(RETRY_PAUSE_MS) < self.request.deadline;
        if !in_time {
            return false;
        }
        match outcome {
            Outcome::Answered(_) => false,
            Outcome::MayHaveRun(_) => self.request.repeat == Repeat::Idempotent,
            Outcome::NotRun(not_run) => heals(not_run.reason),
        }
    }
}

/// Whether another try soon has a chance to succeed.
const fn heals(reason: NotRunReason) -> bool {
    matches!(
        reason,
        NotRunReason::NoOwner
            | NotRunReason::Moving
            | NotRunReason::NotDispatcher
            | NotRunReason::NoHold
            | NotRunReason::DispatcherUnreachable
            | NotRunReason::EndpointUnreachable
            | NotRunReason::Draining
    )
}
