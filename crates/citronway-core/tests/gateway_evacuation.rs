//! Evacuated availability zones: their state, and the requests that are sent to them.

mod admission_support;

use admission_support::{Scene, job, keyed, shown};
use citronway_core::gateway::admission::{Decision, RefusalReason};
use citronway_core::gateway::evacuation::{Evacuations, ZoneState, owned_work_until};
use citronway_core::gateway::registry::{ListedEndpoint, Listing, Registry};
use citronway_core::gateway::version::RowVersion;
use citronway_core::ids::{EndpointStart, ServiceName, ZoneName};
use citronway_core::time::Mono;
use googletest::prelude::*;
use indexmap::{IndexMap, IndexSet};

const NOW: Mono = Mono(50_000);

/// Time that the platform allows for an evacuation, in milliseconds.
const ALLOWED_MS: u64 = 5_000;

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name)
}

fn evacuated_at(at: Mono) -> ZoneState {
    ZoneState::Evacuated { since: Some(at) }
}

fn names(zones: &Evacuations) -> Vec<String> {
    let evacuated = zones.evacuated();
    evacuated
        .map(|(zone, _)| zone.as_str().to_owned())
        .collect()
}

/// Guards against an old row that arrives late and evacuates a restored zone.
#[gtest]
fn the_newest_row_of_a_zone_counts() {
    let mut zones = Evacuations::default();
    let a = zone("a");
    expect_that!(
        zones.apply_row(&a, RowVersion::first(5), evacuated_at(NOW)),
        some(anything())
    );
    expect_that!(
        zones.apply_row(&a, RowVersion::first(9), ZoneState::Restored),
        some(anything())
    );
    expect_that!(
        zones.apply_row(&a, RowVersion::first(5), evacuated_at(NOW)),
        none()
    );
    expect_that!(names(&zones), is_empty());
    // Evacuated again after it was restored.
    expect_that!(
        zones.apply_row(&a, RowVersion::first(10), evacuated_at(NOW)),
        some(anything())
    );
    expect_that!(names(&zones), elements_are![eq("a")]);
}

/// Guards against a row that is written again and extends the time of an evacuation.
#[gtest]
fn a_row_that_is_written_again_does_not_restart_the_time() {
    let mut zones = Evacuations::default();
    zones.apply_row(&zone("a"), RowVersion::first(5), evacuated_at(NOW));
    let again = zones.apply_row(
        &zone("a"),
        RowVersion::first(6),
        evacuated_at(NOW.plus(4_000)),
    );
    expect_that!(again, none());
    let since: Vec<_> = zones.evacuated().map(|(_, since)| since).collect();
    expect_that!(since, elements_are![eq(&Some(NOW))]);
}

/// Guards against a zone that stays evacuated because the removal of its row was not seen.
#[gtest]
fn a_zone_that_is_no_longer_listed_is_restored() {
    let mut zones = Evacuations::default();
    zones.apply_row(&zone("a"), RowVersion::first(5), evacuated_at(NOW));
    zones.apply_row(&zone("b"), RowVersion::first(7), evacuated_at(NOW));
    let listed = IndexSet::from([zone("b")]);
    let changes = zones.apply_listing(&listed, RowVersion::first(9));
    expect_that!(changes, len(eq(1)));
    expect_that!(names(&zones), elements_are![eq("b")]);
    // A list older than the row of a zone does not restore the zone.
    zones.apply_row(&zone("c"), RowVersion::first(12), evacuated_at(NOW));
    expect_that!(
        zones.apply_listing(&listed, RowVersion::first(11)),
        is_empty()
    );
    expect_that!(names(&zones), elements_are![eq("b"), eq("c")]);
}

/// Guards against requests that are still sent to the owners of keys in a zone whose evacuation
/// may have begun long before this instance learnt of it.
#[gtest]
fn an_evacuation_of_unknown_age_leaves_no_time() {
    expect_that!(owned_work_until(None, ALLOWED_MS), eq(Mono(0)));
    let until = owned_work_until(Some(NOW), ALLOWED_MS);
    expect_that!(until.since(NOW), all!(ge(1_000), le(ALLOWED_MS - 2_000)));
}

