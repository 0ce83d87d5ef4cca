//! Crash ledger: which work is harmful, for how long, and what is reported about it.

use citronway_core::gateway::crashes::{
    CRASH_EXPIRY_MS, Fingerprint, HARMFUL_CRASHES, Ledger, MAX_SIGNS_PER_REPORT, RefusedWork, Sign,
    SignQueue, SignReceiver, Verdict,
};
use citronway_core::gateway::election::Strength;
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::report::{Report, Versions};
use citronway_core::ids::{InstanceName, SessionId};
use citronway_core::time::Mono;
use googletest::prelude::*;

const BAD: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);

/// Interval between two attempts at work that arrives repeatedly, in milliseconds.
const AGAIN_MS: u64 = 5_000;

const fn crash(work: Fingerprint, endpoint: u32) -> Sign {
    let endpoint = EndpointTag(endpoint);
    Sign::Crash { work, endpoint }
}

fn refuses(ledger: &Ledger, now: Mono, work: Fingerprint) -> bool {
    ledger.is_refused(now, work)
}

/// Crashes each of the endpoints with the work, seconds apart; returns the time of the last
/// crash.
fn crash_all(ledger: &mut Ledger, work: Fingerprint, endpoints: std::ops::Range<u32>) -> Mono {
    let mut now = Mono(0);
    for endpoint in endpoints {
        now = Mono(u64::from(endpoint) * AGAIN_MS);
        ledger.apply(now, crash(work, endpoint));
    }
    now
}

#[gtest]
fn work_is_harmful_once_it_was_at_three_endpoints_that_crashed() {
    let mut ledger = Ledger::default();
    let now = crash_all(&mut ledger, BAD, 0..2);
    expect_that!(refuses(&ledger, now, BAD), eq(false));
    let verdicts = ledger.apply(now.plus(AGAIN_MS), crash(BAD, 9));
    expect_that!(
        verdicts,
        elements_are![matches_pattern!(Verdict::Harmful {
            work: eq(&BAD),
            times: eq(&1),
            crashes: eq(&HARMFUL_CRASHES),
            ..
        })]
    );
    expect_that!(refuses(&ledger, now.plus(AGAIN_MS), BAD), eq(true));
    expect_that!(refuses(&ledger, now.plus(AGAIN_MS), OTHER), eq(false));
}

/// Eight attempts at one work, from five instances, were at an endpoint that crashed, and each one
/// is reported. That is one crash, not eight.
#[gtest]
fn one_crash_counts_once_however_many_copies_and_reporters_there_are() {
    let mut ledger = Ledger::default();
    for _ in 0..8 {
        ledger.apply(Mono(0), crash(BAD, 1));
    }
    ledger.apply(Mono(10), crash(BAD, 2));
    expect_that!(refuses(&ledger, Mono(10), BAD), eq(false));
}

#[gtest]
fn crashes_count_for_a_bounded_time() {
    let mut ledger = Ledger::default();
    let now = crash_all(&mut ledger, BAD, 0..2);
    ledger.apply(now.plus(CRASH_EXPIRY_MS), crash(BAD, 9));
    expect_that!(refuses(&ledger, now.plus(CRASH_EXPIRY_MS), BAD), eq(false));
    ledger.expire(now.plus(3 * CRASH_EXPIRY_MS));
    expect_that!(ledger.is_empty(), eq(true));
}

/// A popular request runs at every endpoint all the time, so it is at each endpoint that other work
/// crashes. It is answered between two crashes, which harmful work never is.
#[gtest]
fn work_that_an_endpoint_runs_to_its_end_is_cleared() {
    let mut ledger = Ledger::default();
    for round in 0..20 {
        let now = Mono(u64::from(round) * AGAIN_MS);
        ledger.apply(now, crash(OTHER, round));
        ledger.apply(now, crash(BAD, round));
        ledger.apply(now.plus(300), Sign::Answered { work: OTHER });
        expect_that!(refuses(&ledger, now, OTHER), eq(false));
    }
    expect_that!(refuses(&ledger, Mono(20 * AGAIN_MS), BAD), eq(true));
}

