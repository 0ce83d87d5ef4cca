//! Simulated endpoint that checks fences and measures holds on a clock that runs 2% slow.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use citronway_core::gateway::leader::{Order, OrderKind, OrderResult};
use citronway_core::gateway::registry::Listing;
use citronway_core::ids::{EndpointStart, ServiceName};
use citronway_core::time::Mono;

#[derive(Debug, Clone, Copy, Default)]
struct KeyState {
    seen: u64,
    fence: u64,
    until: Mono,
}

/// Change of an endpoint's clock between two starts.
#[derive(Debug, Clone, Copy)]
pub enum Clock {
    Correct,
    SetBack,
    Unchanged,
}

#[derive(Debug)]
pub struct Endpoint {
    index: usize,
    start: u64,
    /// Number of the process, counted from the first.
    process: u64,
    /// Start time by the endpoint's own clock. It may repeat or decrease for starts under one
    /// name.
    born_ms: u64,
    pub address: SocketAddr,
    /// Whether the endpoint refuses orders that name an earlier start at its address.
    pub checks_names: bool,
    keys: BTreeMap<u16, KeyState>,
}

impl Endpoint {
    pub fn new(index: usize) -> Self {
        Self {
            index,
            start: 0,
            process: 0,
            born_ms: 1_000_000,
            address: SocketAddr::from(([10, 0, 0, 1], 8_000 + u16::try_from(index).unwrap_or(0))),
            checks_names: true,
            keys: BTreeMap::new(),
        }
    }

    pub const fn process(&self) -> u64 {
        self.process
    }

    pub fn id(&self) -> EndpointStart {
        super::name(self.index, self.start, self.born_ms)
    }

    pub fn listing(&self) -> Listing {
        Listing {
            start: self.id(),
            service: ServiceName::new("batch"),
            address: self.address,
            zone: super::zone_of(self.index),
            slots: 6,
            draining: false,
            cold_ms: 0,
        }
    }

    /// Replaces the process by another one at the same address, which holds nothing.
    pub fn restart(&mut self) {
        self.start += 1;
        self.process += 1;
        self.keys.clear();
    }

    /// Restarts the process under its name, which loses all holds and fences.
    pub fn start_again(&mut self, clock: Clock) {
        self.process += 1;
        self.born_ms = match clock {
            Clock::Correct => self.born_ms + 1,
            Clock::SetBack => self.born_ms - 1,
            Clock::Unchanged => self.born_ms,
        };
        self.keys.clear();
    }

    pub fn holds(&self, now: Mono, key: u16) -> bool {
        self.keys.get(&key).is_some_and(|state| state.until > now)
    }

    pub fn handle(&mut self, now: Mono, arrived: Mono, order: &Order) -> OrderResult {
        if self.checks_names && order.endpoint.name() != self.id().name() {
            return OrderResult::NotThere;
        }
        let keys = (0..=u16::MAX).step_by(997);
        let span: Vec<_> = keys
            .filter(|key| (order.span.first..=order.span.last).contains(key))
            .collect();
        match &order.kind {
            OrderKind::Grant { hold_ms, .. } | OrderKind::Seal { hold_ms } => {
                let seen = |key| self.keys.get(key).map_or(0, |state| state.seen);
                if span.iter().any(|key| seen(key) > order.fence) {
                    return OrderResult::Stale;
                }
                let until = arrived.plus(hold_ms + hold_ms / 50);
                for key in span {
                    let state = self.keys.entry(key).or_default();
                    state.seen = order.fence;
                    state.fence = order.fence;
                    state.until = until;
                }
            }
            OrderKind::Release => {
                for key in span {
                    let state = self.keys.entry(key).or_default();
                    if state.fence <= order.fence {
                        state.until = now;
                    }
                }
            }
        }
        OrderResult::Done {
            handover: Some(order.fence.to_string()),
        }
    }
}
