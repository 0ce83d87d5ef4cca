//! Connections from leaders to endpoints, and orders that arrive late.
//!
//! A connection ends with the process that accepted it, and all that was sent on it is lost.

use citronway_core::gateway::leader::{Order, OrderKind};
use citronway_core::time::Mono;

use super::{Endpoint, Random};

/// Longest time from the issue of a lost order to its arrival, in milliseconds: its timeout and
/// the late arrival that the leader allows for.
const LATEST_ARRIVAL_MS: u64 = 650;

/// Connections of one leader: for each endpoint, the process that accepted the last one.
#[derive(Debug, Default)]
pub(super) struct Links {
    processes: Vec<Option<u64>>,
}

impl Links {
    /// Whether there is a connection to this process of the endpoint.
    pub(super) fn is_open(&mut self, index: usize, process: u64) -> bool {
        if self.processes.len() <= index {
            self.processes.resize(index + 1, None);
        }
        self.processes[index] == Some(process)
    }

    /// Opens a connection to this process, unless there is one.
    pub(super) fn open(&mut self, index: usize, process: u64) {
        if !self.is_open(index, process) {
            self.processes[index] = Some(process);
        }
    }

    /// Closes a connection while both processes continue.
    pub(super) fn end(&mut self, index: usize) {
        if let Some(process) = self.processes.get_mut(index) {
            *process = None;
        }
    }
}

#[derive(Debug)]
struct LateOrder {
    at: Mono,
    arrived: Mono,
    endpoint: usize,
    /// Process that accepted the order's connection; `None` until it is opened.
    process: Option<u64>,
    /// Latest time at which a new connection for the order is opened.
    connected: Mono,
    order: Order,
}

/// Orders that arrive late.
#[derive(Debug, Default)]
pub(super) struct LateOrders {
    orders: Vec<LateOrder>,
}

impl LateOrders {
    /// Queues an order that arrives within its timeout or a little later and is carried out up to
    /// 12 s later.
    pub(super) fn push(
        &mut self,
        now: Mono,
        random: &mut Random,
        (endpoint, process): (usize, u64),
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
            process: (now >= order.connect_by).then_some(process),
            connected: arrived.min(order.connect_by),
            order: order.clone(),
        });
    }

    /// Carries out the orders that are due.
    pub(super) fn carry_out(&mut self, now: Mono, endpoints: &mut [Endpoint]) {
        for late in &mut self.orders {
            if late.connected <= now {
                late.process
                    .get_or_insert(endpoints[late.endpoint].process());
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = self.orders.drain(..).partition(|o| o.at <= now);
        self.orders = later;
        for late in due {
            let endpoint = &mut endpoints[late.endpoint];
            if late.process == Some(endpoint.process()) {
                endpoint.handle(now, late.arrived, &late.order);
            }
        }
    }
}

/// Whether an order whose answer is lost may still be carried out.
pub(super) fn may_be_late(order: &Order) -> bool {
    order.kind != OrderKind::Release
}
