//! Endpoints that state in their answers that they leave: what instances tell each other, and the
//! requests that are sent to such endpoints.

mod admission_support;
#[path = "leader_world/random.rs"]
#[expect(dead_code, reason = "shared with the tests of the leader")]
mod random;

use admission_support::{Scene, job, keyed, shown};
use citronway_core::gateway::admission::{
    Admission, Choice, Decision, Neighbor, RefusalReason, View,
};
use citronway_core::gateway::departures::{Departure, Departures, MAX_TOLD, owned_work_until};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::report::MAX_FULL_MESH;
use citronway_core::ids::{EndpointStart, InstanceName};
use citronway_core::time::Mono;
use googletest::prelude::*;
use indexmap::IndexMap;
use random::Random;

const NOW: Mono = Mono(50_000);

/// Time that the platform allows, in milliseconds.
const ALLOWED_MS: u64 = 2_000;

fn tag(name: &str) -> EndpointTag {
    EndpointTag::of(&EndpointStart::new(name, None))
}

fn said(name: &str, age_ms: u32) -> Departure {
    Departure {
        endpoint: tag(name),
        age_ms,
    }
}

fn since(departures: &Departures, name: &str) -> Option<Mono> {
    let mut all = departures.iter();
    all.find(|(known, _)| *known == tag(name))
        .map(|(_, since)| since)
}

/// Guards against a bound that begins anew with each answer or report.
#[gtest]
fn the_earliest_statement_of_an_endpoint_counts() {
    let mut departures = Departures::default();
    expect_that!(departures.observe(NOW, &said("a", 0)), eq(true));
    expect_that!(departures.hear(NOW.plus(300), &said("a", 0)), eq(false));
    expect_that!(since(&departures, "a"), some(eq(NOW)));
    expect_that!(departures.hear(NOW.plus(300), &said("a", 900)), eq(false));
    expect_that!(since(&departures, "a"), some(eq(NOW.minus(600))));
}

/// Guards against an instance that missed the only message about an endpoint.
#[gtest]
fn a_statement_is_told_until_others_tell_it() {
    let mut departures = Departures::default();
    departures.observe(NOW, &said("a", 0));
    expect_that!(departures.take_due(NOW), len(eq(1)));
    expect_that!(departures.take_due(NOW.plus(100)), is_empty());
    expect_that!(departures.take_due(NOW.plus(500)), len(eq(1)));
    departures.hear(NOW.plus(900), &said("a", 900));
    expect_that!(departures.take_due(NOW.plus(1_000)), is_empty());
    let told = departures.take_due(NOW.plus(1_400));
    expect_that!(told, elements_are![eq(&said("a", 1_400))]);
}

/// Guards against a message that is too long to be sent, and against memory that is never freed,
/// where endpoints by the thousand start and leave.
#[gtest]
fn messages_are_bounded_and_endpoints_that_are_gone_are_forgotten() {
    let mut departures = Departures::default();
    for n in 0..10_000 {
        departures.observe(NOW, &said(&format!("e{n}"), 0));
    }
    let mut told = 0;
    for round in 0..400 {
        let due = departures.take_due(NOW.plus(round));
        expect_that!(due.len(), le(MAX_TOLD));
        told += due.len();
    }
    expect_that!(told, eq(10_000));
    departures.prune(NOW.plus(61_000), |known| known == tag("e7"));
    expect_that!(departures.iter().count(), eq(1));
}

fn leave(admission: &mut Admission, name: &str) {
    admission.record_departure(NOW, tag(name), owned_work_until(NOW, ALLOWED_MS));
}

/// A view in which other instances have told that endpoints leave.
fn told(scene: &mut Scene, names: &[&str]) -> View {
    let until = owned_work_until(NOW, ALLOWED_MS);
    let leaving = names.iter().map(|name| (tag(name), until));
    scene.registry().set_leaving(leaving.collect());
    scene.view()
}

/// Guards against requests that are sent to a leaving endpoint although others serve them, by an
/// instance that was told in an answer and by one that heard of it.
#[gtest]
fn work_without_a_key_leaves_the_endpoint_at_once() {
    let mut scene = Scene::new();
    let mut own = scene.admission(NOW);
    leave(&mut own, "near");
    let mut hearing = scene.admission(NOW);
    let views = [scene.view(), told(&mut scene, &["near"])];
    for ticket in 0..12 {
        let decision = own.submit(NOW, &views[0], job(ticket, NOW));
        expect_that!(shown(decision.as_ref()), starts_with("far"));
        let decision = hearing.submit(NOW, &views[1], job(ticket, NOW));
        expect_that!(shown(decision.as_ref()), starts_with("far"));
    }
}

