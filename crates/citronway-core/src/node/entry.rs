//! The entry role: takes callers' requests, finds the dispatcher, gives the outcome back.

use indexmap::IndexMap;

use crate::dispatch::DispatchEvent;
use crate::ids::{EndpointName, Epoch, Session, ShardId};
use crate::outcome::{MayHaveRun, NotRun, NotRunReason, Outcome};
use crate::request::Request;
use crate::retry::{RetryBudget, RetrySettings, backoff_ms, may_retry};
use crate::time::{Mono, Now};

use super::Node;
use super::events::{Action, CallerRequest, Ticket};
use super::settings::SendPolicy;
use super::tickets::{Origin, Purpose};

/// Pause before a request looks again for its dispatcher or endpoint, in milliseconds.
const REROUTE_MS: u64 = 25;
/// When a caller may come back if nothing better is known, in milliseconds.
const COME_BACK_MS: u64 = 1_000;

/// Requests of callers that have no outcome yet.
#[derive(Debug)]
pub(super) struct Entry {
    pending: IndexMap<Ticket, Pending>,
    budget: RetryBudget,
}

#[derive(Debug)]
struct Pending {
    request: Request,
    begun: Mono,
    retries: u32,
    again_at: Option<Mono>,
    /// What an earlier try came to, if it may have run.
    doubt: Option<MayHaveRun>,
    /// Endpoint and origin ticket while a dispatcher of this instance has it.
    here: Option<Here>,
}

#[derive(Debug, Clone)]
struct Here {
    endpoint: EndpointName,
    origin: Ticket,
}

/// Where a request has to go.
#[derive(Debug)]
struct Target {
    endpoint: EndpointName,
    shard: ShardId,
    dispatcher: Session,
    epoch: Epoch,
}

impl Entry {
    pub(super) fn new(retry: RetrySettings) -> Self {
        Self {
            pending: IndexMap::new(),
            budget: RetryBudget::new(retry),
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Requests that have no outcome yet.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
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
                    retries: 0,
                    again_at: None,
                    doubt: None,
                    here: None,
                };
                self.entry.budget.first_try();
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
        if self.is_leaving(now) {
            return Err(NotRunReason::ShuttingDown);
        }
        let config = self.servable(now)?;
        let class = config
            .route(&req.service, &req.labels, &req.key)?
            .class
            .clone();
        Ok(Request {
            id: req.id,
            service: req.service,
            key: req.key,
            tenant: req.labels.get("tenant").cloned().unwrap_or_default(),
            class,
            repeat: req.repeat,
            deadline: req.deadline,
            method: req.method,
            path: req.path,
            content_type: req.content_type,
            body: req.body,
        })
    }

    /// The caller has gone: what only waits here is not worth its slot any more.
    pub(super) fn caller_gone(&mut self, ticket: Ticket, now: Now, out: &mut Vec<Action>) {
        let Some(pending) = self.entry.pending.swap_remove(&ticket) else {
            return;
        };
        if let Some(Here { endpoint, origin }) = pending.here {
            self.tell_dispatcher(&endpoint, DispatchEvent::Cancel { origin }, now, out);
        }
    }

    fn target(&self, request: &Request) -> Result<Target, NotRunReason> {
        let shard = self
            .view
            .shard_of(&request.service, &request.key)
            .ok_or(NotRunReason::NoOwner)?;
        let endpoint = shard.server().ok_or(NotRunReason::NoOwner)?;
        if self.settings.policy != SendPolicy::Dispatcher {
            return Ok(Target {
                endpoint: endpoint.clone(),
                shard: shard.id,
                dispatcher: self.me.clone(),
                epoch: Epoch(0),
            });
        }
        let row = self
            .view
            .dispatch()
            .get(endpoint)
            .ok_or(NotRunReason::NoOwner)?;
        Ok(Target {
            endpoint: endpoint.clone(),
            shard: shard.id,
            dispatcher: row.value.dispatcher.clone(),
            epoch: row.value.epoch,
        })
    }

    fn send_on(&mut self, ticket: Ticket, now: Now, out: &mut Vec<Action>) {
        let Some(pending) = self.entry.pending.get_mut(&ticket) else {
            return;
        };
        pending.again_at = None;
        let request = pending.request.clone();
        if let Some(harmful) = self.harmful(now, &request) {
            self.settle(ticket, harmful, now, out);
            return;
        }
        let target = match self.target(&request) {
            Ok(target) => target,
            Err(reason) => {
                let outcome = Outcome::NotRun(NotRun::new(reason, COME_BACK_MS));
                self.settle(ticket, outcome, now, out);
                return;
            }
        };
        if target.dispatcher == self.me {
            self.dispatch_here(Origin::Caller(ticket), target, request, now, out);
            return;
        }
        out.push(Action::Forward {
            ticket: self.tickets.draw(Purpose::Forward { caller: ticket }),
            to: target.dispatcher,
            endpoint: target.endpoint,
            dispatch_epoch: target.epoch,
            request,
        });
    }