/// A rack with ten endpoints is lost, then the rack with their replacements, and then a third one.
/// A request was sent to one endpoint of each and crashed none of them.
#[gtest]
fn work_that_meets_losses_of_machines_is_not_harmful() {
    let mut ledger = Ledger::default();
    for rack in 0..3 {
        let at = u64::from(rack) * AGAIN_MS;
        ledger.apply(Mono(at), crash(OTHER, rack * 10));
        for n in 1..10 {
            let other = Fingerprint(u64::from(100 + rack * 10 + n));
            ledger.apply(Mono(at + u64::from(n) * 20), crash(other, rack * 10 + n));
        }
    }
    let now = Mono(3 * AGAIN_MS);
    expect_that!(refuses(&ledger, now, OTHER), eq(false));
    expect_that!(ledger.harmful(now), is_empty());
}

/// The third crash of innocent work is the first reported one of a lost rack. The work is refused
/// for a moment, is not reported or stored, and is cleared when the other crashes are reported.
#[gtest]
fn a_loss_of_machines_that_shows_late_clears_work() {
    let mut ledger = Ledger::default();
    let now = crash_all(&mut ledger, OTHER, 0..3);
    expect_that!(refuses(&ledger, now, OTHER), eq(true));
    expect_that!(ledger.harmful(now.plus(400)), is_empty());
    for n in 0..3 {
        ledger.apply(now.plus(400), crash(Fingerprint(50), 90 + n));
    }
    expect_that!(refuses(&ledger, now.plus(400), OTHER), eq(false));
}

/// Copies of harmful work run at three endpoints at the same moment and crash them all.
#[gtest]
fn copies_that_crash_three_endpoints_at_once_are_harmful() {
    let mut ledger = Ledger::default();
    for endpoint in 0..3 {
        ledger.apply(Mono(10), crash(BAD, endpoint));
    }
    expect_that!(refuses(&ledger, Mono(10), BAD), eq(true));
}

/// Harmful work arrives every few seconds for three quarters of an hour. Refused work is tried
/// again occasionally, so that innocent work can be cleared, and each attempt may cost an endpoint.
#[gtest]
fn harmful_work_that_comes_again_and_again_is_tried_three_more_times_in_three_quarters_of_an_hour()
{
    let mut ledger = Ledger::default();
    let third = crash_all(&mut ledger, BAD, 0..3);
    let mut attempts = 0;
    for n in 1..=540 {
        let now = third.plus(n * AGAIN_MS);
        ledger.expire(now);
        if !refuses(&ledger, now, BAD) {
            attempts += 1;
            ledger.apply(now, crash(BAD, 100 + attempts));
        }
    }
    expect_that!(attempts, le(3));
}

/// Time from `since` after which refused work is tried again, in milliseconds.
fn refused_for(ledger: &Ledger, since: Mono, work: Fingerprint) -> u64 {
    let tried = |ms: &u64| !refuses(ledger, since.plus(*ms), work);
    (0..4_000_000)
        .step_by(500)
        .find(tried)
        .expect("it is tried again")
}

#[gtest]
fn innocent_work_that_is_refused_is_free_after_seconds_and_for_good_once_it_is_answered() {
    let mut ledger = Ledger::default();
    let third = crash_all(&mut ledger, OTHER, 0..3);
    let ms = refused_for(&ledger, third, OTHER);
    expect_that!(ms, all!(ge(15_000), le(45_000)));
    let later = third.plus(ms);
    let verdicts = ledger.apply(later, Sign::Answered { work: OTHER });
    expect_that!(
        verdicts,
        elements_are![matches_pattern!(Verdict::Cleared { .. })]
    );
    ledger.apply(later, crash(OTHER, 70));
    expect_that!(refuses(&ledger, later, OTHER), eq(false));
}

/// Thirty works were at the same three endpoints. If they are tried again at the same time, the
/// crash of the harmful one is blamed on the others once more.
#[gtest]
fn works_that_crashed_together_are_tried_again_apart() {
    let mut ledger = Ledger::default();
    let works = (0..30).map(|n| Fingerprint(n * 7_919_u64.pow(3)));
    for endpoint in 0..3 {
        for work in works.clone() {
            ledger.apply(Mono(u64::from(endpoint) * AGAIN_MS), crash(work, endpoint));
        }
    }
    let third = Mono(2 * AGAIN_MS);
    let times: std::collections::BTreeSet<_> = works
        .map(|work| refused_for(&ledger, third, work))
        .collect();
    expect_that!(times.len(), ge(10));
}

