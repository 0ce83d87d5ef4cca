//! Listed endpoints: leaving, lapsing in an outage, addresses that are used again.

use citronway_core::gateway::registry::{LAPSE_GRACE_MS, Listing, Registry};
use citronway_core::ids::{EndpointName, EndpointStart, ServiceName, ZoneName};
use citronway_core::time::Mono;
use googletest::prelude::*;

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

fn two() -> Registry {
    let mut registry = Registry::default();
    registry.put(Mono(0), listing("one", 1));
    registry.put(Mono(0), listing("two", 2));
    registry
}

fn names(registry: &Registry) -> Vec<String> {
    registry
        .iter()
        .map(|known| known.listing.start.to_string())
        .collect()
}

#[gtest]
fn a_removed_endpoint_is_gone_at_once() {
    let mut registry = two();
    registry.remove(Mono(10), &EndpointName::new("one"));
    expect_that!(names(&registry), elements_are![eq("two")]);
}

/// The store is away for some seconds and comes back without most entries, which had
/// lapsed meanwhile. Their endpoints list themselves again within two seconds. Whoever
/// drops them at once refuses all callers until then.
#[gtest]
fn entries_that_lapsed_in_an_outage_are_believed_for_two_seconds() {
    let mut registry = two();
    registry.store_lost();
    registry.store_regained(Mono(9_000));
    for name in registry.names() {
        registry.remove(Mono(9_010), &name);
    }
    expect_that!(names(&registry).len(), eq(2));
    registry.put(Mono(10_000), listing("one", 1));
    expect_that!(registry.expire(Mono(9_000 + LAPSE_GRACE_MS - 1)), eq(false));
    expect_that!(registry.expire(Mono(9_000 + LAPSE_GRACE_MS)), eq(true));
    expect_that!(names(&registry), elements_are![eq("one")]);
}

#[gtest]
fn the_grace_does_not_outlast_its_time() {
    let mut registry = two();
    registry.store_lost();
    registry.store_regained(Mono(1_000));
    registry.remove(Mono(1_000 + LAPSE_GRACE_MS), &EndpointName::new("one"));
    expect_that!(names(&registry), elements_are![eq("two")]);
}

/// An endpoint crashes and its address goes to one of another service within seconds,
/// while its own entry has not lapsed. Requests for the first would reach the second.
#[gtest]
fn a_new_start_at_an_address_ends_the_old_one() {
    let mut registry = two();
    let old = EndpointStart::new("one", None);
    let address = listing("one", 1).address;
    expect_that!(registry.is_replaced(&old, address), eq(false));
    registry.put(Mono(5), listing("three", 1));
    expect_that!(names(&registry), elements_are![eq("two"), eq("three")]);
    expect_that!(registry.is_replaced(&old, address), eq(true));
}

/// An endpoint crashes behind a cut and starts again under another name. Seconds later
/// an entry that the first start had written arrives at last. Whoever takes that for
/// the newer start drops the living one, and gives its keys to another endpoint while
/// it still works on them.
#[gtest]
fn a_late_entry_of_an_ended_start_changes_nothing() {
    let mut registry = two();
    let address = listing("one", 1).address;
    registry.put(Mono(5), listing("three", 1));
    registry.put(Mono(9), listing("one", 1));
    expect_that!(names(&registry), elements_are![eq("two"), eq("three")]);
    expect_that!(
        registry.is_replaced(&EndpointStart::new("three", None), address),
        eq(false)
    );
    expect_that!(
        registry.is_replaced(&EndpointStart::new("one", None), address),
        eq(true)
    );
}

/// A process starts and reads two entries with one address. Nothing tells which start
/// is the later one, so neither is taken for ended.
#[gtest]
fn two_entries_read_at_once_prove_nothing() {
    let mut registry = Registry::default();
    let address = listing("one", 1).address;
    registry.put(Mono(5), listing("one", 1));
    registry.put(Mono(5), listing("three", 1));
    for id in ["one", "three", "never-seen"] {
        expect_that!(
            registry.is_replaced(&EndpointStart::new(id, None), address),
            eq(false)
        );
    }
}

#[gtest]
fn a_start_that_was_cut_off_is_listed_again() {
    let mut registry = two();
    registry.remove(Mono(5), &EndpointName::new("one"));
    registry.put(Mono(9), listing("one", 1));
    expect_that!(names(&registry).len(), eq(2));
}

#[gtest]
fn a_draining_endpoint_keeps_its_keys_for_a_moment_only() -> Result<()> {
    let mut registry = two();
    let mut leaving = listing("one", 1);
    leaving.draining = true;
    registry.put(Mono(1_000), leaving.clone());
    registry.put(Mono(1_200), leaving);
    let known = registry.get(&EndpointStart::new("one", None)).or_fail()?;
    expect_that!(known.accepts_work(), eq(false));
    expect_that!(known.accepts_owned_work(Mono(1_299)), eq(true));
    expect_that!(known.accepts_owned_work(Mono(1_300)), eq(false));
    Ok(())
}

/// One instance is cut off while an endpoint leaves. Back at the store it finds the
/// entry missing, takes that for a lapse in an outage, and sends there for two seconds
/// more. Others that saw newer rows meanwhile show that there was no outage.
#[gtest]
fn an_entry_that_went_while_only_this_instance_was_cut_off_is_gone() {
    let mut registry = two();
    registry.store_lost();
    registry.outage_was_local();
    registry.remove(Mono(9_010), &EndpointName::new("one"));
    expect_that!(names(&registry), elements_are![eq("two")]);
}

