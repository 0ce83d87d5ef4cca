//! Division of endpoint capacity and retry budget among instances without communication.

use citronway_core::gateway::budget::{FleetSize, Listed, RetryLimit, SharedRetryBudget, Sharing};
use citronway_core::gateway::share::{Demand, fair_share, in_flight_limit, share_of_free};
use citronway_core::time::Mono;
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, prop_assert, prop_assert_eq, proptest};

fn demands(wanted: &[u32]) -> Vec<Demand> {
    let one = |(rank, wanted): (usize, &u32)| Demand {
        rank: rank as u64,
        wanted: *wanted,
    };
    wanted.iter().enumerate().map(one).collect()
}

/// Share of each instance in `limit` requests in flight.
fn shares(limit: u32, wanted: &[u32]) -> Vec<u32> {
    let all = demands(wanted);
    let share = |i: usize| {
        let others: Vec<_> = all.iter().filter(|d| d.rank != i as u64).copied().collect();
        fair_share(limit, all[i], &others)
    };
    (0..all.len()).map(share).collect()
}

#[gtest]
fn while_there_is_room_no_instance_is_limited() {
    expect_that!(shares(9, &[3, 2, 0]), elements_are![eq(&7), eq(&6), eq(&4)]);
}

#[gtest]
fn a_few_requests_wait_at_the_endpoint() {
    expect_that!(in_flight_limit(6), eq(9));
    expect_that!(in_flight_limit(2), eq(3));
}

/// Ninety instances have one request each for an endpoint with room for nine and know only the
/// total. With whole shares none of them would send, so fractions are decided at random. Guards
/// against requests to a full endpoint: with a share of the whole limit instead of the free
/// capacity, each draw adds requests, and endpoints that drop requests when they are full lose one
/// in five.
#[gtest]
fn fractional_shares_are_decided_at_random() {
    let draws = 1_000;
    for (in_flight, free) in [(0, 9.0), (5, 4.0), (9, 0.0), (30, 0.0)] {
        let mut given = 0;
        for draw in 0..draws {
            let chance = f64::from(draw) / f64::from(draws);
            given += 90 * share_of_free(9, in_flight, 1, 90, chance);
        }
        expect_that!(f64::from(given) / f64::from(draws), near(free, 0.2));
    }
    expect_that!(share_of_free(9, 2, 1, 3, 0.99), eq(7));
    expect_that!(share_of_free(9, 0, 30, 30, 0.99), eq(9));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// Instances with the same view of the demands fill a full endpoint exactly. Guards against
    /// an endpoint that resets what it cannot queue, which loses requests that may not be
    /// repeated.
    #[test]
    fn shares_of_a_full_endpoint_add_up(
        wanted in proptest::collection::vec(0_u32..40, 2..14),
        limit in 1_u32..12,
    ) {
        let total: u32 = wanted.iter().sum();
        let shares = shares(limit, &wanted);
        if total > limit {
            prop_assert_eq!(shares.iter().sum::<u32>(), limit);
        }
        for (share, wanted) in shares.iter().zip(&wanted) {
            prop_assert!(total <= limit || share <= wanted);
        }
    }
}

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 60.0,
    window_ms: 10_000,
};

/// Rows of this many instances, as an instance reads them that has run before.
#[expect(clippy::unnecessary_wraps, reason = "the form in which it is known")]
const fn listed(instances: usize) -> Option<Listed> {
    let is_new = false;
    Some(Listed { instances, is_new })
}

/// Endpoints fail most requests at once, and each of ten instances retries as often as its budget
/// allows. Together they stay within the shared limit in any ten seconds.
#[gtest]
fn retries_of_all_instances_stay_within_the_shared_limit() {
    let ten = Sharing::of(listed(10), 0, 1);
    let new = |_| SharedRetryBudget::new(Mono(0), LIMIT, ten);
    let mut all: Vec<_> = (0..10).map(new).collect();
    let mut sent = Vec::new();
    let mut asked = Vec::new();
    for ms in (0..40_000).step_by(50) {
        let now = Mono(ms);
        for budget in &mut all {
            budget.record_request(now, ten);
            asked.push(ms);
            while budget.try_take(now, ten) {
                sent.push(ms);
            }
        }
    }
    for start in (0..30_000).step_by(250) {
        let within = |at: &&u64| (start..start + 10_000).contains(*at);
        let sent = sent.iter().filter(within).count() as f64;
        let asked = asked.iter().filter(within).count() as f64;
        expect_that!(sent, le(LIMIT.ratio.mul_add(asked, LIMIT.slack)));
    }
    expect_that!(sent.len(), gt(1_000));
}

