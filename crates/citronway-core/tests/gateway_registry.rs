//! Registry of endpoints: drains, entries that expire in an outage, reused names and addresses.

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

/// Guards against refusing all requests after an outage of the store. It comes back without most
/// entries, which have expired, and their endpoints list themselves again within two seconds.
#[gtest]
fn entries_that_lapsed_in_an_outage_are_kept_for_two_seconds() {
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

/// Guards against requests that reach an endpoint of another service: an endpoint crashes, and its
/// address is reused by another service within seconds, before its own entry expires.
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

/// Guards against an entry that arrives late. An endpoint crashes while it is cut off and restarts
/// under another name. Seconds later the last entry of the first start arrives. If it counted as
/// newer, the running start would be dropped and its keys would be assigned to another endpoint
/// while it still works on them.
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

/// A process starts and reads two entries with the same address. It cannot know which start is the
/// later one, so neither counts as ended.
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
    let mut draining = listing("one", 1);
    draining.draining = true;
    registry.put(Mono(1_000), draining.clone());
    registry.put(Mono(1_200), draining);
    let known = registry.get(&EndpointStart::new("one", None)).or_fail()?;
    expect_that!(known.accepts_work(), eq(false));
    expect_that!(known.accepts_owned_work(Mono(1_299)), eq(true));
    expect_that!(known.accepts_owned_work(Mono(1_300)), eq(false));
    Ok(())
}

/// Guards against requests to a stopped endpoint for another two seconds. One instance is cut off
/// while the endpoint is removed, and after its return it would treat the missing entry as expired
/// in an outage. Newer rows at other instances show that there was no outage.
#[gtest]
fn an_entry_removed_while_only_this_instance_was_cut_off_is_dropped() {
    let mut registry = two();
    registry.store_lost();
    registry.outage_was_local();
    registry.remove(Mono(9_010), &EndpointName::new("one"));
    expect_that!(names(&registry), elements_are![eq("two")]);
}

/// Guards against a drain that cannot be cancelled: an endpoint starts to drain and then goes on.
/// Instances that saw both entries refused requests for its keys for good, while instances that
/// started later served them.
#[gtest]
fn an_endpoint_whose_drain_is_cancelled_keeps_its_keys() {
    let mut registry = two();
    let mut draining = listing("one", 1);
    draining.draining = true;
    registry.put(Mono(1_000), draining.clone());
    registry.put(Mono(2_000), listing("one", 1));
    let accepts = |registry: &Registry, now| {
        let known = registry.get(&EndpointStart::new("one", None));
        known.is_some_and(|known| known.accepts_owned_work(now))
    };
    expect_that!(accepts(&registry, Mono(60_000)), eq(true));
    registry.put(Mono(70_000), draining);
    expect_that!(accepts(&registry, Mono(70_100)), eq(true));
    expect_that!(accepts(&registry, Mono(72_000)), eq(false));
}

/// Entry of a start with the start time `born_ms`.
fn listing_with_start(name: &str, port: u16, born_ms: u64) -> Listing {
    Listing {
        start: EndpointStart::new(name, Some(born_ms)),
        ..listing(name, port)
    }
}

fn starts(registry: &Registry) -> Vec<u64> {
    let listed = registry.iter();
    let start_times = listed.filter_map(|known| known.listing.start.born_ms());
    start_times.collect()
}

/// An endpoint crashes and restarts under its name. The state of the earlier start, which was
/// draining and warm, does not apply to the new one.
#[gtest]
fn a_start_under_the_same_name_is_another() -> Result<()> {
    let mut registry = Registry::default();
    let mut first = listing_with_start("one", 1, 1_000);
    first.draining = true;
    registry.put(Mono(10), first.clone());
    let mut second = listing_with_start("one", 1, 2_000);
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

/// Guards against the last entry of an ended start that arrives after the first entry of its
/// successor under the same name. The successor's next entry follows within a second.
#[gtest]
fn a_late_entry_under_the_same_name_does_not_replace_the_running_start() {
    let mut registry = Registry::default();
    registry.put(Mono(10), listing_with_start("one", 1, 2_000));
    registry.put(Mono(20), listing_with_start("one", 1, 1_000));
    expect_that!(starts(&registry), elements_are![eq(&2_000)]);
    registry.put(Mono(900), listing_with_start("one", 1, 2_000));
    expect_that!(registry.expire(Mono(5_000)), eq(false));
    expect_that!(starts(&registry), elements_are![eq(&2_000)]);
}

/// The clock of an endpoint's machine is set back before the endpoint restarts, so its start time
/// is before that of its predecessor. As no further entry of the predecessor follows, the new start
/// replaces it.
#[gtest]
fn a_start_with_an_earlier_start_time_replaces_one_that_is_not_renewed() {
    let mut registry = Registry::default();
    registry.put(Mono(10), listing_with_start("one", 1, 2_000));
    registry.put(Mono(20), listing_with_start("one", 1, 1_000));
    expect_that!(registry.has_expired(Mono(1_500)), eq(false));
    expect_that!(registry.expire(Mono(1_520)), eq(true));
    expect_that!(starts(&registry), elements_are![eq(&1_000)]);
}

/// Guards against a late entry of an ended start after its own entry has expired and its successor
/// has the address. By the time of arrival the late entry would be the newer one.
#[gtest]
fn the_start_with_the_later_start_time_keeps_the_address() {
    let mut registry = Registry::default();
    registry.put(Mono(10), listing_with_start("one", 1, 1_000));
    registry.put(Mono(20), listing_with_start("three", 1, 2_000));
    registry.remove(Mono(30), &EndpointName::new("one"));
    registry.put(Mono(40), listing_with_start("one", 1, 1_000));
    expect_that!(names(&registry), elements_are![eq("three@2000")]);
    let one = EndpointStart::new("one", Some(1_000));
    expect_that!(
        registry.is_replaced(&one, listing_with_start("one", 1, 0).address),
        eq(true)
    );
}

/// Another writer lists an entry with the address of a running endpoint for a service that is not
/// configured. The endpoint remains in use until its own entry is gone or the service is
/// configured.
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

/// An unreadable entry replaces that of a listed endpoint. The endpoint is dropped, even in an
/// outage of the store.
#[gtest]
fn an_entry_that_cannot_be_used_drops_the_endpoint() {
    let mut registry = two();
    registry.store_lost();
    registry.discard(&EndpointName::new("one"));
    expect_that!(names(&registry), elements_are![eq("two")]);
}