/// Harmful work is tried again, and its caller retries at once at two other instances, which do not
/// know of the crash. Of a hundred instances, few try it again at the same time, and all do
/// eventually.
#[gtest]
fn instances_try_work_again_one_after_the_other() {
    let mut ledger = Ledger::default();
    let third = crash_all(&mut ledger, BAD, 0..3);
    let first = third.plus(refused_for(&ledger, third, BAD));
    let tried = |at: Mono| {
        let refuses = |rank: &u64| ledger.snapshot(None, rank * 7_919).is_refused(at, BAD);
        (0..100).filter(|rank| !refuses(rank)).count()
    };
    expect_that!(tried(first.minus(500)), eq(0));
    expect_that!(tried(first), all!(ge(1), le(20)));
    expect_that!(tried(first.plus(60_000)), eq(100));
}

/// An endpoint answers work that was refused. The stored row, and a leader that does not know of
/// the answer, name the work for a while longer, which must not make it refused again.
#[gtest]
fn cleared_work_is_not_refused_by_outdated_reports() {
    let mut ledger = Ledger::default();
    let now = crash_all(&mut ledger, OTHER, 0..3);
    ledger.apply(now, Sign::Answered { work: OTHER });
    let stale = RefusedWork {
        work: OTHER,
        times: 1,
    };
    expect_that!(ledger.apply_refused(now.plus(200), stale), none());
    expect_that!(refuses(&ledger, now.plus(200), OTHER), eq(false));
    let newer = RefusedWork { times: 2, ..stale };
    expect_that!(ledger.apply_refused(now.plus(200), newer), some(anything()));
}

/// The instances that saw the crashes are lost. A new instance reads the stored row, refuses the
/// work, tries it again after the refusal, and refuses it for longer after one more crash.
#[gtest]
fn reported_harmful_work_is_treated_like_observed_one() {
    let mut ledger = Ledger::default();
    let refused = RefusedWork {
        work: BAD,
        times: 1,
    };
    ledger.apply_refused(Mono(0), refused);
    expect_that!(ledger.harmful(Mono(0)), elements_are![eq(&refused)]);
    let ms = refused_for(&ledger, Mono(0), BAD);
    expect_that!(ledger.apply_refused(Mono(ms), refused), none());
    expect_that!(refuses(&ledger, Mono(ms), BAD), eq(false));
    ledger.apply(Mono(ms), crash(BAD, 5));
    expect_that!(refused_for(&ledger, Mono(ms), BAD), ge(5 * ms));
}

/// An instance was cut off when the work was found harmful, and continues to send it. All others
/// then refuse it for longer, as after an attempt of their own. An attempt that was running when
/// the work was refused changes nothing.
#[gtest]
fn a_crash_long_after_work_was_refused_counts_as_a_new_try() {
    let crashed_after = |ms| {
        let mut ledger = Ledger::default();
        let third = crash_all(&mut ledger, BAD, 0..3);
        ledger.apply(third.plus(ms), crash(BAD, 20));
        refused_for(&ledger, third.plus(ms), BAD)
    };
    expect_that!(crashed_after(500), le(45_000));
    expect_that!(crashed_after(5_000), ge(200_000));
}

/// Harmful work is at an endpoint during each of three losses of machines. Only one of its crashes
/// is attributed to them.
#[gtest]
fn losses_of_machines_do_not_excuse_harmful_work_again_and_again() {
    let mut ledger = Ledger::default();
    for n in 0..4 {
        let at = Mono(u64::from(n) * AGAIN_MS);
        ledger.apply(at, crash(BAD, n * 10));
        for other in 1..10 {
            ledger.apply(at, crash(OTHER, n * 10 + other));
        }
    }
    expect_that!(refuses(&ledger, Mono(4 * AGAIN_MS), BAD), eq(true));
}