fn evacuate(scene: &mut Scene, zones: &[&str], until: Mono) {
    let zones = zones.iter().map(|name| (zone(name), until));
    scene
        .registry()
        .set_evacuated(NOW, zones.collect::<IndexMap<_, _>>());
}

/// Guards against requests that are sent to endpoints of an evacuated zone.
#[gtest]
fn work_without_a_key_leaves_the_zone_at_once() {
    let mut scene = Scene::new();
    evacuate(&mut scene, &["here"], NOW.plus(2_000));
    let mut admission = scene.admission(NOW);
    for ticket in 0..12 {
        let decision = admission.submit(NOW, &scene.view(), job(ticket, NOW));
        expect_that!(shown(decision.as_ref()), starts_with("far"));
    }
}

/// Guards against requests for keys that are sent to the zone after the time for its evacuation.
#[gtest]
fn keys_are_sent_to_their_owner_for_a_bounded_time() {
    let mut scene = Scene::new();
    let until = NOW.plus(2_000);
    evacuate(&mut scene, &["here"], until);
    let mut admission = scene.admission(NOW);
    let decision = admission.submit(NOW, &scene.view(), keyed(1, 0, NOW));
    expect_that!(shown(decision.as_ref()), eq("a"));
    let decision = admission.submit(until, &scene.view(), keyed(2, 0, until));
    expect_that!(shown(decision.as_ref()), eq("waits"));
    let other = admission.submit(until, &scene.view(), keyed(3, 40_000, until));
    expect_that!(shown(other.as_ref()), eq("b"));
}

/// Guards against requests that wait until their deadline although no endpoint may serve them.
#[gtest]
fn without_a_zone_left_requests_are_refused_at_once() {
    let mut scene = Scene::new();
    evacuate(&mut scene, &["here", "there"], NOW);
    let mut admission = scene.admission(NOW);
    for req in [job(1, NOW), keyed(2, 0, NOW)] {
        let decision = admission.submit(NOW, &scene.view(), req);
        let Some(Decision::Refuse(refusal)) = decision else {
            panic!("not refused: {decision:?}");
        };
        expect_that!(refusal.reason, eq(RefusalReason::Evacuated));
        expect_that!(refusal.retry_after_ms, gt(0));
    }
}

fn listing(name: &str, in_zone: &str, port: u16) -> Listing {
    Listing {
        start: EndpointStart::new(name, None),
        service: ServiceName::new("console"),
        address: ([10, 0, 0, 1], port).into(),
        zone: zone(in_zone),
        slots: 3,
        draining: false,
        cold_ms: 0,
    }
}

/// Guards against requests to endpoints that start in an evacuated zone, and against overload of
/// cold endpoints after its restoration.
#[gtest]
fn endpoints_that_enter_the_zone_get_nothing_and_are_cold_when_it_is_back() {
    let mut registry = Registry::default();
    registry.put(NOW, listing("old", "a", 1));
    registry.set_evacuated(NOW, IndexMap::from([(zone("a"), NOW)]));
    registry.put(NOW, listing("new", "a", 2));
    registry.put(NOW, listing("else", "b", 3));
    let takes: Vec<_> = registry.iter().map(ListedEndpoint::accepts_work).collect();
    expect_that!(takes, elements_are![eq(&false), eq(&false), eq(&true)]);
    let back = NOW.plus(10_000);
    registry.set_evacuated(back, IndexMap::new());
    let cold: Vec<_> = registry.iter().map(|known| known.is_cold(back)).collect();
    expect_that!(cold, elements_are![eq(&true), eq(&true), eq(&false)]);
    let later = back.plus(3_000);
    expect_that!(registry.iter().any(|known| known.is_cold(later)), eq(false));
    expect_that!(registry.iter().all(ListedEndpoint::accepts_work), eq(true));
}
