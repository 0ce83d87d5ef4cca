//! Leader election, and the wait for the holds of former leaders.

use citronway_core::gateway::election::{
    CLAIM_STEP_MS, ElectionView, FIRST_CLAIM_STEPS, FormerLeader, LEADER_SILENT_MS, LeaderRow,
    PeerState, STARTUP_GRACE_MS, Strength, TAKEOVER_GRACE_MS, former_holds_until,
    former_leaders_after, has_stopped, should_claim, watches_store,
};
use citronway_core::gateway::leader::LeaderSettings;
use citronway_core::gateway::version::RowVersion;
use citronway_core::ids::{InstanceName, Session, SessionId};
use citronway_core::time::Mono;
use googletest::prelude::*;

const START: Mono = Mono(10_000);

/// State of a peer that was last heard at `heard`.
fn peer(name: &str, heard: Mono) -> PeerState {
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
        version: RowVersion::first(9),
        era: None,
        first_fence: None,
    }
}

fn view<'a>(
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
        restored: None,
        is_large_fleet: false,
    }
}

fn claims(now: Mono, me: &str, row: Option<&LeaderRow>, peers: &[PeerState]) -> bool {
    should_claim(now, &view(&InstanceName::new(me), row, peers))
}

#[gtest]
fn a_leader_with_recent_reports_is_not_replaced() {
    let now = START.plus(60_000);
    let peers = [peer("a", now.minus(LEADER_SILENT_MS - 1))];
    expect_that!(claims(now, "b", Some(&row("a")), &peers), eq(false));
}

#[gtest]
fn a_silent_leader_is_replaced_by_one_after_the_other() {
    let heard = START.plus(60_000);
    let silent = heard.plus(LEADER_SILENT_MS);
    let peers = [peer("a", heard), peer("b", silent)];
    let row = row("a");
    expect_that!(claims(silent, "b", Some(&row), &peers[..1]), eq(true));
    expect_that!(claims(silent, "c", Some(&row), &peers), eq(false));
    expect_that!(
        claims(silent.plus(CLAIM_STEP_MS), "c", Some(&row), &peers),
        eq(true)
    );
}

/// Guards against repeated changes of the leader after all instances restart: none of them has
/// received reports yet, and each would claim at once and replace the one before.
#[gtest]
fn an_instance_that_has_just_started_waits_before_it_claims() {
    let row = row("a");
    expect_that!(claims(START, "b", Some(&row), &[]), eq(false));
    expect_that!(
        claims(START.plus(STARTUP_GRACE_MS), "b", Some(&row), &[]),
        eq(true)
    );
    // If there has never been a leader, each claims within a few steps.
    let last = START.plus((FIRST_CLAIM_STEPS - 1) * CLAIM_STEP_MS);
    for me in ["a", "b", "c", "d"] {
        expect_that!(claims(last, me, None, &[]), eq(true));
    }
}

#[gtest]
fn a_leader_that_stops_or_cannot_work_is_replaced_at_once() {
    let now = START.plus(60_000);
    let mut stopping = peer("a", now);
    stopping.stopping = true;
    let mut unfit = peer("a", now);
    unfit.unfit = true;
    let mut restarted = peer("a", now);
    restarted.session = SessionId(2);
    for peer in [stopping, unfit] {
        expect_that!(claims(now, "b", Some(&row("a")), &[peer]), eq(true));
    }
    // The restarted process of the same instance may claim before this instance.
    let later = now.plus(CLAIM_STEP_MS);
    restarted.heard = later;
    expect_that!(
        claims(now, "b", Some(&row("a")), &[restarted.clone()]),
        eq(false)
    );
    expect_that!(claims(later, "b", Some(&row("a")), &[restarted]), eq(true));
}

