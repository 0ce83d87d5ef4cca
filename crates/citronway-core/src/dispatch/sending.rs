//! Sending of orders and cancellations to the endpoint.

use super::health::Reach;
use super::machine::Dispatcher;
use super::message::{DispatchAction, Turn};
use super::queue::QueuedRequest;
use super::slots::{Order, OrderState};
use crate::request::Fence;
use crate::time::{Now, Wall};

impl Dispatcher {
    /// Sends queued requests while slots are free. The caller has checked that
    /// the role is held.
    pub(super) fn send_orders(&mut self, turn: Turn) {
        let slots = &self.slots;
        let limit = self.limit.slots();
        self.queue
            .pass_time(turn.now.mono, limit, |class| slots.used_by(class));
        if !self.may_send() {
            return;
        }
        while self.has_slot(turn.now.wall) {
            let Some(waiting) = self.next_request(turn.now) else {
                break;
            };
            self.send(waiting, turn);
        }
    }

    pub(super) fn send_cancels(&mut self) {
        for id in std::mem::take(&mut self.cancels) {
            self.out.push(DispatchAction::Cancel { id });
        }
    }

    fn may_send(&self) -> bool {
        let reachable = self.health.reach() != Reach::Unreachable;
        reachable && !self.health.stale() && !self.is_draining()
    }

    /// Whether one more order may be sent.
    ///
    /// An unresolved order keeps its slot but does not count against the
    /// concurrency limit, which it has lowered already. Counted twice, one lost
    /// order would stop an endpoint of two slots until the order's deadline.
    fn has_slot(&self, now: Wall) -> bool {
        let all = self.limit.max_slots();
        let taken = self
            .slots
            .used()
            .saturating_add(self.predecessor_orders_running(now));
        taken < all && self.slots.running() < self.limit.slots()
    }

    /// Number of slots occupied by orders of a predecessor.
    ///
    /// The endpoint's own count is used until the longest order has ended. One
    /// slot is always left usable, or a wrong count would stop all work.
    fn predecessor_orders_running(&self, now: Wall) -> u32 {
        let longest_ms = self.cfg.max_order_ms + self.cfg.skew_ms;
        if now >= self.started.wall.plus(longest_ms) {
            return 0;
        }
        self.predecessor_orders.min(self.limit.max_slots() - 1)
    }

    /// Takes the next request to send out of the queue. Two kinds are passed
    /// over while another request can be sent:
    ///
    /// - requests of a key that already has its share of the slots; otherwise a
    ///   hot key would fill them all;
    /// - requests that will most likely miss their deadline. The earliest
    ///   deadline goes first, so under overload every request would be started
    ///   just too late, time out in its slot, and make the next one too late.
    fn next_request(&mut self, now: Now) -> Option<QueuedRequest> {
        let max_per_key = self.limit.slots() * u32::from(self.cfg.key_share) / 100;
        let grants = &self.grants;
        let slots = &self.slots;
        let times = &self.service_times;
        let ready = |waiting: &QueuedRequest| {
            let is_sendable = waiting.not_before <= now.wall && waiting.request.deadline > now.wall;
            is_sendable && grants.is_live(&waiting.at, now.wall)
        };
        let in_time_to_finish = |waiting: &QueuedRequest| {
            let done = now.wall.plus(times.ms(&waiting.request.class));
            ready(waiting) && done <= waiting.request.deadline
        };
        let within_key_share = |waiting: &QueuedRequest| {
            in_time_to_finish(waiting) && slots.used_by_key(&waiting.key()) < max_per_key.max(1)
        };
        if let Some(waiting) = self.queue.pop_fit(now.mono, within_key_share) {
            return Some(waiting);
        }
        if let Some(waiting) = self.queue.pop_fit(now.mono, in_time_to_finish) {
            return Some(waiting);
        }
        self.queue.pop_fit(now.mono, ready)
    }

    fn send(&mut self, waiting: QueuedRequest, turn: Turn) {
        let Some(held) = self.grants.get(&waiting.at) else {
            return;
        };
        let fence = Fence {
            shard: waiting.at.shard,
            shard_epoch: held.owned.epoch,
            dispatch_epoch: self.epoch,
            dispatcher: self.session.clone(),
        };
        let key = waiting.key();
        let mut request = waiting.request;
        // A successor waits `max_order_ms` for orders to end. An order with a
        // later deadline could run at the same time as the next owner's orders.
        let latest = turn.now.wall.plus(self.cfg.max_order_ms);
        request.deadline = request.deadline.min(latest);
        self.hot_keys.add(&key);
        *self.sent_by_shard.entry(waiting.at.clone()).or_insert(0) += 1;
        let order = Order {
            origin: waiting.origin,
            id: request.id,
            key,
            class: request.class.clone(),
            at: waiting.at,
            repeat: request.repeat,
            deadline: request.deadline,
            sent: turn.now.mono,
            state: OrderState::Running,
            cancelling: false,
        };
        self.grants.record_order_sent(&order.at, turn.now.wall);
        let ticket = self.ticket();
        self.slots.occupy(ticket, order);
        self.out.push(DispatchAction::SendOrder {
            ticket,
            fence,
            request,
        });
    }
}
