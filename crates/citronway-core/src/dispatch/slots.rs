//! Orders that may be running at the endpoint, each in a slot of its own.

use indexmap::IndexMap;

use super::message::{KeyRange, KeyRef, ShardRef};
use crate::ids::{ClassName, RequestId};
use crate::node::events::Ticket;
use crate::request::Repeat;
use crate::time::{Mono, Wall};

/// How far an order has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderState {
    /// Its outcome is awaited.
    Running,
    /// Its caller has been answered, but the endpoint may still run it.
    Unresolved,
}

/// An order that was sent.
#[derive(Debug, Clone)]
pub struct Order {
    /// Whom to reply to.
    pub origin: Ticket,
    /// Identity of the request.
    pub id: RequestId,
    /// Its key.
    pub key: KeyRef,
    /// Its class.
    pub class: ClassName,
    /// Its shard.
    pub at: ShardRef,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// Deadline that was sent with it.
    pub deadline: Wall,
    /// When it was sent.
    pub sent: Mono,
    /// How far it has come.
    pub state: OrderState,
    /// The endpoint has been asked to cancel it.
    pub cancelling: bool,
}

/// The slots of one endpoint.
///
/// An order keeps its slot until its answer, a confirmed cancellation, or its
/// deadline and the skew bound: an order that timed out or whose connection
/// broke may still be running. Freed any sooner, the next order would come on
/// top of it, and an endpoint that is slow already would get more work than it
/// has slots.
#[derive(Debug, Default)]
pub struct Slots {
    orders: IndexMap<Ticket, Order>,
}

impl Slots {
    /// Slots in use.
    #[must_use]
    pub fn used(&self) -> u32 {
        u32::try_from(self.orders.len()).unwrap_or(u32::MAX)
    }

    /// Slots of orders whose outcome is awaited.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.count(|order| order.state == OrderState::Running)
    }

    /// Slots that orders of one class use.
    #[must_use]
    pub fn used_by(&self, class: &ClassName) -> u32 {
        self.count(|order| order.class == *class)
    }

    /// Slots that orders of one key use.
    #[must_use]
    pub fn used_by_key(&self, key: &KeyRef) -> u32 {
        self.count(|order| order.key == *key)
    }

    /// Whether an order of the shard may be running.
    #[must_use]
    pub fn has_order_in(&self, part: &KeyRange) -> bool {
        self.orders.values().any(|order| part.has(&order.key))
    }

    /// Classes of the orders that hold a slot, one for each.
    pub fn classes(&self) -> impl Iterator<Item = &ClassName> {
        self.orders.values().map(|order| &order.class)
    }

    /// Takes a slot.
    pub fn occupy(&mut self, ticket: Ticket, order: Order) {
        self.orders.insert(ticket, order);
    }

    /// An order by its ticket.
    pub fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Order> {
        self.orders.get_mut(&ticket)
    }

    /// Frees the slot of an order.
    pub fn free(&mut self, ticket: Ticket) -> Option<Order> {
        self.orders.shift_remove(&ticket)
    }

    /// Ticket of the running order that answers an origin.
    #[must_use]
    pub fn running_by_origin(&self, origin: Ticket) -> Option<Ticket> {
        self.find(|order| order.origin == origin && order.state == OrderState::Running)
    }

    /// Ticket of an order of this id that the endpoint was asked to cancel.
    #[must_use]
    pub fn cancelling(&self, id: RequestId) -> Option<Ticket> {
        self.find(|order| order.id == id && order.cancelling)
    }

    /// Orders whose callers must be answered now because the deadline has come.
    #[must_use]
    pub fn overdue(&self, now: Wall) -> Vec<Ticket> {
        self.select(|order| order.state == OrderState::Running && order.deadline <= now)
    }

    /// Orders that cannot act any more.
    #[must_use]
    pub fn expired(&self, now: Wall, skew_ms: u64) -> Vec<Ticket> {
        self.select(|order| order.deadline.plus(skew_ms) <= now)
    }

    fn count(&self, wanted: impl Fn(&Order) -> bool) -> u32 {
        let count = self.orders.values().filter(|order| wanted(order)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn find(&self, wanted: impl Fn(&Order) -> bool) -> Option<Ticket> {
        let (ticket, _) = self.orders.iter().find(|(_, order)| wanted(order))?;
        Some(*ticket)
    }

    fn select(&self, wanted: impl Fn(&Order) -> bool) -> Vec<Ticket> {
        let mut tickets = Vec::new();
        for (ticket, order) in &self.orders {
            if wanted(order) {
                tickets.push(*ticket);
            }
        }
        tickets
    }
}