/// Guards against instances that replace each other when the store comes back after an outage:
/// `a` claims, `b` still has a report that says that `a` cannot reach the store and claims too,
/// then `c` replaces `b`.
#[gtest]
fn a_new_leader_gets_time_to_report_that_it_is_fit() {
    let now = START.plus(60_000);
    let mut before = peer("a", now.minus(20));
    before.unfit = true;
    let peers = [before];
    let claims_with = |row_seen| {
        let row = row("a");
        let me = InstanceName::new("b");
        let view = ElectionView {
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
            restored: None,
            is_large_fleet: false,
        };
        should_claim(now, &view)
    };
    expect_that!(claims_with(now.minus(10)), eq(false));
    expect_that!(claims_with(now.minus(TAKEOVER_GRACE_MS)), eq(true));
}

#[gtest]
fn an_instance_that_is_unfit_does_not_claim() {
    let view = ElectionView {
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
        restored: None,
        is_large_fleet: false,
    };
    expect_that!(should_claim(START.plus(60_000), &view), eq(false));
}

fn former(name: &str, free_at_ms: u64) -> FormerLeader {
    FormerLeader {
        session: Session::new(name, 1),
        free_at_ms,
    }
}

/// Guards against a third leader that waits only for the second: both former leaders were cut off
/// from the store within seconds, and both may still act.
#[gtest]
fn former_leaders_are_kept_until_they_are_known_to_have_stopped() {
    let mut second = row("b");
    second.former = vec![former("a", 17_000)];
    let now = START.plus(60_000);
    let after = |peers: &[PeerState]| former_leaders_after(Some(&second), peers, 5_000, 17_000);
    // `a` does not know of `b` yet.
    let mut behind = peer("a", now);
    behind.term = 2;
    let both = [former("a", 17_000), former("b", 22_000)];
    expect_that!(after(&[behind, peer("b", now)]), eq(&both));
    // Now it does, and only `b` may still act.
    expect_that!(after(&[peer("a", now), peer("b", now)]), eq(&both[1..]));
    let mut restarted = peer("a", now);
    restarted.session = SessionId(2);
    expect_that!(after(&[restarted]), eq(&both[1..]));

    let old = Session::new("a", 1);
    expect_that!(has_stopped(&old, 4, &[peer("a", now)]), eq(false));
    expect_that!(has_stopped(&old, 3, &[peer("a", now)]), eq(true));
}

/// Guards against leaders that each wait again for a former leader whose machine is gone for good:
/// keys of lost endpoints would not be served for 17 s after every change of the leader.
#[gtest]
fn a_former_leader_that_never_returns_is_waited_for_once() {
    let mut second = row("b");
    second.former = vec![former("a", 17_000)];
    let after = |store_ms| former_leaders_after(Some(&second), &[], store_ms, 17_000);
    expect_that!(
        after(16_999),
        eq(&[former("a", 17_000), former("b", 33_999)])
    );
    expect_that!(after(17_000), eq(&[former("b", 34_000)]));
}

