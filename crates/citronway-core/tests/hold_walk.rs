//! Random interleavings of holds: no second dispatcher, nothing goes back, and
//! service returns when the faults stop.

use citronway_core::hold::simulation::{Fault, Header, HoldOutcome, TimedFault, replay_script};
use citronway_core::hold::{EndpointReach, HandOverReason};
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseResult, TestRng, TestRunner};

const INSTANCES: usize = 4;
const MENDED_MS: u64 = 8_000;
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
    let timed = (300_u64..MENDED_MS, fault()).prop_map(|(at, fault)| TimedFault { at, fault });
    proptest::collection::vec(timed, 0..20)
}

/// Mends everything and makes sure that somebody is alive.
fn with_end(mut faults: Vec<TimedFault>) -> Vec<TimedFault> {
    let start = Fault::Restart { node: 3 };
    for fault in [start, Fault::MendAll] {
        let at = MENDED_MS;
        faults.push(TimedFault { at, fault });
    }
    faults
}

fn check(outcome: &HoldOutcome) -> TestCaseResult {
    prop_assert_eq!(&outcome.broken, &None);
    let last = outcome.acting.last();
    let acts = last.is_some_and(|it| it.until + 100 >= END_MS);
    prop_assert!(acts, "nobody acts at the end: {:?}", outcome);
    Ok(())
}

// What a user would see: a booking is run twice because two instances send it to
// the endpoint's server, or no request is answered although all is well again.
// The order is left to chance: crashes, restarts, pauses, cuts, store outages,
// late writes and lost answers, under clocks at the edge of what is allowed.
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
        let outcome = replay_script(&header, &with_end(faults)).expect("nodes are in range");
        check(&outcome)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