/// Guards against an endpoint that gets requests for its keys for as long as no other one has them.
#[gtest]
fn the_owner_of_a_key_gets_requests_for_a_bounded_time() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    leave(&mut admission, "a");
    let last = NOW.plus(ALLOWED_MS - 600);
    let decision = admission.submit(last, &scene.view(), keyed(1, 0, last));
    expect_that!(shown(decision.as_ref()), eq("a"));
    let late = NOW.plus(ALLOWED_MS);
    let decision = admission.submit(late, &scene.view(), keyed(2, 0, late));
    expect_that!(shown(decision.as_ref()), eq("endpoint_leaving"));
    let decision = admission.submit(late, &scene.view(), keyed(3, 40_000, late));
    expect_that!(shown(decision.as_ref()), eq("b"));
}

/// Guards against callers who are turned away although the leader is about to move their keys.
#[gtest]
fn requests_wait_where_a_leader_moves_the_keys() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    leave(&mut admission, "a");
    let mut view = scene.view();
    view.has_leader = true;
    let late = NOW.plus(ALLOWED_MS);
    let decision = admission.submit(late, &view, keyed(1, 0, late));
    expect_that!(shown(decision.as_ref()), eq("waits"));
}

/// Guards against a service that is given up while its last endpoint still serves, and against
/// requests that wait for their deadlines once it does not.
#[gtest]
fn the_last_endpoints_of_a_service_serve_until_the_bound() {
    let mut scene = Scene::new();
    let view = told(&mut scene, &["near", "far1", "far2"]);
    let mut admission = scene.admission(NOW);
    let decision = admission.submit(NOW, &view, job(1, NOW));
    expect_that!(shown(decision.as_ref()), eq("near"));
    let late = NOW.plus(ALLOWED_MS);
    let Some(Decision::Refuse(refusal)) = admission.submit(late, &view, job(2, late)) else {
        panic!("not refused");
    };
    expect_that!(refusal.reason, eq(RefusalReason::EndpointLeaving));
    expect_that!(refusal.retry_after_ms, ge(500));
}

/// Guards against a request that was admitted before and is sent after the bound.
#[gtest]
fn an_admitted_request_is_not_sent_after_the_bound() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    let view = scene.view();
    let choose = |admission: &mut Admission, req| match admission.submit(NOW, &view, req) {
        Some(Decision::Send(choice)) => choice,
        other => panic!("not sent: {other:?}"),
    };
    let owned: Choice = choose(&mut admission, keyed(1, 0, NOW));
    let free: Choice = choose(&mut admission, job(2, NOW));
    let may_send = |admission: &Admission, at, choice: &Choice| match choice.fence {
        Some(_) => admission.may_send(at, &view, &keyed(1, 0, NOW), choice),
        None => admission.may_send(at, &view, &job(2, NOW), choice),
    };
    expect_that!(may_send(&admission, NOW, &owned), eq(true));
    expect_that!(may_send(&admission, NOW, &free), eq(true));
    leave(&mut admission, "a");
    leave(&mut admission, "near");
    expect_that!(may_send(&admission, NOW, &owned), eq(true));
    expect_that!(may_send(&admission, NOW, &free), eq(false));
    let late = NOW.plus(ALLOWED_MS);
    expect_that!(may_send(&admission, late, &owned), eq(false));
}

/// Guards against neighbors that are asked to send to an endpoint because it leaves.
#[gtest]
fn no_neighbor_is_asked_because_an_endpoint_leaves() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    leave(&mut admission, "a");
    let mut view = scene.view();
    view.neighbors.push(Neighbor {
        instance: InstanceName::new("n"),
        address: ([127, 0, 0, 1], 7).into(),
        is_near: true,
    });
    let late = NOW.plus(ALLOWED_MS);
    let decision = admission.submit(late, &view, keyed(1, 0, late));
    expect_that!(shown(decision.as_ref()), eq("endpoint_leaving"));
}

