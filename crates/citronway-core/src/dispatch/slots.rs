//! Slots of an endpoint: one for each order that it may be running.

use indexmap::IndexMap;

use super::message::{KeyRange, KeyRef, ShardRef};
use crate::ids::{ClassName, RequestId};
use crate::node::events::Ticket;
use crate::request::Repeat;
use crate::time::{Mono, Wall};

/// State of an order in a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderState {
    /// The outcome is awaited.
    Running,
    /// The caller has been answered, but the endpoint may still run the order.
    Unresolved,
}

/// An order that was sent.
#[derive(Debug, Clone)]
pub struct Order {
    /// Ticket of the submission, for the reply.
    pub origin: Ticket,
    /// Id of the request.
    pub id: RequestId,
    /// Key of the request.
    pub key: KeyRef,
    /// Class of the request.
    pub class: ClassName,
    /// Shard it was sent under.
    pub at: ShardRef,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// Deadline that was sent with it.
    pub deadline: Wall,
    /// When it was sent.
    pub sent: Mono,
    /// State of the order.
    pub state: OrderState,
    /// Whether the endpoint has been asked to cancel it.
    pub cancelling: bool,
}

/// The slots of one endpoint.
///
/// An order keeps its slot until its answer, a confirmed cancellation, or its
/// deadline plus the skew bound: an order that timed out or whose connection
/// broke may still be running. If its slot were freed sooner, the next order
/// would run beside it, and an endpoint that is already slow would get more
/// work than it has slots.
#[derive(Debug, Default)]
pub struct Slots {
    orders: IndexMap<Ticket, Order>,
}

impl Slots {
    /// Number of slots in use.
    #[must_use]
    pub fn used(&self) -> u32 {
        u32::try_from(self.orders.len()).unwrap_or(u32::MAX)
    }

    /// Number of slots with orders whose outcome is awaited.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.count(|order| order.state == OrderState::Running)
    }

    /// Number of slots that a class uses.
    #[must_use]
    pub fn used_by(&self, class: &ClassName) -> u32 {
        self.count(|order| order.class == *class)
    }

    /// Number of slots that a key uses.
    #[must_use]
    pub fn used_by_key(&self, key: &KeyRef) -> u32 {
        self.count(|order| order.key == *key)
    }

    /// Whether an order for a key of the range may be running.
    #[must_use]
    pub fn has_order_in(&self, range: &KeyRange) -> bool {
        self.orders.values().any(|order| range.has(&order.key))
    }

    /// Classes of the orders in slots, one item for each order.
    pub fn classes(&self) -> impl Iterator<Item = &ClassName> {
        self.orders.values().map(|order| &order.class)
    }

    /// Puts an order into a slot.
    pub fn occupy(&mut self, ticket: Ticket, order: Order) {
        self.orders.insert(ticket, order);
    }

    /// The order with this ticket; `None` if it has no slot.
    pub fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Order> {
        self.orders.get_mut(&ticket)
    }

    /// Frees the slot of an order and returns the order; `None` if it has no slot.
    pub fn free(&mut self, ticket: Ticket) -> Option<Order> {
        self.orders.shift_remove(&ticket)
    }

    /// Ticket of the running order of an origin.
    #[must_use]
    pub fn running_by_origin(&self, origin: Ticket) -> Option<Ticket> {
        self.find(|order| order.origin == origin && order.state == OrderState::Running)
    }

    /// Ticket of an order with this request id that the endpoint was asked to
    /// cancel.
    #[must_use]
    pub fn cancelling(&self, id: RequestId) -> Option<Ticket> {
        self.find(|order| order.id == id && order.cancelling)
    }

    /// Running orders whose deadline has come: their callers must be answered now.
    #[must_use]
    pub fn overdue(&self, now: Wall) -> Vec<Ticket> {
        self.select(|order| order.state == OrderState::Running && order.deadline <= now)
    }

    /// Orders that cannot act any more: their deadline plus the skew bound has
    /// passed.
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
