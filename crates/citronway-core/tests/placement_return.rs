//! Endpoints and zones that are lost and come back, through the planner.

mod placement_support;

use citronway_core::ids::EndpointName;
use citronway_core::placement::measures::churn;
use citronway_core::placement::{PlannerEvent, PlannerSettings, Wanted};
use citronway_core::shard::Assignment;
use googletest::prelude::*;
use placement_support::*;

fn thirty() -> Wanted {
    wanted(1, vec![group(GROUP, None, 256, members(30))])
}

fn returned(planner: &mut Instance, endpoint: &str, ms: u64) {
    let report = idle(endpoint);
    planner.event(PlannerEvent::Load { report }, now(ms));
}

fn zone_a() -> Vec<String> {
    (0..30)
        .step_by(3)
        .map(|index| format!("e{index:02}"))
        .collect()
}

fn keys_of_zone(assignment: &Assignment) -> usize {
    zone_a()
        .iter()
        .map(|name| owned_by(assignment, name).len())
        .sum()
}

/// An endpoint is lost and its keys have new owners. It answers again and its
/// dispatcher's report of the loss arrives a second time, after it has got keys
/// back. If the report gave its keys away, they would have two owners.
#[gtest]
fn a_report_of_a_past_loss_takes_no_key_from_its_owner() {
    let (mut planner, mut store) = started(&thirty(), PlannerSettings::default());
    let report = lost(&store, "e03");
    planner.lost(&store, "e03", now(2_000));
    pass(&mut planner, &mut store, 2_000, 500);
    expect_that!(owned_by(&store.assignment().unwrap(), "e03"), is_empty());
    returned(&mut planner, "e03", 5_000);
    pass(&mut planner, &mut store, 5_000, 60_000);
    let back = store.assignment().expect("assignment");
    let its = owned_by(&back, "e03");
    expect_that!(its, not(is_empty()));
    planner.event(PlannerEvent::Lost { report }, now(66_000));
    planner.run(&mut store, now(66_000));
    let after = store.assignment().expect("assignment");
    for shard in its {
        expect_that!(after.shards[&shard].epoch, eq(back.shards[&shard].epoch));
        expect_that!(owner(&after, shard), none());
    }
}

/// A report of a loss under an earlier dispatcher arrives after a takeover.
#[gtest]
fn a_loss_under_an_earlier_dispatcher_is_ignored() {
    let (mut planner, mut store) = started(&thirty(), PlannerSettings::default());
    let before = store.assignment();
    let mut report = lost(&store, "e03");
    report.dispatch_epoch.0 = 0;
    planner.event(PlannerEvent::Lost { report }, now(2_000));
    planner.run(&mut store, now(2_000));
    expect_that!(store.assignment(), eq(&before));
}

/// An instance that dispatched before, and holds nothing, reports a release
/// while the present dispatcher still serves the shard.
#[gtest]
fn a_release_by_a_former_dispatcher_is_not_believed() {
    let (mut planner, mut store) = started(&thirty(), PlannerSettings::default());
    planner.lost(&store, "e03", now(2_000));
    planner.run(&mut store, now(2_000));
    let waiting = store.assignment().expect("assignment");
    let from = EndpointName::new("e03");
    let former = citronway_core::ids::Session::new("i9", 7);
    for shard in moving(&waiting) {
        let report = release_of(&waiting, shard, &from, &former);
        planner.event(PlannerEvent::Released { report }, now(2_100));
        planner.run(&mut store, now(2_100));
    }
    expect_that!(store.assignment(), some(eq(&waiting)));
}

