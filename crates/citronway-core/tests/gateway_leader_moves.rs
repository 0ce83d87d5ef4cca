//! Moves of keys: beside former leaders, and of ranges that already move.

use citronway_core::gateway::assignment::{Assignment, FENCES_PER_MOVE, Holder, Range};
use citronway_core::gateway::leader::{
    Action, FormerLeaderLimits, Leader, LeaderSettings, Move, Order, OrderKind, OrderResult, Span,
    WriteResult,
};
use citronway_core::gateway::registry::{Listing, Registry};
use citronway_core::gateway::version::RowVersion;
use citronway_core::ids::{EndpointStart, ServiceName, ZoneName};
use citronway_core::time::Mono;
use googletest::prelude::*;

const NOW: Mono = Mono(100_000);
const STEP_MS: u64 = 25;
const WHOLE: Span = Span {
    first: 0,
    last: u16::MAX,
};

fn listing(id: &str, port: u16) -> Listing {
    Listing {
        start: EndpointStart::new(id, None),
        service: ServiceName::new("batch"),
        address: ([10, 0, 0, 1], port).into(),
        zone: ZoneName::new("a"),
        slots: 6,
        draining: false,
        cold_ms: 0,
    }
}

fn done(_: &Order) -> OrderResult {
    OrderResult::Done { handover: None }
}

/// A leader whose endpoint `a` holds all keys; `b` and `c` hold none.
struct Scene {
    leader: Leader,
    registry: Registry,
    version: RowVersion,
    now: Mono,
}

impl Scene {
    fn new(former_leaders: FormerLeaderLimits) -> Self {
        let listings = [listing("a", 1), listing("b", 2), listing("c", 3)];
        let mut registry = Registry::default();
        for listing in &listings {
            registry.put(NOW, listing.clone());
        }
        let mut row = Assignment {
            term: 1,
            next_fence: 1,
            ranges: Vec::new(),
        };
        let fence = row.allocate_fences(FENCES_PER_MOVE);
        row.ranges.push(Range {
            first: WHOLE.first,
            last: WHOLE.last,
            holder: Holder {
                endpoint: listings[0].start.clone(),
                address: listings[0].address,
                fence,
            },
            next: None,
        });
        let mut leader = Leader::new(LeaderSettings::default(), ServiceName::new("batch"));
        leader.update_row(row, RowVersion::first(5));
        leader.begin_term(1, NOW, former_leaders);
        Self {
            leader,
            registry,
            version: RowVersion::first(5),
            now: NOW,
        }
    }

    fn start_move(&mut self, span: Span, to: &str) {
        let to = EndpointStart::new(to, None);
        self.leader
            .start_moves(&[Move { span, to }], &self.registry);
    }

    /// Runs one step in which writes succeed and orders get `answer`; returns the orders.
    fn step(&mut self, answer: impl Fn(&Order) -> OrderResult) -> Vec<Order> {
        self.now = self.now.plus(STEP_MS);
        let mut orders = Vec::new();
        for action in self.leader.step(self.now, &self.registry) {
            match action {
                Action::Write { row, .. } => {
                    self.version = self.version.next();
                    let done = WriteResult::Done(row, self.version);
                    self.leader.handle_write_result(self.now, done);
                }
                Action::Order(order) => {
                    self.leader
                        .handle_order_result(self.now, &order, &answer(&order));
                    orders.push(order);
                }
            }
        }
        orders
    }

    /// Runs up to 200 steps of 25 ms; returns when the first seal was sent, if one was.
    fn first_seal(&mut self) -> Option<Mono> {
        let seals = |orders: &[Order]| {
            let mut all = orders.iter();
            all.any(|order| matches!(order.kind, OrderKind::Seal { .. }))
        };
        (0..200).find_map(|_| seals(&self.step(done)).then_some(self.now))
    }
}

/// Guards against grants of a replaced leader at an endpoint start that has not received a fence
/// of the leader's successor.
#[gtest]
fn grants_go_on_connections_from_before_the_last_confirmation() {
    let cfg = LeaderSettings::default();
    let mut scene = Scene::new(FormerLeaderLimits::default());
    let mut grants = 0;
    while scene.now < NOW.plus(cfg.contact_limit_ms) {
        for order in scene.step(done) {
            grants += 1;
            expect_that!(order.connect_by, le(NOW.plus(cfg.connect_limit_ms)));
        }
    }
    expect_that!(grants, gt(5));
    scene.leader.confirm(scene.now);
    let confirmed = scene.now;
    let orders = scene.step(done);
    let latest = orders.iter().map(|order| order.connect_by).max();
    expect_that!(latest, none().or(some(gt(confirmed))));
}

/// Guards against a seal that its holder loses in a restart before a former leader renews.
#[gtest]
fn nothing_is_sealed_while_a_former_leader_may_connect() -> Result<()> {
    let cfg = LeaderSettings::default();
    let mut scene = Scene::new(cfg.former_leader_limits(NOW));
    scene.step(done);
    scene.start_move(WHOLE, "b");
    let sealed = scene.first_seal().or_fail()?;
    expect_that!(sealed, ge(NOW.plus(cfg.connect_limit_ms)));
    Ok(())
}

/// Guards against moves that wait for a former leader that is known to have stopped.
#[gtest]
fn a_seal_waits_only_for_the_last_orders_of_a_leader_that_has_stopped() -> Result<()> {
    let cfg = LeaderSettings::default();
    let mut scene = Scene::new(cfg.former_leader_limits(NOW));
    scene.leader.former_leader_stopped(NOW);
    scene.step(done);
    scene.start_move(WHOLE, "b");
    let sealed = scene.first_seal().or_fail()?;
    expect_that!(sealed, ge(NOW.plus(cfg.order_timeout_ms)));
    expect_that!(sealed, lt(NOW.plus(cfg.connect_limit_ms)));
    Ok(())
}

/// Guards against an endpoint that counts as lost because its leader may not open a connection.
#[gtest]
fn orders_without_a_connection_are_no_failure_of_the_endpoint() {
    let mut scene = Scene::new(FormerLeaderLimits::default());
    for _ in 0..200 {
        scene.step(|_| OrderResult::NotConnected);
    }
    let a = EndpointStart::new("a", None);
    expect_that!(scene.leader.is_lost(scene.now, &a), eq(false));
}

/// Guards against keys that get a new owner although their holder has released only others.
#[gtest]
fn each_remainder_of_a_moving_range_is_released_by_itself() {
    let mut scene = Scene::new(FormerLeaderLimits::default());
    let held = |order: &Order| match order.kind {
        OrderKind::Release => OrderResult::Lost,
        OrderKind::Grant { .. } | OrderKind::Seal { .. } => done(order),
    };
    scene.step(held);
    scene.start_move(WHOLE, "b");
    for _ in 0..20 {
        scene.step(held);
    }
    let middle = Span {
        first: 20_000,
        last: 40_000,
    };
    scene.start_move(middle, "c");
    for _ in 0..80 {
        scene.step(|order| match order.span.first {
            0 => done(order),
            _ => held(order),
        });
    }
    let owner = |scene: &Scene, key| {
        let range = scene.leader.row().range_at(key);
        range.map(|range| range.holder.endpoint.name().as_str().to_owned())
    };
    expect_that!(owner(&scene, WHOLE.first), some(eq("b")));
    expect_that!(owner(&scene, middle.first), some(eq("a")));
    expect_that!(owner(&scene, WHOLE.last), some(eq("a")));
}
