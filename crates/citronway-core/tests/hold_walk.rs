//! Random interleavings of holds and faults: there is never a second dispatcher, no
//! epoch or version decreases, and a session acts again when the faults end.

use citronway_core::hold::simulation::{Fault, Header, HoldOutcome, TimedFault, replay_script};
use citronway_core::hold::{EndpointReach, HandOverReason};
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseResult, TestRng, TestRunner};

const INSTANCES: usize = 4;
const RECOVERY_MS: u64 = 8_000;
const END_MS: u64 = 16_000;

fn node() -> std::ops::Range<usize> {
    0..INSTANCES
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => node().prop_map(|node| Fault::Crash { node }),
        2 => node().prop_map(|node| Fault::Restart { node }),
        3 => node().prop_map(|node| Fault::Pause { node }),
        3 => node().prop_map(|node| Fault::Continue { node }),
        3 => (node(), node()).prop_map(|(from, to)| Fault::Cut { from, to }),
        2 => (node(), node()).prop_map(|(from, to)| Fault::Mend { from, to }),
        1 => node().prop_map(|node| Fault::CutStore { node }),
        1 => Just(Fault::StoreDown),
        2 => Just(Fault::StoreUp),
        4 => (node(), 1_u64..5_000).prop_map(|(node, ms)| Fault::DelayWrite { node, ms }),
        2 => node().prop_map(|node| Fault::LoseAnswer { node }),
        1 => (node(), select(vec![EndpointReach::Lost, EndpointReach::Reached]))
            .prop_map(|(node, reach)| Fault::Reach { node, reach }),
        1 => (node(), select(vec![HandOverReason::Leaving, HandOverReason::EndpointLost]))
            .prop_map(|(node, reason)| Fault::HandOver { node, reason }),
    ]
}

fn header() -> impl Strategy<Value = Header> {
    let lag = select(vec![100, 500, 2_000]);
    let lost = select(vec![0, 20, 200]);
    let slow = select(vec![0, 20, 200]);
    (any::<u64>(), lag, lost, slow).prop_map(|(seed, lag, lost, slow)| Header {
        seed,
        instances: INSTANCES,
        end_ms: END_MS,
        list_lag_ms: lag,
        lost_per_mille: lost,
        slow_per_mille: slow,
        slow_ms: 3_000,
        ..Header::default()
    })
}

fn faults() -> impl Strategy<Value = Vec<TimedFault>> {
    let timed = (300_u64..RECOVERY_MS, fault()).prop_map(|(at, fault)| TimedFault { at, fault });
    proptest::collection::vec(timed, 0..20)
}

/// Restarts one instance, so that at least one is alive, and ends all other faults.
fn with_recovery(mut faults: Vec<TimedFault>) -> Vec<TimedFault> {
    let restart = Fault::Restart { node: 3 };
    for fault in [restart, Fault::MendAll] {
        let at = RECOVERY_MS;
        faults.push(TimedFault { at, fault });
    }
    faults
}

fn check(outcome: &HoldOutcome) -> TestCaseResult {
    prop_assert_eq!(&outcome.broken, &None);
    let last = outcome.acting.last();
    let is_acting = last.is_some_and(|it| it.until + 100 >= END_MS);
    prop_assert!(is_acting, "no session acts at the end: {:?}", outcome);
    Ok(())
}

// Failures guarded against: a request runs twice because two instances send it to
// the endpoint, or no request is answered although all faults have ended. Crashes,
// restarts, pauses, cut links, store outages, late writes and lost answers come in
// random order, with clocks at their permitted bounds.
#[test]
fn no_second_dispatcher_in_random_interleavings() {
    let config = Config {
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&(header(), faults()), |(header, faults)| {
        let outcome = replay_script(&header, &with_recovery(faults)).expect("nodes are in range");
        check(&outcome)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
