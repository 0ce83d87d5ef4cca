//! Who becomes the leader, and whose holds it has to wait for.

use citronway_core::gateway::election::{
    CLAIM_STEP_MS, ElectionView, FIRST_CLAIM_STEPS, FormerLeader, LEADER_SILENT_MS, LeaderRow,
    PeerState, STARTUP_GRACE_MS, Strength, TAKEOVER_GRACE_MS, former_holds_until,
    former_leaders_after, has_stopped, should_claim, watches_store,
};
use citronway_core::gateway::leader::LeaderSettings;
use citronway_core::ids::{InstanceName, Session, SessionId, Version};
use citronway_core::time::Mono;
use googletest::prelude::*;

const START: Mono = Mono(10_000);

fn sight(name: &str, heard: Mono) -> PeerState {
    PeerState {
        instance: InstanceName::new(name),
        session: SessionId(1),
        heard,
        since: heard,
        term: 3,
        stopping: false,
        unfit: false,
        strength: Strength::FULL,
    }
}

fn row(name: &str) -> LeaderRow {
    LeaderRow {
        instance: InstanceName::new(name),
        session: SessionId(1),
        term: 3,
        former: Vec::new(),
        version: Version(9),
    }
}

fn situation<'a>(
    me: &'a InstanceName,
    row: Option<&'a LeaderRow>,
    peers: &'a [PeerState],
) -> ElectionView<'a> {
    ElectionView {
        me,
        session: SessionId(1),
        started: START,
        unfit: false,
        strength: Strength::FULL,
        term: row.map_or(0, |row| row.term),
        row,
        row_seen: Mono(0),
        peers,
        standbys: &[],
        instances: 3,
        is_large_fleet: false,
    }
}

fn claims(now: Mono, me: &str, row: Option<&LeaderRow>, peers: &[PeerState]) -> bool {
    should_claim(now, &situation(&InstanceName::new(me), row, peers))
}

#[gtest]
fn a_leader_that_is_heard_is_left_alone() {
    let now = START.plus(60_000);
    let peers = [sight("a", now.minus(LEADER_SILENT_MS - 1))];
    expect_that!(claims(now, "b", Some(&row("a")), &peers), eq(false));
}

#[gtest]
fn a_silent_leader_is_replaced_by_one_after_the_other() {
    let heard = START.plus(60_000);
    let silent = heard.plus(LEADER_SILENT_MS);
    let peers = [sight("a", heard), sight("b", silent)];
    let row = row("a");
    expect_that!(claims(silent, "b", Some(&row), &peers[..1]), eq(true));
    expect_that!(claims(silent, "c", Some(&row), &peers), eq(false));
    expect_that!(
        claims(silent.plus(CLAIM_STEP_MS), "c", Some(&row), &peers),
        eq(true)
    );
}

/// All instances start anew and hear nobody yet. Each would claim at once and the
/// leader would change with each of them.
#[gtest]
fn who_has_just_started_listens_first() {
    let row = row("a");
    expect_that!(claims(START, "b", Some(&row), &[]), eq(false));
    expect_that!(
        claims(START.plus(STARTUP_GRACE_MS), "b", Some(&row), &[]),
        eq(true)
    );
    // A duty that nobody ever had is claimed within a few steps by each.
    let last = START.plus((FIRST_CLAIM_STEPS - 1) * CLAIM_STEP_MS);
    for me in ["a", "b", "c", "d"] {
        expect_that!(claims(last, me, None, &[]), eq(true));
    }
}

#[gtest]
fn a_leader_that_stops_or_cannot_work_is_replaced_at_once() {
    let now = START.plus(60_000);
    let mut stopping = sight("a", now);
    stopping.stopping = true;
    let mut unfit = sight("a", now);
    unfit.unfit = true;
    let mut reborn = sight("a", now);
    reborn.session = SessionId(2);
    for sight in [stopping, unfit] {
        expect_that!(claims(now, "b", Some(&row("a")), &[sight]), eq(true));
    }
    // A new start of the same instance may claim before this one.
    let later = now.plus(CLAIM_STEP_MS);
    reborn.heard = later;
    expect_that!(
        claims(now, "b", Some(&row("a")), &[reborn.clone()]),
        eq(false)
    );
    expect_that!(claims(later, "b", Some(&row("a")), &[reborn]), eq(true));
}

