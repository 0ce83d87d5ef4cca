//! A leader that was replaced and hears the rows of its successor.

mod leader_world;

use citronway_core::gateway::assignment::{Assignment, FENCES_PER_MOVE, Holder, LAST_KEY, Range};
use citronway_core::gateway::leader::{
    Action, FormerLeaderLimits, Leader, LeaderSettings, Move, Order, OrderKind, OrderResult, Span,
    WriteResult,
};
use citronway_core::gateway::registry::Registry;
use citronway_core::gateway::version::RowVersion;
use citronway_core::ids::ServiceName;
use citronway_core::time::Mono;
use googletest::prelude::*;
use leader_world::Endpoint;

const NOW: Mono = Mono(100_000);
const ALL: Span = Span {
    first: 0,
    last: LAST_KEY,
};
/// A part of a range, as a division moves it.
const PART: Span = Span {
    first: 10_000,
    last: 19_999,
};
/// Key in both spans that is served and checked by the simulated endpoints.
const KEY: u16 = 997 * 15;

/// Two endpoints, the stored row, and the time.
struct Scene {
    now: Mono,
    registry: Registry,
    endpoints: [Endpoint; 2],
    row: Assignment,
    version: RowVersion,
}

impl Scene {
    /// The first endpoint has all keys.
    fn new() -> Self {
        let endpoints = [Endpoint::new(0), Endpoint::new(1)];
        let mut registry = Registry::default();
        for endpoint in &endpoints {
            registry.put(NOW, endpoint.listing());
        }
        let mut row = Assignment {
            term: 1,
            next_fence: 1,
            ranges: Vec::new(),
        };
        let fence = row.allocate_fences(FENCES_PER_MOVE);
        row.ranges.push(Range {
            first: ALL.first,
            last: ALL.last,
            holder: Holder {
                endpoint: endpoints[0].id(),
                address: endpoints[0].address,
                fence,
            },
            next: None,
        });
        Self {
            now: NOW,
            registry,
            endpoints,
            row,
            version: RowVersion::first(1),
        }
    }

    /// A leader with a term that begins now.
    fn leader(&self, term: u64) -> Leader {
        let mut leader = Leader::new(LeaderSettings::default(), ServiceName::new("batch"));
        leader.update_row(self.row.clone(), self.version);
        let former_leaders = FormerLeaderLimits {
            connect_until: self.now,
            hold_until: self.now.plus(20_000),
        };
        leader.begin_term(term, self.now, former_leaders);
        leader
    }

    /// Orders of the leader's next step. Its writes succeed.
    fn orders(&mut self, leader: &mut Leader) -> Vec<Order> {
        self.now = self.now.plus(150);
        leader.confirm(self.now);
        let mut orders = Vec::new();
        for action in leader.step(self.now, &self.registry) {
            match action {
                Action::Order(order) => orders.push(order),
                Action::Write { row, .. } => {
                    self.row = row.clone();
                    self.version = self.version.next();
                    let done = WriteResult::Done(row, self.version);
                    leader.handle_write_result(self.now, done);
                }
            }
        }
        orders
    }

    /// Carries out an order, without telling its leader.
    fn carry_out(&mut self, order: &Order) -> OrderResult {
        let to = self.endpoints.iter_mut();
        let mut to = to.filter(|endpoint| endpoint.address == order.address);
        let endpoint = to.next().expect("the order names a known endpoint");
        endpoint.handle(self.now, self.now, order)
    }

    /// Runs a leader until `is_reached` is true of an order, which is returned and not carried out.
    fn run_until(&mut self, leader: &mut Leader, is_reached: impl Fn(&Order) -> bool) -> Order {
        for _ in 0..100 {
            let mut reached = None;
            for order in self.orders(leader) {
                if is_reached(&order) {
                    reached = Some(order);
                    continue;
                }
                let result = self.carry_out(&order);
                leader.handle_order_result(self.now, &order, &result);
            }
            if let Some(order) = reached {
                return order;
            }
        }
        panic!("the order is not sent");
    }

    /// A leader of term 1 that moves the span to the second endpoint.
    fn moving_leader(&mut self, span: Span) -> Leader {
        let mut leader = self.leader(1);
        let granted = self.run_until(&mut leader, |_| true);
        let result = self.carry_out(&granted);
        leader.handle_order_result(self.now, &granted, &result);
        let to = self.endpoints[1].id();
        leader.start_moves(&[Move { span, to }], &self.registry);
        leader
    }

    fn holders(&self) -> usize {
        let all = self.endpoints.iter();
        all.filter(|endpoint| endpoint.holds(self.now, KEY)).count()
    }
}