/// Guards against keys that are reassigned too early when the store applies a claim late.
#[gtest]
fn a_claim_that_is_applied_late_extends_the_wait_for_the_former_leader() {
    let cfg = LeaderSettings::default();
    let (claimed, store_ms) = (Mono(60_000), 5_000);
    let former = [former("first", store_ms + cfg.former_leader_wait_ms())];
    for late_ms in [0, 400, 3_000, 6_000] {
        let now = claimed.plus(late_ms);
        let until = former_holds_until(now, &cfg, &former, Some(store_ms + late_ms), claimed);
        // The store may have confirmed the former leader until `now`.
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

/// Guards against a leader on the weakest machine: with a tenth of a core and a link of 10 Mbit/s,
/// the rows that it relays arrive seconds late or not at all.
#[gtest]
fn a_strong_machine_claims_before_a_weak_one() {
    let weak = Strength::of(0.1, 10.0);
    expect_that!(weak, eq(Strength(100)));
    expect_that!(Strength::of(0.5, 200.0), eq(Strength::FULL));
    let heard = START.plus(60_000);
    let row = row("a");
    let claims_when = |strength, other: Strength, after_ms| {
        let mut other_peer = peer("c", heard.plus(LEADER_SILENT_MS));
        other_peer.strength = other;
        let view = ElectionView {
            me: &InstanceName::new("b"),
            session: SessionId(1),
            started: START,
            unfit: false,
            strength,
            term: row.term,
            row: Some(&row),
            row_seen: Mono(0),
            peers: &[peer("a", heard), other_peer],
            standbys: &[],
            instances: 3,
            restored: None,
            is_large_fleet: false,
        };
        should_claim(heard.plus(LEADER_SILENT_MS + after_ms), &view)
    };
    expect_that!(claims_when(weak, Strength::FULL, 0), eq(false));
    expect_that!(claims_when(weak, Strength::FULL, CLAIM_STEP_MS), eq(true));
    expect_that!(claims_when(Strength::FULL, weak, 0), eq(true));
}

/// Guards against 89 instances that each read three tables from the store at once when the leader
/// is lost. Only three watch the store; an instance that the store refuses reports itself unfit,
/// and the next one watches instead.
#[gtest]
fn three_instances_watch_the_store_while_no_leader_relays_rows() {
    let now = START.plus(60_000);
    let mut peers = ["b", "c", "d", "e"].map(|name| peer(name, now));
    let watching = |me: &str, peers: &[PeerState]| {
        let me = InstanceName::new(me);
        let others: Vec<_> = peers.iter().filter(|p| p.instance != me).cloned().collect();
        watches_store(now, &view(&me, None, &others))
    };
    expect_that!(
        ["b", "c", "d", "e"].map(|me| watching(me, &peers)),
        eq([true, true, true, false])
    );
    peers[0].unfit = true;
    expect_that!(watching("e", &peers), eq(true));
}

/// Guards against simultaneous claims of 295 instances when the leader is lost and each instance
/// knows only a few others: the store would be busy for 1.5 s with writes of which one succeeds.
/// The leader's last totals named eight standbys that claim first.
#[gtest]
fn in_a_large_fleet_standbys_claim_first_and_few_instances_at_once() {
    let heard = START.plus(60_000);
    let silent = heard.plus(LEADER_SILENT_MS);
    let row = row("front-0");
    let names: Vec<_> = (0..295)
        .map(|i| InstanceName::new(&format!("front-{i}")))
        .collect();
    let standbys = names[1..9].to_vec();
    let peers = [peer("front-0", heard)];
    let claims_at = |me: &InstanceName, now: Mono| {
        let view = ElectionView {
            strength: Strength(200),
            standbys: &standbys,
            instances: 295,
            restored: None,
            is_large_fleet: true,
            ..view(me, Some(&row), &peers)
        };
        should_claim(now, &view)
    };
    let mut before = 0;
    for step in 0..100 {
        let now = silent.plus(step * CLAIM_STEP_MS);
        let claimants = names[1..].iter().filter(|me| claims_at(me, now)).count();
        let at_most = if step < 8 { 1 } else { 14 };
        expect_that!(claimants - before, le(at_most), "step {step}");
        before = claimants;
    }
    // If the standbys are lost too, all other instances claim in the end.
    expect_that!(before, eq(294));
}

/// All instances lose power together. The former leader restarts at its address and knows that its
/// earlier process has ended, so it waits only for [`TAKEOVER_GRACE_MS`], not for other claimants.
#[gtest]
fn a_leader_that_starts_again_claims_at_once() {
    let mut row = row("front-7");
    row.session = SessionId(9);
    let me = InstanceName::new("front-7");
    let view = ElectionView {
        row_seen: START,
        instances: 295,
        restored: None,
        is_large_fleet: true,
        ..view(&me, Some(&row), &[])
    };
    expect_that!(should_claim(START, &view), eq(false));
    expect_that!(should_claim(START.plus(TAKEOVER_GRACE_MS), &view), eq(true));
}
