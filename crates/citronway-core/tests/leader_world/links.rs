//! Connections from leaders to endpoints, and the orders on them that arrive late.
//!
//! A connection ends with the process that took it, and so does all that was sent on it.

use citronway_core::gateway::leader::{Order, OrderKind};
use citronway_core::time::Mono;

use super::{Endpoint, Random};

/// How long after it was decided a lost order may arrive: its time and some more.
const LATEST_ARRIVAL_MS: u64 = 650;

/// One leader's connections: the life of each endpoint that took the last one.
#[derive(Debug, Default)]
pub(super) struct Links {
    lives: Vec<Option<u64>>,
}

impl Links {
    /// Whether there is a connection to this life of the endpoint.
    pub(super) fn is_open(&mut self, place: usize, life: u64) -> bool {
        if self.lives.len() <= place {
            self.lives.resize(place + 1, None);
        }
        self.lives[place] == Some(life)
    }

    /// A connection is made to this life, unless there is one.
    pub(super) fn open(&mut self, place: usize, life: u64) {
        if !self.is_open(place, life) {
            self.lives[place] = Some(life);
        }
    }

    /// A connection ends while both sides live on.
    pub(super) fn end(&mut self, place: usize) {
        if let Some(life) = self.lives.get_mut(place) {
            *life = None;
        }
    }
}

#[derive(Debug)]
struct LateOrder {
    at: Mono,
    arrived: Mono,
    endpoint: usize,
    /// The life that took its connection, once that was made.
    life: Option<u64>,
    /// When a new connection for it is made at the latest.
    connected: Mono,
    order: Order,
}

/// Orders that arrive late.
#[derive(Debug, Default)]
pub(super) struct LateOrders {
    orders: Vec<LateOrder>,
}

impl LateOrders {
    /// An order arrives within its time or a little after; it is carried out up to 12 s later.
    pub(super) fn push(
        &mut self,
        now: Mono,
        random: &mut Random,
        (endpoint, life): (usize, u64),
        order: &Order,
    ) {
        let arrived = now.plus(random.below(LATEST_ARRIVAL_MS));
        let at = if random.chance(5_000) {
            now.plus(2_000 + random.below(10_000))
        } else {
            arrived
        };
        self.orders.push(LateOrder {
            at,
            arrived,
            endpoint,
            life: (now >= order.connect_by).then_some(life),
            connected: arrived.min(order.connect_by),
            order: order.clone(),
        });
    }

    /// Carries out what is due.
    pub(super) fn carry_out(&mut self, now: Mono, endpoints: &mut [Endpoint]) {
        for late in &mut self.orders {
            if late.connected <= now {
                late.life.get_or_insert(endpoints[late.endpoint].life());
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = self.orders.drain(..).partition(|o| o.at <= now);
        self.orders = later;
        for late in due {
            let endpoint = &mut endpoints[late.endpoint];
            if late.life == Some(endpoint.life()) {
                endpoint.take(now, late.arrived, &late.order);
            }
        }
    }
}

/// Whether an order whose answer is lost may be carried out after all.
pub(super) fn may_be_late(order: &Order) -> bool {
    order.kind != OrderKind::Release
}