const fn is_seal(order: &Order) -> bool {
    matches!(order.kind, OrderKind::Seal { .. })
}

fn is_release(order: &Order) -> bool {
    order.kind == OrderKind::Release
}

/// Guards against a late seal of a replaced leader with the fence of its successor's seal.
#[gtest]
fn a_late_order_of_a_replaced_leader_makes_no_second_holder() {
    for span in [ALL, PART] {
        let mut scene = Scene::new();
        let mut replaced = scene.moving_leader(span);
        scene.run_until(&mut replaced, is_release);
        let mut successor = scene.leader(2);
        let seal = scene.run_until(&mut successor, is_seal);
        replaced.update_row(scene.row.clone(), scene.version);
        let late = replaced.step(scene.now.plus(300), &scene.registry);
        let sealed = scene.carry_out(&seal);
        successor.handle_order_result(scene.now, &seal, &sealed);
        let to = scene.endpoints[1].id();
        let is_moved = |order: &Order| order.endpoint == to && order.span == span;
        let grant = scene.run_until(&mut successor, is_moved);
        scene.carry_out(&grant);
        expect_that!(scene.holders(), eq(1));
        for action in late {
            if let Action::Order(order) = action {
                scene.carry_out(&order);
            }
        }
        expect_that!(scene.holders(), eq(1), "two holders of {span:?}");
    }
}

/// Guards against orders of a replaced leader after a row of its successor, at any step of a move.
#[gtest]
fn a_leader_stops_at_a_row_of_a_later_term() {
    let is_grant = |order: &Order| matches!(order.kind, OrderKind::Grant { .. });
    for span in [ALL, PART] {
        for step in [is_seal, is_release, is_grant] {
            let mut scene = Scene::new();
            let mut replaced = scene.moving_leader(span);
            scene.run_until(&mut replaced, step);
            let mut successor = scene.leader(2);
            let first = scene.row.clone();
            for _ in 0..20 {
                scene.orders(&mut successor);
                if scene.row != first {
                    break;
                }
                let to = scene.endpoints[0].id();
                successor.start_moves(&[Move { span, to }], &scene.registry);
            }
            replaced.update_row(scene.row.clone(), scene.version);
            expect_that!(replaced.is_leading(), eq(false));
            let later = scene.now.plus(2_000);
            expect_that!(replaced.step(later, &scene.registry), is_empty());
        }
    }
}

/// Guards against orders on moves of an unknown leader before a write shows that this one leads.
#[gtest]
fn moves_of_an_unknown_leader_are_taken_over_by_a_write() {
    let mut scene = Scene::new();
    let mut leader = scene.moving_leader(ALL);
    scene.run_until(&mut leader, is_seal);
    let mut other = scene.row.clone();
    other.term = 0;
    let fence = other.allocate_fences(FENCES_PER_MOVE);
    if let Some(next) = &mut other.ranges[0].next {
        next.fence = fence;
    }
    leader.update_row(other.clone(), scene.version.next());
    let actions = leader.step(scene.now.plus(300), &scene.registry);
    let orders: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Order(order) => Some(order),
            Action::Write { .. } => None,
        })
        .collect();
    expect_that!(orders, is_empty());
    let written = actions.iter().find_map(|action| match action {
        Action::Write { row, expected, .. } => Some((row, *expected)),
        Action::Order(_) => None,
    });
    let (row, expected) = written.expect("the moves are taken over by a write");
    expect_that!(expected, eq(scene.version.next()));
    let next = row.ranges[0].next.as_ref().map(|next| next.fence);
    expect_that!(next, some(ge(other.next_fence)));
}

/// Guards against a leader that takes over its own moves because the answer to its write was lost.
#[gtest]
fn a_leader_knows_its_own_row_without_the_answer_to_its_write() {
    let mut scene = Scene::new();
    let mut leader = scene.moving_leader(ALL);
    scene.now = scene.now.plus(150);
    let actions = leader.step(scene.now, &scene.registry);
    let written = actions.into_iter().find_map(|action| match action {
        Action::Write { row, .. } => Some(row),
        Action::Order(_) => None,
    });
    let row = written.expect("the move is written");
    leader.handle_write_result(scene.now, WriteResult::Unknown);
    let fence = row.ranges[0].next.as_ref().map_or(0, |next| next.fence);
    leader.update_row(row, scene.version.next());
    let seal = scene.run_until(&mut leader, is_seal);
    expect_that!(seal.fence, lt(fence));
    expect_that!(seal.fence, ge(fence - FENCES_PER_MOVE));
}