/// A caller crashes endpoints with thousands of different requests. The ledger evicts its oldest
/// suspects and keeps harmful work, and no other work is refused.
#[gtest]
fn a_full_table_forgets_suspects_and_refuses_nobody() {
    let mut ledger = Ledger::default();
    let now = crash_all(&mut ledger, BAD, 0..3).plus(10_000);
    for n in 0..6_000_u32 {
        let at = now.plus(u64::from(n) * 10);
        ledger.apply(at, crash(Fingerprint(u64::from(1_000 + n)), 1_000 + n));
    }
    expect_that!(ledger.len(), le(4_096));
    expect_that!(
        ledger
            .snapshot(None, 0)
            .refused
            .keys()
            .copied()
            .collect::<Vec<_>>(),
        eq(&[BAD])
    );
}

fn report(session: u64, first_sign: u64, signs: Vec<Sign>) -> Report {
    Report {
        instance: InstanceName::new("one"),
        session: SessionId(session),
        number: 1,
        stopping: false,
        unfit: false,
        is_cut_off: false,
        strength: Strength(250),
        term: 1,
        seen: Versions::default(),
        endpoints: Vec::new(),
        keys: Vec::new(),
        members: Vec::new(),
        signs,
        first_sign,
        limits: Vec::new(),
        departures: Vec::new(),
        rests: Vec::new(),
        confirmed: None,
        demand: None,
    }
}

/// Datagrams may be lost, so each sign is sent in several reports; it counts once, in order.
#[gtest]
fn signs_come_once_each_though_reports_are_lost_and_repeat_them() {
    let all: Vec<_> = (0..300).map(|n| crash(BAD, n)).collect();
    let (mut outbox, mut taken) = (SignQueue::default(), SignReceiver::default());
    for sign in &all {
        outbox.push(*sign);
    }
    let mut came = Vec::new();
    for n in 0..40 {
        let (first, signs) = outbox.take();
        expect_that!(signs.len(), le(MAX_SIGNS_PER_REPORT));
        if n % 3 != 0 {
            came.extend_from_slice(taken.new_signs(&report(7, first, signs)));
        }
    }
    expect_that!(came, eq(&all));
    expect_that!(outbox.take().1, is_empty());
}

#[gtest]
fn signs_of_another_start_are_counted_anew() {
    let mut taken = SignReceiver::default();
    expect_that!(
        taken.new_signs(&report(7, 5, vec![crash(BAD, 1)])).len(),
        eq(1)
    );
    expect_that!(
        taken.new_signs(&report(7, 5, vec![crash(BAD, 1)])).len(),
        eq(0)
    );
    expect_that!(
        taken.new_signs(&report(8, 0, vec![crash(BAD, 1)])).len(),
        eq(1)
    );
}

/// Guards against work that the stored row does not name while it becomes harmful.
#[gtest]
fn work_that_has_just_become_harmful_is_remembered() {
    let mut ledger = Ledger::default();
    let now = crash_all(&mut ledger, BAD, 0..3);
    expect_that!(refuses(&ledger, now, BAD), eq(true));
    expect_that!(ledger.harmful(now), is_empty());
    let remembered = ledger.suspects_to_store(now);
    let works: Vec<_> = remembered.iter().map(|suspect| suspect.work).collect();
    expect_that!(works, elements_are![eq(&BAD)]);
    // Once it is stored as harmful, it is no longer stored as a suspect.
    let settled = now.plus(2_000);
    expect_that!(ledger.harmful(settled), len(eq(1)));
    expect_that!(ledger.suspects_to_store(settled), is_empty());
}

/// Guards against crashes that are no longer counted after a restart of all instances.
#[gtest]
fn crashes_that_the_store_remembers_count_on() {
    let mut before = Ledger::default();
    let now = crash_all(&mut before, BAD, 0..2);
    let stored = before.suspects_to_store(now);
    expect_that!(stored, len(eq(1)));
    let mut after = Ledger::default();
    for suspect in &stored {
        after.restore_suspect(now, suspect);
    }
    expect_that!(after.is_suspect(BAD), eq(true));
    expect_that!(refuses(&after, now, BAD), eq(false));
    // The same crash, reported by another instance, does not count again.
    after.apply(now, crash(BAD, 1));
    expect_that!(refuses(&after, now, BAD), eq(false));
    after.apply(now, crash(BAD, 2));
    expect_that!(refuses(&after, now, BAD), eq(true));
}