    /// Another entry forwarded a request to this instance.
    pub(super) fn forwarded(
        &mut self,
        ticket: Ticket,
        endpoint: &EndpointName,
        epoch: Epoch,
        request: Request,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        match self.accept(endpoint, epoch, &request) {
            Ok(target) => self.dispatch_here(Origin::Peer(ticket), target, request, now, out),
            Err(reason) => {
                let outcome = Outcome::NotRun(NotRun::new(reason, COME_BACK_MS));
                out.push(Action::Reply { ticket, outcome });
            }
        }
    }

    /// Failure guarded against: the entry went by old rows and sent the request
    /// to where its key was before. What this instance knows decides; where the
    /// two disagree, the request goes back as not run and the entry looks again.
    fn accept(
        &self,
        endpoint: &EndpointName,
        epoch: Epoch,
        request: &Request,
    ) -> Result<Target, NotRunReason> {
        let target = self.target(request)?;
        if target.endpoint != *endpoint {
            return Err(NotRunReason::Moving);
        }
        if target.dispatcher != self.me || target.epoch != epoch {
            return Err(NotRunReason::NotDispatcher);
        }
        Ok(target)
    }

    fn dispatch_here(
        &mut self,
        from: Origin,
        target: Target,
        request: Request,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let Target {
            endpoint, shard, ..
        } = target;
        let refused = self.begin_try(now, &request, self.tickets.next());
        let (work, refused) = match refused {
            Ok(work) => (work, None),
            Err(outcome) => (None, Some(outcome)),
        };
        let origin = self
            .tickets
            .draw(Purpose::Dispatched { origin: from, work });
        if let Some(outcome) = refused {
            self.dispatched(origin, outcome, now, out);
            return;
        }
        if !self.seats.has_dispatcher(&endpoint) {
            let outcome = Outcome::NotRun(NotRun::new(NotRunReason::NotDispatcher, COME_BACK_MS));
            self.dispatched(origin, outcome, now, out);
            return;
        }
        if let Origin::Caller(ticket) = from
            && let Some(pending) = self.entry.pending.get_mut(&ticket)
        {
            pending.here = Some(Here {
                endpoint: endpoint.clone(),
                origin,
            });
        }
        let event = DispatchEvent::Submit {
            origin,
            shard,
            request,
        };
        self.tell_dispatcher(&endpoint, event, now, out);
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
        pending.here = None;
        if let Outcome::MayHaveRun(may) = &outcome {
            pending.doubt = Some(*may);
        }
        let pause = pending.pause(
            &outcome,
            ticket,
            &self.settings.retry,
            &mut self.entry.budget,
        );
        if let Some(pause_ms) = pause {
            let in_time = now.mono.since(pending.begun) < self.settings.reroute_for_ms
                && now.wall.plus(pause_ms) < pending.request.deadline;
            if in_time {
                pending.again_at = Some(now.mono.plus(pause_ms));
                return;
            }
        }
        let outcome = pending.in_all(outcome);
        self.entry.pending.swap_remove(&ticket);
        out.push(Action::Reply { ticket, outcome });
    }

    pub(super) fn tick_entry(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut due = Vec::new();
        for (ticket, pending) in &self.entry.pending {
            if pending.again_at.is_some_and(|at| at <= now.mono) {
                due.push(*ticket);
            }
        }
        for ticket in due {
            self.send_on(ticket, now, out);
        }
    }
}

impl Pending {
    /// The outcome of all tries together.
    ///
    /// Failure guarded against: the first try of an idempotent request runs and
    /// its answer is lost; the second is refused, say because its deadline is
    /// too close, and the caller is told that the request did not run. Only an
    /// answer settles what an earlier try left open.
    fn in_all(&self, last: Outcome) -> Outcome {
        match (&last, self.doubt) {
            (Outcome::NotRun(_), Some(doubt)) => Outcome::MayHaveRun(doubt),
            _ => last,
        }
    }

    /// Time until the next try in milliseconds, or `None` if the outcome is final.
    ///
    /// A request that reached no endpoint only waits until its key has an owner
    /// and a dispatcher again; that costs nobody anything. What reached an
    /// endpoint is tried again only under the budget.
    fn pause(
        &mut self,
        outcome: &Outcome,
        ticket: Ticket,
        cfg: &RetrySettings,
        budget: &mut RetryBudget,
    ) -> Option<u64> {
        if reached_nobody(outcome) {
            return Some(REROUTE_MS);
        }
        if !may_retry(self.request.repeat, outcome) || !budget.take() {
            return None;
        }
        self.retries += 1;
        Some(backoff_ms(cfg, self.retries - 1, ticket))
    }
}

/// Whether the request was sent to no endpoint because its key has no owner or
/// no dispatcher at the moment, or since another copy of it is being tried.
const fn reached_nobody(outcome: &Outcome) -> bool {
    let Outcome::NotRun(not_run) = outcome else {
        return false;
    };
    matches!(
        not_run.reason,
        NotRunReason::NoOwner
            | NotRunReason::Moving
            | NotRunReason::NotDispatcher
            | NotRunReason::NoHold
            | NotRunReason::DispatcherUnreachable
            | NotRunReason::EndpointUnreachable
            | NotRunReason::UnderTrial
    )
}
