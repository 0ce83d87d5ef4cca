//! Faults that running nodes together has shown, each with its story.

mod node_world;

use googletest::prelude::*;
use node_world::expect::{SEEDS, expect_to_bear, expect_whole};
use node_world::faults::Fault;
use node_world::{INSTANCES, World, calls};

/// The endpoint runs a lookup and its answer is lost. The entry tries again, too
/// late: the endpoint's dispatcher refuses. The caller is told `not run`.
#[gtest]
fn second_try_refused_after_the_first_ran() {
    for seed in SEEDS {
        let mut world = World::new(seed);
        for endpoint in 0..node_world::ENDPOINTS {
            world.fault(&Fault::AnswersLost {
                endpoint,
                ms: 60_000,
            });
        }
        let lookups: Vec<_> = (0..calls::KEYS).map(|key| world.lookup(0, key)).collect();
        world.run_for(4_000);
        for lookup in lookups {
            expect_that!(world.calls.told(lookup), starts_with("may have run"));
        }
        world.look_at_calls();
        expect_that!(world.violations, is_empty());
    }
}

/// All instances are replaced at one moment, as by a platform's upgrade. Callers
/// find no key served ever again: the rows name only sessions that are gone, and
/// nobody may rewrite them, since each instance knows all of them to be gone but
/// its own predecessor.
#[gtest]
fn all_instances_start_again() {
    let mut world = World::new(1);
    for index in 0..INSTANCES {
        world.fault(&Fault::Kill {
            index,
            back_ms: 300,
        });
    }
    expect_whole(&mut world);
}

/// An operator takes an endpoint out of the configuration and puts it back; its
/// dispatcher was lost meanwhile. The endpoint gets keys and serves none of them:
/// its next dispatcher took over while it was not configured and never started.
#[gtest]
fn endpoint_taken_out_and_put_back() {
    let mut world = World::new(1);
    let whole = world.store.config().expect("a configuration");
    world.operate(|config| {
        config
            .endpoints
            .shift_remove(&node_world::endpoint::name(0));
    });
    world.run_for(3_000);
    let index = world.dispatcher_of(0);
    world.fault(&Fault::Kill {
        index,
        back_ms: 300,
    });
    world.run_for(3_000);
    world.operate(|config| *config = whole);
    world.run_for(40_000);
    expect_that!(world.shards_of(0), gt(0));
    expect_whole(&mut world);
}

/// An instance is stopped while bookings of its dispatcher have timed out and may
/// have run. Their callers ask again under the same ids, at the successor, which
/// runs them a second time: it was handed a table without those ids.
#[gtest]
fn stopped_with_unresolved_bookings() {
    for seed in SEEDS {
        let mut world = World::new(seed);
        let index = world.dispatcher_of(0);
        let other = (index + 1) % INSTANCES;
        world.fault(&Fault::AnswersLost {
            endpoint: 0,
            ms: 1_000,
        });
        let bookings: Vec<_> = (0..calls::KEYS)
            .map(|key| world.booking(index, key))
            .collect();
        world.run_for(1_000);
        world.fault(&Fault::Stop { index });
        world.run_for(4_000);
        for booking in bookings {
            world.repeat(other, booking);
        }
        world.run_for(4_000);
        expect_that!(world.violations, is_empty());
    }
}

/// An endpoint stands still while the store is down, so that its keys cannot get
/// another owner, and comes back. Its keys are answered `moving` ever after: its
/// dispatcher has barred them and the planner sees nothing to do.
#[gtest]
fn endpoint_back_before_its_keys_could_move() {
    expect_to_bear(12_000, |_| {
        vec![
            Fault::StoreDown { ms: 10_000 },
            Fault::Freeze {
                endpoint: 0,
                ms: 4_000,
            },
        ]
    });
}

/// A key leaves an endpoint that does not check. Its dispatcher reports it
/// released and is lost; the report waits at the planner, which is paused. The
/// dispatcher that takes over still serves the key there. The planner goes on,
/// believes the report, and the key runs at its next owner at the same time.
#[gtest]
fn released_then_dispatcher_killed_while_the_planner_is_paused() {
    let mut tried = 0;
    for seed in 1..12 {
        let mut world = World::new(seed);
        let index = world.dispatcher_of(2);
        world.fault(&Fault::Stop { index });
        world.run_for(6_000);
        let (planner, dispatcher) = (world.planner(), world.dispatcher_of(2));
        if planner == dispatcher {
            continue;
        }
        world.operate(|config| {
            let labels = &mut config.endpoints[&node_world::endpoint::name(2)].labels;
            labels.insert("app".to_owned(), "other".to_owned());
        });
        while !world.is_leaving(2) {
            world.run_for(1);
        }
        world.run_for(5);
        world.fault(&Fault::Pause {
            index: planner,
            ms: 1_900,
        });
        world.run_for(200);
        world.fault(&Fault::Kill {
            index: dispatcher,
            back_ms: 9_000,
        });
        let entry = (0..INSTANCES).find(|it| *it != planner && *it != dispatcher);
        for turn in 0..600 {
            world.lookup(entry.unwrap_or(0), turn % calls::KEYS);
            world.run_for(5);
        }
        expect_whole(&mut world);
        tried += 1;
    }
    expect_that!(tried, gt(3));
}

/// An instance is told to stop while others forward to it without a pause. One of
/// them has not heard yet who dispatches next, and its request arrives at a
/// process that has just exited: its caller is told that it may have run.
#[gtest]
fn forwards_on_their_way_to_an_instance_that_exits() {
    for seed in SEEDS {
        let mut world = World::new(seed);
        let index = world.dispatcher_of(0);
        let entry = (index + 1) % INSTANCES;
        world.fault(&Fault::Stop { index });
        for turn in 0..3_000 {
            world.booking(entry, turn % calls::KEYS);
            world.run_for(1);
        }
        world.run_for(2_000);
        let blurred = world.calls.told_other_than_answered();
        expect_that!(blurred, not(contains(starts_with("may have run"))));
        expect_whole(&mut world);
    }
}

/// A key is on its way from an endpoint whose dispatcher hands its role over. The
/// next one finds nothing in flight and reports the key released at once, while
/// the predecessor's grant at the endpoint has most of a second to go.
#[gtest]
fn handed_over_while_a_key_moves() {
    let mut world = World::new(12_947_516_892_831_710_979);
    world.busy = true;
    world.fault_in(
        2_571,
        Fault::Drain {
            endpoint: 1,
            drain: true,
        },
    );
    world.fault_in(3_826, Fault::StoreSlow { ms: 1_819 });
    world.fault_in(
        4_018,
        Fault::CutOneWay {
            from: 1,
            to: 3,
            ms: 1_584,
        },
    );
    world.fault_in(5_360, Fault::Stop { index: 2 });
    world.run_for(12_500);
    expect_whole(&mut world);
}