/// The store comes back after an outage and `a` claims. `b` still has a report by which
/// `a` could not reach the store, and would claim over it; then `c` over `b`.
#[gtest]
fn a_new_leader_is_given_a_moment_to_say_that_it_is_fit() {
    let now = START.plus(60_000);
    let mut before = sight("a", now.minus(20));
    before.unfit = true;
    let peers = [before];
    let seen = |row_seen| {
        let row = row("a");
        let me = InstanceName::new("b");
        let situation = ElectionView {
            me: &me,
            session: SessionId(1),
            started: START,
            unfit: false,
            strength: Strength::FULL,
            term: row.term,
            row: Some(&row),
            row_seen,
            peers: &peers,
            standbys: &[],
            instances: 3,
            is_large_fleet: false,
        };
        should_claim(now, &situation)
    };
    expect_that!(seen(now.minus(10)), eq(false));
    expect_that!(seen(now.minus(TAKEOVER_GRACE_MS)), eq(true));
}

#[gtest]
fn an_instance_that_is_unfit_does_not_claim() {
    let situation = ElectionView {
        me: &InstanceName::new("b"),
        session: SessionId(1),
        started: START,
        unfit: true,
        strength: Strength::FULL,
        term: 0,
        row: None,
        row_seen: Mono(0),
        peers: &[],
        standbys: &[],
        instances: 3,
        is_large_fleet: false,
    };
    expect_that!(should_claim(START.plus(60_000), &situation), eq(false));
}

fn former(name: &str, free_at_ms: u64) -> FormerLeader {
    FormerLeader {
        session: Session::new(name, 1),
        free_at_ms,
    }
}

/// Two leaders follow each other within seconds, cut off from the store one after the
/// other. The third must wait for both, not only for the last.
#[gtest]
fn earlier_leaders_are_remembered_until_they_are_known_to_have_stopped() {
    let mut second = row("b");
    second.former = vec![former("a", 17_000)];
    let now = START.plus(60_000);
    let after = |peers: &[PeerState]| former_leaders_after(Some(&second), peers, 5_000, 17_000);
    // `a` does not know of `b` yet.
    let mut behind = sight("a", now);
    behind.term = 2;
    let both = [former("a", 17_000), former("b", 22_000)];
    expect_that!(after(&[behind, sight("b", now)]), eq(&both));
    // Now it does; only `b` may go on.
    expect_that!(after(&[sight("a", now), sight("b", now)]), eq(&both[1..]));
    let mut reborn = sight("a", now);
    reborn.session = SessionId(2);
    expect_that!(after(&[reborn]), eq(&both[1..]));

    let old = Session::new("a", 1);
    expect_that!(has_stopped(&old, 4, &[sight("a", now)]), eq(false));
    expect_that!(has_stopped(&old, 3, &[sight("a", now)]), eq(true));
}

/// A leader's machine is gone for good. Each later leader used to wait for it anew, and
/// keys of dead endpoints stayed unserved for 17 s after every change of the leader.
#[gtest]
fn an_earlier_leader_that_is_never_heard_again_is_waited_for_once() {
    let mut second = row("b");
    second.former = vec![former("a", 17_000)];
    let after = |store_ms| former_leaders_after(Some(&second), &[], store_ms, 17_000);
    expect_that!(
        after(16_999),
        eq(&[former("a", 17_000), former("b", 33_999)])
    );
    expect_that!(after(17_000), eq(&[former("b", 34_000)]));
}

/// Guards against keys that are given on too soon where the store took a claim late.
#[gtest]
fn a_claim_that_is_taken_late_extends_the_wait_for_the_earlier_leader() {
    let cfg = LeaderSettings::default();
    let (claimed, store_ms) = (Mono(60_000), 5_000);
    let former = [former("first", store_ms + cfg.former_leader_wait_ms())];
    for late_ms in [0, 400, 3_000, 6_000] {
        let now = claimed.plus(late_ms);
        let until = former_holds_until(now, &cfg, &former, Some(store_ms + late_ms), claimed);
        // The store may have confirmed it until this moment.
        expect_that!(
            until,
            ge(now.plus(cfg.former_leader_wait_ms())),
            "{late_ms} ms"
        );
        expect_that!(
            until,
            le(cfg.former_leader_limits(now).hold_until),
            "{late_ms} ms"
        );
    }
    let ended = former_holds_until(claimed, &cfg, &[], Some(store_ms), claimed);
    expect_that!(ended, eq(cfg.latest_hold_end(claimed)));
}

