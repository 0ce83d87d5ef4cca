//! From a key's hash to its shard, and the check of a whole assignment.

mod placement_support;

use citronway_core::ids::{GroupName, ShardId};
use citronway_core::placement::{Finding, Lookup, check, hot};
use citronway_core::shard::{HashRange, HotShard, KeyHash, Ownership};
use googletest::prelude::*;
use placement_support::*;
use proptest::prelude::{any, prop_assert_eq};

#[gtest]
fn each_end_of_a_range_belongs_to_it() {
    let assignment = unowned(&[group(GROUP, None, 4, members(1))]);
    let lookup = Lookup::new(&assignment).expect("covered");
    for shard in assignment.shards.values() {
        let group = GroupName::new(GROUP);
        expect_that!(lookup.shard(&group, shard.range.first), some(eq(shard.id)));
        expect_that!(lookup.shard(&group, shard.range.last), some(eq(shard.id)));
    }
}

#[gtest]
fn a_hot_key_goes_before_its_range() {
    let base = unowned(&[group(GROUP, None, 4, members(1))]);
    let assignment = carry_out(&base, &take_all(&base, "e00"));
    let hash = KeyHash(12_345);
    let assignment = hot::split(&assignment, &GroupName::new(GROUP), hash).expect("split");
    let lookup = Lookup::new(&assignment).expect("covered");
    let group = GroupName::new(GROUP);
    expect_that!(lookup.shard(&group, hash), some(eq(ShardId(5))));
    expect_that!(lookup.range_shard(&group, hash), some(eq(ShardId(1))));
    expect_that!(lookup.shard(&group, KeyHash(12_346)), some(eq(ShardId(1))));
}

#[gtest]
fn a_group_that_is_not_there_has_no_shard() {
    let assignment = unowned(&[group(GROUP, None, 4, members(1))]);
    let lookup = Lookup::new(&assignment).expect("covered");
    expect_that!(lookup.shard(&GroupName::new("other"), KeyHash(1)), none());
}

/// A key that no shard covers is answered "not run" for ever; one that two
/// cover can run twice. Such an assignment is refused, with all that is wrong.
#[gtest]
fn all_findings_are_reported_together() {
    let mut assignment = unowned(&[group(GROUP, None, 4, members(1))]);
    assignment.shards[0].range.last = KeyHash(10);
    assignment.shards[2].range.first.0 -= 1;
    assignment.shards[3].group = GroupName::new("stray");
    assignment.hot.push(HotShard {
        group: GroupName::new(GROUP),
        hash: KeyHash(77),
        shard: ShardId(99),
    });
    expect_that!(Lookup::new(&assignment), err(anything()));
    let findings = check(&assignment).expect_err("it is broken").0;
    expect_that!(
        findings,
        unordered_elements_are![
            pat!(Finding::WrongHotShard {
                shard: &ShardId(99),
                ..
            }),
            pat!(Finding::StrayGroup {
                shard: &ShardId(4),
                ..
            }),
            pat!(Finding::Gap {
                from: &KeyHash(11),
                ..
            }),
            pat!(Finding::Overlap {
                shard: &ShardId(3),
                ..
            }),
            pat!(Finding::Gap {
                from: &KeyHash(3 << 62),
                ..
            }),
        ]
    );
}

#[gtest]
fn numbers_that_could_be_given_twice_are_found() {
    let mut assignment = unowned(&[group(GROUP, None, 2, members(1))]);
    assignment.next_shard = ShardId(2);
    expect_that!(Lookup::new(&assignment), err(anything()));
    let findings = check(&assignment).expect_err("it is broken").0;
    expect_that!(
        findings,
        elements_are![eq(&Finding::NumberAhead { shard: ShardId(2) })]
    );
}

#[test]
fn lookup_agrees_with_a_search_through_all_shards() {
    let input = (1..600_u32, any::<u64>());
    let result = runner(300, 3).run(&input, |(shards, hash)| {
        let assignment = unowned(&[group(GROUP, None, shards, members(1))]);
        let lookup = Lookup::new(&assignment).expect("covered");
        let holds = |range: &HashRange| range.first.0 <= hash && hash <= range.last.0;
        let shard = assignment.shards.values().find(|shard| holds(&shard.range));
        let found = lookup.shard(&GroupName::new(GROUP), KeyHash(hash));
        prop_assert_eq!(found, shard.map(|shard| shard.id));
        prop_assert_eq!(
            shard.map(|shard| &shard.ownership),
            Some(&Ownership::Unowned)
        );
        Ok(())
    });
    assert_eq!(result, Ok(()));
}
