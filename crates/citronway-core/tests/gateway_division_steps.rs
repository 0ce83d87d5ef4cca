//! Times of the steps of a division, and where hot ranges are divided at once.

use citronway_core::gateway::assignment::{Assignment, FENCES_PER_MOVE, Holder, LAST_KEY, Range};
use citronway_core::gateway::hot_range::{Division, is_used};
use citronway_core::gateway::leader::{
    Action, DivisionProgress, DivisionStep, FormerLeaderLimits, Leader, LeaderSettings, Move,
    OrderKind, OrderResult, Span, WriteResult,
};
use citronway_core::gateway::registry::{Listing, Registry};
use citronway_core::gateway::settings::Switch;
use citronway_core::gateway::version::RowVersion;
use citronway_core::ids::{EndpointStart, ServiceName, ZoneName};
use citronway_core::time::Mono;
use googletest::prelude::*;

const NOW: Mono = Mono(100_000);

fn listing(id: &str, port: u16) -> Listing {
    Listing {
        start: EndpointStart::new(id, None),
        service: ServiceName::new("batch"),
        address: ([10, 0, 0, 1], port).into(),
        zone: ZoneName::new("a"),
        slots: 2,
        draining: false,
        cold_ms: 0,
    }
}

/// A leader whose endpoint `a` holds all keys and gives two pieces to `b` and `c`.
struct Scene {
    leader: Leader,
    registry: Registry,
    version: RowVersion,
    now: Mono,
}

impl Scene {
    fn new() -> Self {
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
            first: 0,
            last: LAST_KEY,
            holder: Holder {
                endpoint: listings[0].start.clone(),
                address: listings[0].address,
                fence,
            },
            next: None,
        });
        let mut leader = Leader::new(LeaderSettings::default(), ServiceName::new("batch"));
        leader.update_row(row, RowVersion::first(5));
        leader.begin_term(1, NOW, FormerLeaderLimits::default());
        let mut scene = Self {
            leader,
            registry,
            version: RowVersion::first(5),
            now: NOW,
        };
        scene.run(4, true);
        scene.divide();
        scene
    }

    fn divide(&mut self) {
        let piece = |first: u16, to: &str| Move {
            span: Span {
                first,
                last: first + 9,
            },
            to: EndpointStart::new(to, None),
        };
        let moves = vec![piece(20_000, "b"), piece(20_010, "c")];
        self.leader.start_moves(&moves, &self.registry);
        let division = Division {
            owner: EndpointStart::new("a", None),
            seen_at: self.now,
            seen_ms: 100,
            per_s: 200.0,
            hot_key: None,
            moves,
        };
        self.leader.observe_division(self.now, division);
    }

    /// Runs steps of 25 ms; releases are answered only if `releases`.
    fn run(&mut self, steps: usize, releases: bool) {
        for _ in 0..steps {
            self.now = self.now.plus(25);
            for action in self.leader.step(self.now, &self.registry) {
                match action {
                    Action::Write { row, .. } => {
                        self.version = self.version.next();
                        let done = WriteResult::Done(row, self.version);
                        self.leader.handle_write_result(self.now, done);
                    }
                    Action::Order(order) if order.kind == OrderKind::Release && !releases => {}
                    Action::Order(order) => {
                        let done = OrderResult::Done { handover: None };
                        self.leader.handle_order_result(self.now, &order, &done);
                    }
                }
            }
        }
    }

    fn ended(&mut self, known: bool) -> Option<DivisionProgress> {
        self.leader.take_ended_divisions(self.now, |_| known).pop()
    }
}

/// Guards against a division that counts as ended before all instances know the new owners.
#[gtest]
fn a_division_ends_once_its_new_owners_are_known() -> Result<()> {
    let mut scene = Scene::new();
    scene.run(40, true);
    expect_that!(scene.ended(false).is_none(), eq(true));
    let progress = scene.ended(true).or_fail()?;
    expect_that!(progress.is_whole(), eq(true));
    let times: Option<Vec<_>> = DivisionStep::ALL
        .map(|step| progress.ms_to(step))
        .into_iter()
        .collect();
    let times = times.or_fail()?;
    expect_that!(times.is_sorted(), eq(true), "{times:?}");
    expect_that!(times[0], eq(100));
    expect_that!(times[4], lt(600));
    Ok(())
}

/// Guards against a division that is never reported because an endpoint does not release.
#[gtest]
fn a_division_that_does_not_end_is_reported_as_partial() -> Result<()> {
    let mut scene = Scene::new();
    scene.run(380, false);
    expect_that!(scene.ended(true).is_none(), eq(true));
    scene.run(40, false);
    let progress = scene.ended(true).or_fail()?;
    expect_that!(progress.is_whole(), eq(false));
    expect_that!(progress.ms_to(DivisionStep::Sealed), some(anything()));
    expect_that!(progress.ms_to(DivisionStep::Released), none());
    Ok(())
}

/// Guards against another way to divide in deployments whose configuration does not call for it.
#[gtest]
fn without_routes_only_the_switch_decides() {
    let service = ServiceName::new("batch");
    let used = |switch| is_used(switch, None, &service, 65);
    expect_that!(used(Switch::On), eq(true));
    expect_that!(used(Switch::Off), eq(false));
    expect_that!(used(Switch::Auto), eq(false));
}
