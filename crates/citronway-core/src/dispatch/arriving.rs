//! Handling of submitted requests and of cancellations by callers.

use super::admission::{Arrival, admit};
use super::duplicates::Verdict;
use super::fingerprint::Fingerprint;
use super::grants::Phase;
use super::health::Reach;
use super::machine::Dispatcher;
use super::message::{DispatchAction, ShardRef, Turn};
use super::queue::QueuedRequest;
use super::waiters::Waiter;
use crate::ids::{RequestId, ShardId};
use crate::node::events::Ticket;
use crate::outcome::{MayHaveRun, MayHaveRunReason, NotRun, NotRunReason, Outcome};
use crate::request::{Repeat, Request};
use crate::time::Wall;

/// Shortest retry-after time, in milliseconds.
const MIN_RETRY_MS: u64 = 10;

impl Dispatcher {
    pub(super) fn on_submit(
        &mut self,
        origin: Ticket,
        shard: ShardId,
        request: Request,
        turn: Turn,
    ) {
        let at = ShardRef {
            service: request.service.clone(),
            shard,
        };
        let fingerprint = Fingerprint::of(&request);
        // The id is looked up before any check that may refuse the request:
        // otherwise a repeat of a running request would be answered `not run`.
        let not_before = match self.verdict(&request, fingerprint, &at, turn) {
            Verdict::New { not_before } => not_before,
            Verdict::Pending => return self.wait_for(origin, &request),
            Verdict::Settled(outcome) => return self.reply(origin, outcome),
            Verdict::Fault(fault) => {
                return self.out.push(DispatchAction::Reject { origin, fault });
            }
            Verdict::NoRoom => {
                let retry_ms = self.cfg.report_ms;
                return self.refuse(origin, NotRunReason::Overloaded, retry_ms);
            }
        };
        let waiting = QueuedRequest {
            origin,
            request,
            at,
            not_before,
        };
        if let Err(not_run) = self.admit(&waiting, turn) {
            return self.reply(origin, Outcome::NotRun(not_run));
        }
        self.enqueue(waiting, fingerprint);
    }

    /// Handles a caller that has gone. A queued request is dropped unless
    /// duplicates wait for it. A running idempotent order is cancelled; a
    /// non-idempotent one runs on, so that its outcome is known to a repeat.
    pub(super) fn on_cancel(&mut self, origin: Ticket) {
        if let Some(id) = self.queue.id_of(origin) {
            if self.waiters.len_of(id) > 0 {
                return;
            }
            if let Some(waiting) = self.queue.remove(origin) {
                self.give_up(&waiting, NotRunReason::Cancelled);
            }
            return;
        }
        let Some(ticket) = self.slots.running_by_origin(origin) else {
            return;
        };
        let order = self.slots.get_mut(ticket);
        if order.is_some_and(|order| order.repeat == Repeat::Idempotent) {
            self.ask_cancel(ticket);
        }
    }

    /// Retry-after time for a refusal, in milliseconds: the time until there is
    /// room, or until the reason may no longer hold.
    pub(super) fn retry_after_ms(&self, reason: NotRunReason) -> u64 {
        match reason {
            NotRunReason::Draining
            | NotRunReason::Moving
            | NotRunReason::NoOwner
            | NotRunReason::NotDispatcher => self.cfg.renew_ms,
            NotRunReason::NoHold => self.cfg.hold_grace_ms,
            NotRunReason::EndpointUnreachable => self.cfg.max_grant_ms + self.cfg.skew_ms,
            _ => self.drain_ms(),
        }
    }

    fn verdict(
        &self,
        request: &Request,
        fingerprint: Fingerprint,
        at: &ShardRef,
        turn: Turn,
    ) -> Verdict {
        if request.repeat == Repeat::Idempotent {
            return Verdict::New {
                not_before: Wall(0),
            };
        }
        let floor = self.grants.get(at).map_or(Wall(0), |held| held.owned.floor);
        self.duplicates
            .check(request.id, fingerprint, floor, turn.now.wall)
    }

    fn admit(&self, waiting: &QueuedRequest, turn: Turn) -> Result<(), NotRun> {
        if let Some(reason) = self.refusal_reason(&waiting.at, turn) {
            return Err(NotRun::new(reason, self.retry_after_ms(reason)));
        }
        let request = &waiting.request;
        let class = &request.class;
        let arrival = Arrival {
            deadline: request.deadline,
            ahead: self
                .queue
                .ahead_of(class, request.deadline, &self.service_times),
            service_ms: self.service_times.ms(class),
            running_ms: self.running_ms() / u64::from(self.slots.used().max(1)),
            running: self.slots.used(),
            slots: self.limit.slots(),
            drain_ms: self.drain_ms(),
            waiting: self.queue.len(),
            waiting_of_key: self.queue.len_of(&waiting.key()),
            queue_max: self.cfg.queue_max,
            key_share: self.cfg.key_share,
        };
        admit(&arrival, turn.now.wall)
    }

    /// Sum of the mean service times of the orders in slots, in milliseconds.
    fn running_ms(&self) -> u64 {
        let classes = self.slots.classes();
        classes.map(|class| self.service_times.ms(class)).sum()
    }

    /// Estimated time until all queued and running work is done, in milliseconds.
    fn drain_ms(&self) -> u64 {
        let work_ms = self.queue.work_ms(&self.service_times) + self.running_ms();
        let ms = work_ms / u64::from(self.limit.slots());
        ms.max(MIN_RETRY_MS)
    }

    /// Why no new request for the shard is accepted; `None` if it is open.
    fn refusal_reason(&self, at: &ShardRef, turn: Turn) -> Option<NotRunReason> {
        if self.retired.is_some() {
            return self.retired;
        }
        if !turn.may_act {
            return Some(NotRunReason::NoHold);
        }
        if self.health.stale() {
            return Some(NotRunReason::NotDispatcher);
        }
        if self.is_draining() {
            return Some(NotRunReason::Draining);
        }
        if self.health.reach() == Reach::Unreachable {
            return Some(NotRunReason::EndpointUnreachable);
        }
        let Some(held) = self.grants.get(at) else {
            return Some(NotRunReason::NoOwner);
        };
        match held.phase {
            Phase::Serving => None,
            Phase::Stopping | Phase::Revoking | Phase::Released => Some(NotRunReason::Moving),
        }
    }

    fn enqueue(&mut self, waiting: QueuedRequest, fingerprint: Fingerprint) {
        if waiting.request.repeat == Repeat::NonIdempotent {
            self.duplicates.register(waiting.request.id, fingerprint);
        }
        self.queue.push(waiting);
    }

    /// Adds a duplicate to the waiters for the answer of the request it repeats.
    fn wait_for(&mut self, origin: Ticket, request: &Request) {
        let id = request.id;
        if self.waiters.len_of(id) >= self.cfg.max_waiters {
            return self.reply(origin, duplicate_timeout());
        }
        let deadline = request.deadline;
        self.waiters.add(id, Waiter { origin, deadline });
    }

    pub(super) fn ask_cancel(&mut self, ticket: Ticket) {
        let Some(order) = self.slots.get_mut(ticket) else {
            return;
        };
        if order.cancelling {
            return;
        }
        order.cancelling = true;
        let id: RequestId = order.id;
        self.cancels.push(id);
    }
}

/// Outcome for a duplicate that stops waiting before the outcome is known. The
/// request it repeats may still run, so `not run` would be wrong.
pub(super) const fn duplicate_timeout() -> Outcome {
    Outcome::MayHaveRun(MayHaveRun {
        reason: MayHaveRunReason::Timeout,
        retry_after_ms: 0,
    })
}