#[gtest]
fn a_budget_fills_up_again() {
    let ten = Sharing::of(listed(10), 0, 1);
    let mut budget = SharedRetryBudget::new(Mono(0), LIMIT, ten);
    let mut take_all = |ms: u64| (0..100).filter(|_| budget.try_take(Mono(ms), ten)).count();
    let at_once = take_all(20_000);
    expect_that!(at_once, ge(4));
    expect_that!(take_all(20_300), eq(0));
    expect_that!(at_once + take_all(29_000), le(6));
    expect_that!(take_all(40_500), ge(4));
}

/// Guards against instances that each use the slack of the whole fleet because a new leader knows
/// of only a few instances at first.
#[gtest]
fn retries_stay_within_the_limit_while_the_leader_changes() {
    const INSTANCES: usize = 87;
    let limit = RetryLimit {
        ratio: 0.2,
        slack: 214.0,
        window_ms: 10_000,
    };
    let mut fleet = FleetSize::default();
    fleet.update(Mono(0), 87);
    let sharing = |fleet: FleetSize| Sharing::of(listed(1), fleet.count() as usize, 1);
    let new = |_| SharedRetryBudget::new(Mono(0), limit, sharing(fleet));
    let mut budgets: Vec<_> = (0..INSTANCES).map(new).collect();
    let mut all = 0;
    for (at, announced) in [(19_000, 1), (19_200, 8), (19_400, 26), (19_600, 87)] {
        fleet.update(Mono(at), announced);
        for budget in &mut budgets {
            while budget.try_take(Mono(at), sharing(fleet)) {
                all += 1;
            }
        }
    }
    expect_that!(f64::from(all), le(limit.slack));
    expect_that!(f64::from(all), ge(0.4 * limit.slack));
}

/// Guards against counts of instances that are missing, zero or too small for a moment.
#[gtest]
fn the_number_of_instances_is_the_largest_that_is_known() {
    let part = |rows: Option<usize>, totals, heard| {
        Sharing::of(rows.and_then(listed), totals, heard).part()
    };
    // A process that has just started knows of nobody, and gets nothing of the slack.
    expect_that!(part(None, 0, 0), eq(0.0));
    expect_that!(part(None, 1, 1), eq(0.0));
    // A leader that heard nobody, and a part of the fleet that is cut off.
    expect_that!(part(Some(11), 1, 1), eq(1.0 / 11.0));
    expect_that!(part(Some(11), 0, 6), eq(1.0 / 11.0));
    expect_that!(part(Some(2), 87, 3), eq(1.0 / 87.0));
    expect_that!(part(Some(0), 0, 0), eq(1.0));
}

/// Guards against limits that an operator may set and that leave nothing, or have no time.
#[gtest]
fn unusual_limits_have_a_defined_meaning() {
    // A hundred requests in each of four windows, all of which are to be sent again.
    let sends = |limit: RetryLimit| {
        let alone = Sharing::of(listed(1), 0, 1);
        let mut budget = SharedRetryBudget::new(Mono(0), limit, alone);
        let mut sends = 0;
        for step in 0..400 {
            let now = Mono(step * limit.window_ms / 100);
            budget.record_request(now, alone);
            sends += u32::from(budget.try_take(now, alone));
        }
        sends
    };
    let hour = RetryLimit {
        window_ms: 3_600_000,
        ..LIMIT
    };
    let ratio_only = RetryLimit {
        slack: 0.0,
        ..LIMIT
    };
    let nothing = RetryLimit {
        ratio: 0.0,
        ..ratio_only
    };
    let no_time = RetryLimit {
        window_ms: 0,
        ..LIMIT
    };
    expect_that!(sends(LIMIT), all![gt(200), le(320)]);
    expect_that!(sends(hour), all![gt(200), le(320)]);
    expect_that!(sends(ratio_only), all![gt(40), le(80)]);
    expect_that!(sends(nothing), eq(0));
    expect_that!(sends(no_time), eq(0));
}

/// Guards against a fleet that was large once and therefore never gets a larger budget for each
/// instance.
#[gtest]
fn a_smaller_fleet_size_is_used_after_a_delay() {
    let mut fleet = FleetSize::default();
    fleet.update(Mono(0), 87);
    fleet.update(Mono(14_000), 20);
    expect_that!(fleet.count(), eq(87));
    fleet.update(Mono(15_000), 20);
    expect_that!(fleet.count(), eq(20));
}