/// Machines are unequal. The first to claim had a tenth of a core and a link of
/// 10 Mbit/s; the rows that it passed on came seconds late or not at all.
#[gtest]
fn a_strong_machine_keeps_before_a_weak_one() {
    let weak = Strength::of(0.1, 10.0);
    expect_that!(weak, eq(Strength(100)));
    expect_that!(Strength::of(0.5, 200.0), eq(Strength::FULL));
    let heard = START.plus(60_000);
    let row = row("a");
    let claims_when = |strength, other: Strength, after_ms| {
        let mut other_sight = sight("c", heard.plus(LEADER_SILENT_MS));
        other_sight.strength = other;
        let situation = ElectionView {
            me: &InstanceName::new("b"),
            session: SessionId(1),
            started: START,
            unfit: false,
            strength,
            term: row.term,
            row: Some(&row),
            row_seen: Mono(0),
            peers: &[sight("a", heard), other_sight],
            standbys: &[],
            instances: 3,
            is_large_fleet: false,
        };
        should_claim(heard.plus(LEADER_SILENT_MS + after_ms), &situation)
    };
    expect_that!(claims_when(weak, Strength::FULL, 0), eq(false));
    expect_that!(claims_when(weak, Strength::FULL, CLAIM_STEP_MS), eq(true));
    expect_that!(claims_when(Strength::FULL, weak, 0), eq(true));
}

/// A leader is lost, and each of 89 instances asked the store for three tables at once. Now
/// three do; where the store refuses one of them, it says that it is not fit, and the next
/// one watches in its place.
#[gtest]
fn three_instances_watch_the_store_while_nobody_tells_of_it() {
    let now = START.plus(60_000);
    let mut peers = ["b", "c", "d", "e"].map(|name| sight(name, now));
    let watching = |me: &str, peers: &[PeerState]| {
        let me = InstanceName::new(me);
        let others: Vec<_> = peers.iter().filter(|p| p.instance != me).cloned().collect();
        watches_store(now, &situation(&me, None, &others))
    };
    expect_that!(
        ["b", "c", "d", "e"].map(|me| watching(me, &peers)),
        eq([true, true, true, false])
    );
    peers[0].unfit = true;
    expect_that!(watching("e", &peers), eq(true));
}

/// The leader of 295 instances is lost, and nobody hears more than a few others. All of them
/// claimed at once, and the store was busy for a second and a half with writes of which one
/// succeeds. Its last sums named eight that claim first.
#[gtest]
fn in_a_large_fleet_those_that_the_leader_named_claim_first_and_few_at_once() {
    let heard = START.plus(60_000);
    let silent = heard.plus(LEADER_SILENT_MS);
    let row = row("front-0");
    let names: Vec<_> = (0..295)
        .map(|i| InstanceName::new(&format!("front-{i}")))
        .collect();
    let standbys = names[1..9].to_vec();
    let peers = [sight("front-0", heard)];
    let claims_at = |me: &InstanceName, now: Mono| {
        let situation = ElectionView {
            strength: Strength(200),
            standbys: &standbys,
            instances: 295,
            is_large_fleet: true,
            ..situation(me, Some(&row), &peers)
        };
        should_claim(now, &situation)
    };
    let mut before = 0;
    for step in 0..100 {
        let now = silent.plus(step * CLAIM_STEP_MS);
        let claimants = names[1..].iter().filter(|me| claims_at(me, now)).count();
        let at_most = if step < 8 { 1 } else { 14 };
        expect_that!(claimants - before, le(at_most), "step {step}");
        before = claimants;
    }
    // All of them are gone, and one after the other somebody else claims.
    expect_that!(before, eq(294));
}

/// All instances lose power together. The one that led starts again at its address and knows
/// that the start before it has ended; nobody else has to be waited for.
#[gtest]
fn a_leader_that_starts_again_claims_at_once() {
    let mut row = row("front-7");
    row.session = SessionId(9);
    let me = InstanceName::new("front-7");
    let situation = ElectionView {
        row_seen: START,
        instances: 295,
        is_large_fleet: true,
        ..situation(&me, Some(&row), &[])
    };
    expect_that!(should_claim(START, &situation), eq(false));
    expect_that!(
        should_claim(START.plus(TAKEOVER_GRACE_MS), &situation),
        eq(true)
    );
}
