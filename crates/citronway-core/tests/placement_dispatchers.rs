//! Choice of dispatchers and successors.

mod placement_support;

use citronway_core::ids::{EndpointName, Session, ZoneName};
use citronway_core::placement::Candidate;
use citronway_core::placement::dispatchers::{RoleCounts, first_row, replacement};
use citronway_core::shard::DispatchRow;
use citronway_core::time::Wall;
use googletest::prelude::*;
use indexmap::IndexMap;

fn candidates(count: usize) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for index in 0..count {
        candidates.push(Candidate {
            session: Session::new(&format!("i{index:02}"), 1),
            zone: zone(index),
        });
    }
    candidates
}

fn zone(index: usize) -> ZoneName {
    ZoneName::new(["a", "b", "c"][index % 3])
}

fn rows(endpoints: usize, candidates: &[Candidate]) -> Vec<DispatchRow> {
    let mut counts = RoleCounts::default();
    let mut rows = Vec::new();
    for index in 0..endpoints {
        let name = EndpointName::new(&format!("e{index:02}"));
        let row = first_row(&name, &zone(index), candidates, &counts, Wall(9)).expect("a row");
        counts.add(&row);
        rows.push(row);
    }
    rows
}

fn zone_of(candidates: &[Candidate], session: &Session) -> ZoneName {
    let found = candidates
        .iter()
        .find(|candidate| candidate.session == *session);
    found.expect("a candidate").zone.clone()
}

#[gtest]
fn dispatchers_stand_beside_endpoints_and_successors_elsewhere() {
    let candidates = candidates(12);
    let mut dispatching: IndexMap<Session, u32> = IndexMap::new();
    for (index, row) in rows(36, &candidates).iter().enumerate() {
        let own = zone_of(&candidates, &row.dispatcher);
        expect_that!(own, eq(&zone(index)));
        let [first, second] = row.successors.as_slice() else {
            panic!("two successors");
        };
        let first = zone_of(&candidates, first);
        let second = zone_of(&candidates, second);
        expect_that!(first != own && second != own && first != second, is_true());
        expect_that!(row.floor, eq(Wall(9)));
        *dispatching.entry(row.dispatcher.clone()).or_default() += 1;
    }
    expect_that!(dispatching.len(), eq(12));
    expect_that!(dispatching.values().copied().max(), some(eq(3)));
}

#[gtest]
fn without_an_instance_in_the_zone_another_dispatches() {
    let candidates: Vec<Candidate> = candidates(12)
        .into_iter()
        .filter(|c| c.zone != zone(0))
        .collect();
    for row in rows(3, &candidates) {
        expect_that!(row.successors.len(), eq(2));
    }
}

#[gtest]
fn few_instances_give_few_successors() {
    let one = rows(1, &candidates(1));
    expect_that!(one[0].successors, is_empty());
    let no_row = first_row(
        &EndpointName::new("e"),
        &zone(0),
        &[],
        &RoleCounts::default(),
        Wall(0),
    );
    expect_that!(no_row, none());
}

/// A successor's instance starts again. Were its new session brought in beside
/// the old one, one crash would take both promises.
#[gtest]
fn a_replacement_is_another_instance_in_an_unused_zone() {
    let mut candidates = candidates(6);
    let mut row = rows(1, &candidates).remove(0);
    let gone = row.successors.remove(0);
    row.former.push(gone.clone());
    for candidate in &mut candidates {
        if candidate.session == gone {
            candidate.session.id.0 = 2;
        }
    }
    let counts = RoleCounts::of([&row]);
    let next = replacement(&row, &candidates, &counts).expect("a replacement");
    expect_that!(next.instance, not(eq(&gone.instance)));
    expect_that!(zone_of(&candidates, &next), eq(&zone(1)));
}