/// A whole zone is lost and comes back at once. Giving it its third of the keys
/// in one go would stop a third of all work a second time.
#[gtest]
fn a_zone_that_returns_gets_its_keys_back_gradually() {
    let (mut planner, mut store) = started(&thirty(), PlannerSettings::default());
    for name in zone_a() {
        planner.lost(&store, &name, now(2_000));
    }
    pass(&mut planner, &mut store, 2_000, 1_000);
    expect_that!(keys_of_zone(&store.assignment().unwrap()), eq(0));
    for name in zone_a() {
        returned(&mut planner, &name, 10_000);
    }
    pass(&mut planner, &mut store, 10_000, 4_000);
    expect_that!(keys_of_zone(&store.assignment().unwrap()), eq(0));
    let mut before = store.assignment().expect("assignment");
    let mut most = 0.0_f64;
    for second in 14..60 {
        pass(&mut planner, &mut store, second * 1_000, 1_000);
        let after = store.assignment().expect("assignment");
        most = most.max(churn(&before, &after).keys);
        before = after;
    }
    expect_that!(most, lt(0.1));
    expect_that!(keys_of_zone(&before), all![ge(60), le(90)]);
}

/// A dispatcher reports an endpoint lost each second, and its load as well. Were
/// the load taken for a sign of life, the endpoint would be lost anew each
/// second, and get no keys for minutes after its true return.
#[gtest]
fn the_load_of_an_endpoint_still_reported_lost_is_no_sign_of_life() {
    let (mut planner, mut store) = started(&thirty(), PlannerSettings::default());
    for second in 2..20 {
        planner.lost(&store, "e03", now(second * 1_000));
        pass(&mut planner, &mut store, second * 1_000, 500);
        returned(&mut planner, "e03", second * 1_000 + 500);
        pass(&mut planner, &mut store, second * 1_000 + 500, 500);
        expect_that!(owned_by(&store.assignment().unwrap(), "e03"), is_empty());
    }
    for second in 20..45 {
        returned(&mut planner, "e03", second * 1_000);
        pass(&mut planner, &mut store, second * 1_000, 1_000);
    }
    expect_that!(
        owned_by(&store.assignment().unwrap(), "e03"),
        not(is_empty())
    );
}

/// An endpoint is lost and its dispatcher gives its shards up, but no planner
/// hears of the loss before the endpoint is back. The dispatcher never grants
/// again under the old epochs, so without new ones nobody would serve the keys.
#[gtest]
fn shards_given_up_get_new_epochs() {
    let (mut planner, mut store) = started(&thirty(), PlannerSettings::default());
    let before = store.assignment().expect("assignment");
    let from = EndpointName::new("e03");
    let its = owned_by(&before, "e03");
    for shard in &its {
        let report = release_of(&before, *shard, &from, &dispatcher(&store, &from));
        planner.event(PlannerEvent::Released { report }, now(2_000));
    }
    planner.run(&mut store, now(2_000));
    let given_up = store.assignment().expect("assignment");
    expect_that!(moving(&given_up), eq(&its));
    planner.run(&mut store, now(3_000));
    expect_that!(moving(&store.assignment().unwrap()), eq(&its));
    planner.release_all(&store, now(3_000));
    planner.run(&mut store, now(3_000));
    let after = store.assignment().expect("assignment");
    expect_that!(owned_by(&after, "e03"), eq(&its));
    for shard in its {
        expect_that!(after.shards[&shard].epoch, gt(before.shards[&shard].epoch));
    }
}

/// The same with a single endpoint, which is still reported lost: there is
/// nobody else, so it must be able to go on as soon as it is back.
#[gtest]
fn the_only_endpoint_gets_its_shards_back_under_new_epochs() {
    let only = wanted(1, vec![group(GROUP, None, 4, members(1))]);
    let (mut planner, mut store) = started(&only, PlannerSettings::default());
    let before = store.assignment().expect("assignment");
    let from = EndpointName::new("e00");
    planner.lost(&store, "e00", now(2_000));
    for shard in before.shards.keys() {
        let report = release_of(&before, *shard, &from, &dispatcher(&store, &from));
        planner.event(PlannerEvent::Released { report }, now(2_000));
    }
    pass(&mut planner, &mut store, 2_000, 300);
    let after = store.assignment().expect("assignment");
    for shard in before.shards.keys() {
        expect_that!(owner(&after, *shard), some(eq(&from)));
        expect_that!(after.shards[shard].epoch, gt(before.shards[shard].epoch));
    }
}

