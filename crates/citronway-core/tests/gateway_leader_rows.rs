//! Long rows: ranges of one holder are joined, and full rows still accept moves.

use citronway_core::gateway::assignment::{Assignment, FENCES_PER_MOVE, Holder, MAX_RANGES, Range};
use citronway_core::gateway::leader::{
    Action, FormerLeaderLimits, Leader, LeaderSettings, Move, OrderKind, OrderResult, Span,
    WriteResult,
};
use citronway_core::gateway::registry::{Listing, Registry};
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
        slots: 6,
        draining: false,
        cold_ms: 0,
    }
}

/// A row of `count` ranges that are assigned to the holders in rotation.
fn row(count: usize, holders: &[Listing]) -> Assignment {
    let mut row = Assignment {
        term: 1,
        next_fence: 1,
        ranges: Vec::new(),
    };
    let width = 65_536 / count;
    for i in 0..count {
        let listing = &holders[i % holders.len()];
        let last = if i + 1 == count {
            65_535
        } else {
            (i + 1) * width - 1
        };
        let fence = row.allocate_fences(FENCES_PER_MOVE);
        row.ranges.push(Range {
            first: u16::try_from(i * width).unwrap_or(0),
            last: u16::try_from(last).unwrap_or(u16::MAX),
            holder: Holder {
                endpoint: listing.start.clone(),
                address: listing.address,
                fence,
            },
            next: None,
        });
    }
    row
}

fn leader(row: &Assignment) -> Leader {
    let mut leader = Leader::new(LeaderSettings::default(), ServiceName::new("batch"));
    leader.update_row(row.clone(), RowVersion::first(5));
    leader.begin_term(1, NOW, FormerLeaderLimits::default());
    leader
}

fn written(actions: &[Action]) -> Option<&Assignment> {
    actions.iter().find_map(|action| match action {
        Action::Write { row, .. } => Some(row),
        Action::Order(_) => None,
    })
}

/// A range was split and both parts came to one endpoint. They get one fence above both of
/// theirs, but only once both are granted; earlier, the handover proof of a move would be lost.
#[gtest]
fn neighbours_of_one_holder_are_joined_once_granted() {
    let mut registry = Registry::default();
    registry.put(NOW, listing("a", 1));
    let row = row(2, &[listing("a", 1)]);
    let mut leader = leader(&row);
    let actions = leader.step(NOW, &registry);
    expect_that!(written(&actions), none());
    for action in actions {
        if let Action::Order(order) = action {
            leader.handle_order_result(NOW, &order, &OrderResult::Done { handover: None });
        }
    }
    let actions = leader.step(NOW.plus(25), &registry);
    let joined = written(&actions).cloned().unwrap_or_default();
    expect_that!(joined.ranges.len(), eq(1));
    let highest = row.ranges.iter().map(|r| r.holder.fence).max().unwrap_or(0);
    expect_that!(joined.ranges[0].holder.fence, gt(highest));
    // Nothing is granted with the new fence before the row is written.
    let fences = |actions: &[Action]| {
        let orders = actions.iter().filter_map(|action| match action {
            Action::Order(order) => Some(order.fence),
            Action::Write { .. } => None,
        });
        orders.max().unwrap_or(0)
    };
    expect_that!(fences(&actions), le(highest));
    let fence = joined.ranges[0].holder.fence;
    leader.handle_write_result(
        NOW.plus(30),
        WriteResult::Done(joined, RowVersion::first(6)),
    );
    let actions = leader.step(NOW.plus(50), &registry);
    expect_that!(fences(&actions), eq(fence));
}

/// Hot ranges split a row until it is full, and then an endpoint ends. Its keys stay unserved if
/// a full row accepts no move.
#[gtest]
fn a_full_row_still_gives_whole_ranges_to_others() {
    let holders = [listing("a", 1), listing("b", 2)];
    let mut registry = Registry::default();
    for holder in &holders {
        registry.put(NOW, holder.clone());
    }
    let row = row(MAX_RANGES, &holders);
    let mut leader = leader(&row);
    leader.step(NOW, &registry);
    let Range { first, last, .. } = row.ranges[10];
    let to = EndpointStart::new("b", None);
    let whole = Move {
        span: Span { first, last },
        to,
    };
    leader.start_moves(std::slice::from_ref(&whole), &registry);
    let actions = leader.step(NOW.plus(25), &registry);
    let moving = written(&actions).is_some_and(|row| row.ranges[10].is_moving());
    expect_that!(moving, eq(true));
}

/// An overloaded leader begins its orders too late. If it considers the endpoints lost, it moves
/// their keys, which adds to its load.
#[gtest]
fn orders_that_were_begun_too_late_are_no_failure_of_the_endpoint() {
    let mut registry = Registry::default();
    registry.put(NOW, listing("a", 1));
    let row = row(1, &[listing("a", 1)]);
    let mut leader = leader(&row);
    let a = EndpointStart::new("a", None);
    let mut now = NOW;
    for (result, lost) in [(OrderResult::TooLate, false), (OrderResult::NotSent, true)] {
        for _ in 0..200 {
            now = now.plus(25);
            for action in leader.step(now, &registry) {
                if let Action::Order(order) = action {
                    leader.handle_order_result(now, &order, &result);
                }
            }
        }
        expect_that!(leader.is_lost(now, &a), eq(lost), "{result:?}");
    }
}

/// An endpoint crashes and restarts under its name and address. The grants of its earlier start
/// are not renewed, and the new start gets the keys only with a higher fence.
#[gtest]
fn a_start_under_the_same_name_gets_a_higher_fence() -> Result<()> {
    let starts = [1_000, 2_000].map(|born| Listing {
        start: EndpointStart::new("a", Some(born)),
        ..listing("a", 1)
    });
    let row = row(1, &starts[..1]);
    let first_fence = row.ranges[0].holder.fence;
    let mut leader = leader(&row);
    let mut registry = Registry::default();
    registry.put(NOW, starts[1].clone());
    expect_that!(leader.step(NOW, &registry).len(), eq(0));

    let whole = Span {
        first: 0,
        last: u16::MAX,
    };
    let to = starts[1].start.clone();
    leader.start_moves(&[Move { span: whole, to }], &registry);
    let mut now = NOW;
    let mut version = RowVersion::first(5);
    let mut granted = None;
    for _ in 0..200 {
        now = now.plus(25);
        for action in leader.step(now, &registry) {
            match action {
                Action::Write { row, .. } => {
                    version = version.next();
                    leader.handle_write_result(now, WriteResult::Done(row, version));
                }
                Action::Order(order) => {
                    if matches!(order.kind, OrderKind::Grant { .. }) {
                        granted = Some(order.clone());
                    }
                    let done = OrderResult::Done { handover: None };
                    leader.handle_order_result(now, &order, &done);
                }
            }
        }
    }
    let granted = granted.or_fail()?;
    expect_that!(granted.endpoint, eq(&starts[1].start));
    expect_that!(granted.fence, gt(first_fence));
    Ok(())
}
