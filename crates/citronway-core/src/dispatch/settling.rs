//! Final outcomes of requests: answers, refusals, cancellations, expiry.

use super::arriving::duplicate_timeout;
use super::machine::Dispatcher;
use super::message::Turn;
use super::queue::QueuedRequest;
use super::slots::{Order, OrderState};
use crate::ids::RequestId;
use crate::node::events::{OrderReply, RefusedReason, Ticket};
use crate::outcome::{MayHaveRun, MayHaveRunReason, NotRun, NotRunReason, Outcome};
use crate::request::Repeat;

impl Dispatcher {
    pub(super) fn on_order_done(&mut self, ticket: Ticket, reply: OrderReply, turn: Turn) {
        match reply {
            OrderReply::Answered { answer } => {
                let Some(order) = self.slots.free(ticket) else {
                    return;
                };
                self.record_service_time(&order, turn);
                self.settle(&order, Outcome::Answered(answer));
            }
            OrderReply::Refused { reason } => self.on_refused(ticket, reason, turn),
            OrderReply::NotSent => {
                self.settle_not_run(ticket, NotRunReason::EndpointUnreachable);
            }
            OrderReply::Lost => self.on_unresolved(ticket, MayHaveRunReason::ConnectionLost, turn),
            OrderReply::Foreign => self.on_unresolved(ticket, MayHaveRunReason::BadAnswer, turn),
            OrderReply::Timeout => self.on_unresolved(ticket, MayHaveRunReason::Timeout, turn),
        }
    }

    /// Handles the endpoint's answer to a cancellation. Only a confirmation frees
    /// the slot. An outcome that the caller already has stays: a non-idempotent
    /// request that may have run is not run again, since it may have started
    /// before it was cancelled.
    pub(super) fn on_cancel_done(&mut self, id: RequestId, confirmed: bool) {
        if !confirmed {
            return;
        }
        while let Some(ticket) = self.slots.cancelling(id) {
            self.settle_not_run(ticket, NotRunReason::Cancelled);
        }
    }

    /// Answers waiters, queued requests and orders whose deadline has come, and
    /// frees the slots of orders that cannot act any more.
    pub(super) fn expire(&mut self, turn: Turn) {
        let now = turn.now.wall;
        for waiter in self.waiters.expire(now) {
            self.reply(waiter.origin, duplicate_timeout());
        }
        for waiting in self.queue.expire(now) {
            self.give_up(&waiting, NotRunReason::Expired);
        }
        // The transport may never report an order's outcome. The caller must
        // still get an answer, so the deadline is checked here too.
        for ticket in self.slots.overdue(now) {
            self.on_unresolved(ticket, MayHaveRunReason::Timeout, turn);
        }
        for ticket in self.slots.expired(now, self.cfg.skew_ms) {
            self.slots.free(ticket);
        }
    }

    /// Answers a request that left the queue without being sent as not run.
    pub(super) fn give_up(&mut self, waiting: &QueuedRequest, reason: NotRunReason) {
        let outcome = Outcome::NotRun(NotRun::new(reason, self.retry_after_ms(reason)));
        let req = &waiting.request;
        self.reply_to_all(waiting.origin, req.id, req.repeat, outcome);
    }

    /// Empties the queue and answers every request in it as not run.
    pub(super) fn give_up_all(&mut self, reason: NotRunReason) {
        for waiting in self.queue.drain() {
            self.give_up(&waiting, reason);
        }
    }

    fn record_service_time(&mut self, order: &Order, turn: Turn) {
        let now = turn.now.mono;
        self.service_times
            .record(&order.class, now.since(order.sent));
        if self.service_times.is_slow(&order.class) {
            self.limit.on_slow_answer(self.service_times.mean_ms(), now);
            return;
        }
        self.limit.on_answered();
    }

    fn on_refused(&mut self, ticket: Ticket, reason: RefusedReason, turn: Turn) {
        let reason = match reason {
            RefusedReason::StaleEpoch | RefusedReason::NoGrant => NotRunReason::EndpointRefused,
            RefusedReason::Expired => NotRunReason::Expired,
            RefusedReason::Draining => NotRunReason::Draining,
            RefusedReason::Shed => NotRunReason::EndpointShed,
        };
        if reason == NotRunReason::EndpointShed {
            self.limit
                .on_shed(self.service_times.mean_ms(), turn.now.mono);
        }
        self.settle_not_run(ticket, reason);
        if reason == NotRunReason::Draining {
            self.health.on_draining_refusal();
            self.give_up_all(NotRunReason::Draining);
        }
    }

    fn settle_not_run(&mut self, ticket: Ticket, reason: NotRunReason) {
        let Some(order) = self.slots.free(ticket) else {
            return;
        };
        let outcome = Outcome::NotRun(NotRun::new(reason, self.retry_after_ms(reason)));
        self.settle(&order, outcome);
    }

    /// Marks an order whose outcome is unknown. Its caller is answered at once;
    /// its slot stays occupied, see [`super::slots::Slots`].
    fn on_unresolved(&mut self, ticket: Ticket, reason: MayHaveRunReason, turn: Turn) {
        let Some(order) = self.slots.get_mut(ticket) else {
            return;
        };
        if order.state == OrderState::Unresolved {
            return;
        }
        order.state = OrderState::Unresolved;
        let order = order.clone();
        self.limit
            .on_unanswered(self.service_times.mean_ms(), turn.now.mono);
        self.ask_cancel(ticket);
        let may = MayHaveRun {
            reason,
            retry_after_ms: order.deadline.since(turn.now.wall),
        };
        self.settle_running(&order, Outcome::MayHaveRun(may));
    }

    /// Records the outcome of an order that has left its slot. The caller of an
    /// unresolved order already has a reply; only an answer is recorded for
    /// later duplicates.
    fn settle(&mut self, order: &Order, outcome: Outcome) {
        if order.state == OrderState::Running {
            return self.settle_running(order, outcome);
        }
        let answered = matches!(outcome, Outcome::Answered(_));
        if answered && order.repeat == Repeat::NonIdempotent {
            self.duplicates.settle(order.id, &outcome);
        }
    }

    fn settle_running(&mut self, order: &Order, outcome: Outcome) {
        self.reply_to_all(order.origin, order.id, order.repeat, outcome);
    }

    /// Sends an outcome to the caller and to all duplicates that wait for it.
    fn reply_to_all(&mut self, origin: Ticket, id: RequestId, repeat: Repeat, outcome: Outcome) {
        if repeat == Repeat::NonIdempotent {
            self.duplicates.settle(id, &outcome);
            for waiter in self.waiters.take(id) {
                self.reply(waiter.origin, outcome.clone());
            }
        }
        self.reply(origin, outcome);
    }
}