/// An endpoint says that it leaves and stays after all. Instances that had seen both
/// refused its keys for good, while those that started later served them.
#[gtest]
fn an_endpoint_that_stays_after_all_keeps_its_keys() {
    let mut registry = two();
    let mut leaving = listing("one", 1);
    leaving.draining = true;
    registry.put(Mono(1_000), leaving.clone());
    registry.put(Mono(2_000), listing("one", 1));
    let takes = |registry: &Registry, now| {
        let known = registry.get(&EndpointStart::new("one", None));
        known.is_some_and(|known| known.accepts_owned_work(now))
    };
    expect_that!(takes(&registry, Mono(60_000)), eq(true));
    registry.put(Mono(70_000), leaving);
    expect_that!(takes(&registry, Mono(70_100)), eq(true));
    expect_that!(takes(&registry, Mono(72_000)), eq(false));
}

fn born(name: &str, port: u16, born_ms: u64) -> Listing {
    Listing {
        start: EndpointStart::new(name, Some(born_ms)),
        ..listing(name, port)
    }
}

fn starts(registry: &Registry) -> Vec<u64> {
    let listed = registry.iter();
    let born = listed.filter_map(|known| known.listing.start.born_ms());
    born.collect()
}

/// An endpoint crashes and starts again under its name. What was known of the earlier
/// start, that it was draining and long warm, is not true of the new one.
#[gtest]
fn a_start_under_the_same_name_is_another() -> Result<()> {
    let mut registry = Registry::default();
    let mut first = born("one", 1, 1_000);
    first.draining = true;
    registry.put(Mono(10), first.clone());
    let mut second = born("one", 1, 2_000);
    second.cold_ms = 500;
    registry.put(Mono(3_000), second.clone());
    expect_that!(registry.get(&first.start).is_some(), eq(false));
    expect_that!(registry.is_replaced(&first.start, first.address), eq(true));
    let known = registry.get(&second.start).or_fail()?;
    expect_that!(known.accepts_work(), eq(true));
    expect_that!(known.first_seen, eq(Mono(3_000)));
    expect_that!(known.warm_at, eq(Mono(3_500)));
    Ok(())
}

/// The last entry that an ended start had written lands after the first of its successor
/// under the same name. The successor's next entry follows within a second.
#[gtest]
fn a_late_entry_under_the_same_name_ends_nobody() {
    let mut registry = Registry::default();
    registry.put(Mono(10), born("one", 1, 2_000));
    registry.put(Mono(20), born("one", 1, 1_000));
    expect_that!(starts(&registry), elements_are![eq(&2_000)]);
    registry.put(Mono(900), born("one", 1, 2_000));
    expect_that!(registry.expire(Mono(5_000)), eq(false));
    expect_that!(starts(&registry), elements_are![eq(&2_000)]);
}

/// The clock of an endpoint's machine is set back, then the endpoint starts again: it was
/// born before its predecessor. No entry of that one follows, so it is taken.
#[gtest]
fn a_start_that_was_born_earlier_is_taken_when_its_entry_stays() {
    let mut registry = Registry::default();
    registry.put(Mono(10), born("one", 1, 2_000));
    registry.put(Mono(20), born("one", 1, 1_000));
    expect_that!(registry.has_expired(Mono(1_500)), eq(false));
    expect_that!(registry.expire(Mono(1_520)), eq(true));
    expect_that!(starts(&registry), elements_are![eq(&1_000)]);
}

/// An ended start's entry lapses, its successor has the address, and then an entry of the
/// first arrives late. By the time it was seen it would be the newer one.
#[gtest]
fn the_later_born_has_the_address() {
    let mut registry = Registry::default();
    registry.put(Mono(10), born("one", 1, 1_000));
    registry.put(Mono(20), born("three", 1, 2_000));
    registry.remove(Mono(30), &EndpointName::new("one"));
    registry.put(Mono(40), born("one", 1, 1_000));
    expect_that!(names(&registry), elements_are![eq("three@2000")]);
    let one = EndpointStart::new("one", Some(1_000));
    expect_that!(
        registry.is_replaced(&one, born("one", 1, 0).address),
        eq(true)
    );
}

/// Another writer lists something under the address of a living endpoint, for a service
/// that no route leads to. The endpoint goes on serving; once it is gone or the service is
/// configured, the address is the other's.
#[gtest]
fn an_entry_of_an_unknown_service_takes_no_address() {
    let mut registry = two();
    let services = |names: &[&str]| names.iter().map(|name| ServiceName::new(name)).collect();
    registry.set_services(services(&["batch"]));
    let mut stranger = listing("stranger", 1);
    stranger.service = ServiceName::new("unheard-of");
    registry.put(Mono(5), stranger);
    expect_that!(
        names(&registry),
        elements_are![eq("one"), eq("two"), eq("stranger")]
    );
    registry.set_services(services(&["batch", "unheard-of"]));
    expect_that!(names(&registry), elements_are![eq("two"), eq("stranger")]);
}

/// An entry that cannot be read stands under the name of a known endpoint: it names none,
/// in an outage of the store too.
#[gtest]
fn an_entry_that_cannot_be_used_names_no_endpoint() {
    let mut registry = two();
    registry.store_lost();
    registry.discard(&EndpointName::new("one"));
    expect_that!(names(&registry), elements_are![eq("two")]);
}