/// The planner that moved a lost endpoint's keys away is replaced. The new one
/// was not told of the loss. If it took the idle endpoint for a good target,
/// keys would be moved to where nobody answers.
#[gtest]
fn a_new_planner_gives_nothing_to_an_endpoint_lost_before_its_time() {
    let (mut planner, mut store) = started(&thirty(), PlannerSettings::default());
    planner.lost(&store, "e03", now(2_000));
    pass(&mut planner, &mut store, 2_000, 500);
    let before = store.assignment();
    let mut second = Instance::new("i0", 2, PlannerSettings::default());
    second.want(&thirty(), now(3_000));
    second.read_dispatch(&store, now(3_000));
    pass(&mut second, &mut store, 3_000, 1_500);
    expect_that!(second.planner.is_elected(), is_true());
    second.lost(&store, "e03", now(4_500));
    pass(&mut second, &mut store, 4_500, 30_000);
    expect_that!(store.assignment(), eq(&before));
}

/// The next owner of a moving shard is lost while the old one releases it. The
/// shard must not be handed to an endpoint that does not answer.
#[gtest]
fn a_move_to_an_endpoint_lost_meanwhile_goes_elsewhere() {
    let (mut planner, mut store) = started(&thirty(), PlannerSettings::default());
    planner.lost(&store, "e03", now(2_000));
    planner.run(&mut store, now(2_000));
    let waiting = store.assignment().expect("assignment");
    let shard = moving(&waiting)[0];
    let to = moving_to(&waiting, shard).expect("it moves");
    // Both reports come while another write is under way.
    planner.lost(&store, "e20", now(2_100));
    planner.lost(&store, to.as_str(), now(2_100));
    planner.release_all(&store, now(2_100));
    planner.run(&mut store, now(2_100));
    let after = store.assignment().expect("assignment");
    expect_that!(owner(&after, shard), not(eq(&Some(to))));
    pass(&mut planner, &mut store, 2_200, 500);
    let settled = store.assignment().expect("assignment");
    expect_that!(
        settled.shards[&shard].epoch,
        eq(waiting.shards[&shard].epoch.next())
    );
}

/// An endpoint is lost and returns every ten seconds. Each time it got keys, it
/// would lose them again.
#[gtest]
fn a_flapping_endpoint_draws_no_keys() {
    let (mut planner, mut store) = started(&thirty(), PlannerSettings::default());
    for round in 0..6 {
        let start = 2_000 + round * 10_000;
        planner.lost(&store, "e03", now(start));
        pass(&mut planner, &mut store, start, 5_000);
        returned(&mut planner, "e03", start + 5_000);
        pass(&mut planner, &mut store, start + 5_000, 5_000);
        let got = owned_by(&store.assignment().unwrap(), "e03").len();
        expect_that!(got, le(1), "in round {round}");
    }
}

/// An endpoint does not answer but its grants have not ended. Vatuwaqa would
/// rather move its keys than wait; Migrakon would rather wait.
#[gtest]
fn weights_decide_whether_to_wait_for_an_endpoint_to_come_back() {
    for weights in [MIGRAKON, VATUWAQA] {
        let mut wanted = thirty();
        wanted.weights = weights;
        let (mut planner, mut store) = started(&wanted, PlannerSettings::default());
        let mut report = lost(&store, "e03");
        report.quiet = false;
        planner.event(PlannerEvent::Lost { report }, now(2_000));
        planner.run(&mut store, now(2_000));
        let moved = !moving(&store.assignment().unwrap()).is_empty();
        expect_that!(moved, eq(weights == VATUWAQA));
    }
}