/// Guards against an endpoint that its entry brings back to life after its answers said that it
/// leaves, and against a later start that is taken for it.
#[gtest]
fn an_entry_does_not_revoke_a_departure_and_a_later_start_owes_nothing() {
    let mut scene = Scene::new();
    let listed = |scene: &mut Scene, name: &str| {
        let known = scene.registry().get(&EndpointStart::new(name, None));
        known.expect("it is listed").clone()
    };
    let mut listing = listed(&mut scene, "a").listing;
    let until = owned_work_until(NOW, ALLOWED_MS);
    scene
        .registry()
        .set_leaving(IndexMap::from([(tag("a"), until)]));
    scene.registry().put(NOW.plus(100), listing.clone());
    expect_that!(listed(&mut scene, "a").accepts_work(), eq(false));
    scene.registry().discard(listing.start.name());
    scene.registry().put(NOW.plus(200), listing.clone());
    expect_that!(listed(&mut scene, "a").accepts_work(), eq(false));
    listing.start = EndpointStart::new("a", Some(NOW.0));
    scene.registry().put(NOW.plus(300), listing.clone());
    let known = scene.registry().get(&listing.start).cloned();
    expect_that!(known.map(|known| known.accepts_work()), some(eq(true)));
}

/// Instances to a delegate.
const GROUP: usize = 24;

/// Time within which all instances know of a departure, in milliseconds.
const KNOWN_WITHIN_MS: u64 = 1_000;

/// A fleet in which instances tell each other: all tell all if it is small; else members tell their
/// delegates, these the leader, and the leader tells all.
struct Fleet {
    instances: Vec<Departures>,
    rng: Random,
    /// One message in so many is lost; none if it is zero.
    loss: u64,
}

const fn is_delegate(n: usize) -> bool {
    n != 0 && n.is_multiple_of(GROUP)
}

impl Fleet {
    fn new(count: usize, seed: u64, loss: u64) -> Self {
        Self {
            instances: vec![Departures::default(); count],
            rng: Random::new(seed),
            loss,
        }
    }

    fn is_small(&self) -> bool {
        self.instances.len() <= MAX_FULL_MESH
    }

    /// Has one instance tell what is due.
    fn tell(&mut self, now: Mono, from: usize) {
        let due = self.instances[from].take_due(now);
        let receivers = if self.is_small() || from == 0 {
            0..self.instances.len()
        } else if is_delegate(from) {
            0..1
        } else {
            let delegate = from / GROUP * GROUP;
            delegate..delegate + 1
        };
        for to in receivers {
            let is_lost = self.loss > 0 && self.rng.below(self.loss) == 0;
            if to == from || is_lost {
                continue;
            }
            for departure in &due {
                if self.is_small() || from == 0 {
                    self.instances[to].hear(now, departure);
                } else {
                    self.instances[to].observe(now, departure);
                }
            }
        }
    }

    /// Lets time pass, and returns how many instances do not know of the endpoint.
    fn unaware_after(&mut self, ms: u64) -> usize {
        let count = self.instances.len();
        for at in (0..ms).step_by(100) {
            for from in 0..count {
                // Members report half as often as delegates, and the leader as often as they.
                let is_often = self.is_small() || is_delegate(from);
                if is_often || at.is_multiple_of(200) {
                    self.tell(NOW.plus(at), from);
                }
            }
        }
        let unaware = self.instances.iter().filter(|d| since(d, "a").is_none());
        unaware.count()
    }
}

/// Guards against instances that do not hear of a departure, or hear of it late.
#[gtest]
fn all_instances_of_a_fleet_know_within_a_second() {
    for count in [12, 90, 300] {
        for seed in 0..50 {
            let mut fleet = Fleet::new(count, seed, 0);
            let told = usize::try_from(fleet.rng.below(count as u64)).expect("a place");
            fleet.instances[told].observe(NOW, &said("a", 0));
            let unaware = fleet.unaware_after(KNOWN_WITHIN_MS);
            expect_that!(unaware, eq(0), "{count} instances, seed {seed}");
        }
    }
}

/// Guards against instances that never hear of a departure since the message was lost.
#[gtest]
fn lost_messages_are_made_up_for() {
    for count in [12, 90, 300] {
        for seed in 0..50 {
            let mut fleet = Fleet::new(count, seed, 5);
            fleet.instances[count / 2].observe(NOW, &said("a", 0));
            let unaware = fleet.unaware_after(20_000);
            expect_that!(unaware, eq(0), "{count} instances, seed {seed}");
        }
    }
}
