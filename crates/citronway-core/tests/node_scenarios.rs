//! Failures of the brief against a few nodes that run together. What must always
//! hold is checked by the world at every step; see `node_world`.

mod node_world;

use googletest::prelude::*;
use node_world::expect::{SEEDS, expect_to_bear, expect_whole};
use node_world::faults::Fault;
use node_world::{INSTANCES, World, calls};

/// The store goes down moments after it accepted a change. Instances that had not
/// read it go by the old configuration for the whole outage.
#[gtest]
fn store_down_right_after_a_change() {
    let mut world = World::new(1);
    let accepted = world.operate(|_| {});
    for index in 1..INSTANCES {
        world.fault(&Fault::CutStore { index, ms: 60_000 });
    }
    world.fault_in(300, Fault::StoreDown { ms: 60_000 });
    world.run_for(5_000);
    for process in &world.processes {
        expect_that!(process.node.view().config_version(), eq(accepted));
    }
}

/// A dispatcher is lost; its work in flight is gone with it. Then the next one.
#[gtest]
fn dispatchers_killed_one_after_the_other() {
    for seed in SEEDS {
        let mut world = World::new(seed);
        world.busy = true;
        for _ in 0..2 {
            for endpoint in 0..node_world::ENDPOINTS {
                let index = world.dispatcher_of(endpoint);
                world.fault(&Fault::Kill {
                    index,
                    back_ms: 500,
                });
                world.run_for(2_500);
            }
        }
        expect_whole(&mut world);
    }
}

/// A dispatcher is stopped for longer than its promises last and goes on with
/// what its sockets hold: answers, questions, requests, all of them late.
#[gtest]
fn dispatchers_paused_past_their_lease() {
    for ms in [700, 1_500, 4_000] {
        expect_to_bear(6_000, |world| {
            let paused = (0..node_world::ENDPOINTS).map(|it| world.dispatcher_of(it));
            paused.map(|index| Fault::Pause { index, ms }).collect()
        });
    }
}

/// A dispatcher hears its successors and they do not hear it, or the reverse.
#[gtest]
fn cut_one_way() {
    for outward in [true, false] {
        expect_to_bear(5_000, |world| {
            let index = world.dispatcher_of(0);
            let others = (0..INSTANCES).filter(|it| *it != index);
            others
                .map(|other| {
                    let (from, to) = if outward {
                        (index, other)
                    } else {
                        (other, index)
                    };
                    Fault::CutOneWay {
                        from,
                        to,
                        ms: 4_000,
                    }
                })
                .collect()
        });
    }
}

/// A dispatcher reaches its endpoint and the store, and no other instance.
#[gtest]
fn cut_off_both_ways() {
    expect_to_bear(7_000, |world| {
        let index = world.dispatcher_of(0);
        vec![Fault::CutOff { index, ms: 6_000 }]
    });
}

/// A healthy endpoint is not reached by its dispatcher, or its answers are not.
#[gtest]
fn endpoint_cut_off_from_its_dispatcher() {
    for ms in [500, 4_000] {
        expect_to_bear(6_000, |world| {
            let index = world.dispatcher_of(0);
            vec![Fault::CutOrders {
                index,
                endpoint: 0,
                ms,
            }]
        });
        expect_to_bear(6_000, |world| {
            let index = world.dispatcher_of(1);
            vec![Fault::CutAnswers {
                endpoint: 1,
                index,
                ms,
            }]
        });
    }
}

/// Endpoints stand still and return with orders and renewals in their sockets;
/// in between their keys have other owners. Then the same once more.
#[gtest]
fn endpoints_frozen_twice() {
    for ms in [400, 1_200, 2_500, 6_000] {
        for seed in SEEDS {
            let mut world = World::new(seed);
            world.busy = true;
            for _ in 0..2 {
                for endpoint in 0..node_world::ENDPOINTS {
                    world.fault(&Fault::Freeze { endpoint, ms });
                    world.run_for(ms / 2);
                }
                world.run_for(ms);
            }
            expect_whole(&mut world);
        }
    }
}

/// Endpoints start again under their addresses and know no epoch and no grant.
#[gtest]
fn endpoints_restarted() {
    for down_ms in [0, 1_500] {
        expect_to_bear(4_000, |_| {
            let all = 0..node_world::ENDPOINTS;
            all.map(|endpoint| Fault::Restart { endpoint, down_ms })
                .collect()
        });
    }
}

/// A caller looks up a key again and again, under an id of its own each time and at one instance
/// after the other. The lookup ends the process of each endpoint that begins it, with all that
/// runs there, and is sent on after it has crashed three.
#[gtest]
fn a_lookup_that_crashes_endpoints_is_not_sent_on() {
    let mut world = World::new(1);
    world.harmful = Some(calls::key(3));
    let mut known = None;
    for n in 0..20 {
        world.same_lookup(n % INSTANCES, 3);
        world.run_for(3_000);
        if world.crashes >= 3 {
            known.get_or_insert(world.crashes);
        }
    }
    let known = known.expect("it has crashed three endpoints");
    expect_that!(world.crashes - known, le(3));
}

/// The store is down for long, and a process is lost meanwhile.
#[gtest]
fn store_down_and_a_process_killed() {
    expect_to_bear(20_000, |world| {
        let index = world.dispatcher_of(0);
        vec![
            Fault::StoreDown { ms: 18_000 },
            Fault::Kill {
                index,
                back_ms: 1_000,
            },
        ]
    });
}

/// The store is slow, and a dispatcher is lost meanwhile.
#[gtest]
fn store_slow_and_a_process_killed() {
    expect_to_bear(8_000, |world| {
        let index = world.dispatcher_of(1);
        vec![
            Fault::StoreSlow { ms: 8_000 },
            Fault::Kill {
                index,
                back_ms: 1_000,
            },
        ]
    });
}

/// Writes take effect without an answer, some long after their authors are dead;
/// roles and keys change hands all the time.
#[gtest]
fn answers_of_writes_lost() {
    expect_to_bear(9_000, |world| {
        let (first, second) = (world.dispatcher_of(0), world.dispatcher_of(1));
        vec![
            Fault::StoreLossy { ms: 8_000 },
            Fault::Kill {
                index: first,
                back_ms: 1_000,
            },
            Fault::Pause {
                index: second,
                ms: 3_000,
            },
            Fault::Freeze {
                endpoint: 2,
                ms: 2_000,
            },
        ]
    });
}

/// An endpoint is frozen with orders in its sockets, and its dispatcher is lost.
#[gtest]
fn endpoint_frozen_and_its_dispatcher_killed() {
    for ms in [1_000, 3_000] {
        expect_to_bear(6_000, |world| {
            let index = world.dispatcher_of(0);
            vec![
                Fault::Slow {
                    endpoint: 0,
                    ms: 500,
                },
                Fault::Freeze { endpoint: 0, ms },
                Fault::Kill {
                    index,
                    back_ms: 1_500,
                },
            ]
        });
    }
}

/// Every instance in turn is told to stop, with bookings in flight and new ones
/// coming in at every instance that is ready for them. All are answered.
#[gtest]
fn rolling_restart() {
    for seed in SEEDS {
        let mut world = World::new(seed);
        for index in 0..INSTANCES {
            world.fault(&Fault::Stop { index });
            for turn in 0..120 {
                let entry = turn % INSTANCES;
                if world.is_ready(entry) {
                    world.booking(entry, turn % calls::KEYS);
                }
                world.run_for(50);
            }
            expect_that!(world.processes[index].session.id.0, eq(2));
        }
        world.run_for(1_000);
        expect_that!(world.calls.told_other_than_answered(), is_empty());
        expect_whole(&mut world);
    }
}

/// An operator drains an endpoint while one instance is cut off from everything.
#[gtest]
fn endpoint_drained_while_an_instance_is_cut_off() {
    expect_to_bear(12_000, |world| {
        let index = world.dispatcher_of(0);
        vec![
            Fault::CutOff { index, ms: 10_000 },
            Fault::CutStore { index, ms: 10_000 },
            Fault::Drain {
                endpoint: 0,
                drain: true,
            },
        ]
    });
}

/// Two operators change the configuration at once, each on the version it saw.
/// The second is refused, and the first change is in force everywhere.
#[gtest]
fn two_operators_at_once() {
    let mut world = World::new(1);
    let seen = world.store.config_version();
    let first = world.operate(|config| config.endpoints[&node_world::endpoint::name(0)].slots = 3);
    expect_that!(world.store.accepts_config(seen), eq(false));
    world.run_for(1_000);
    for process in &world.processes {
        expect_that!(process.node.view().config_version(), eq(first));
    }
    expect_whole(&mut world);
}

/// Dispatchers are lost with bookings in flight; the callers ask again under the
/// same ids at the successors, which know nothing of them.
#[gtest]
fn bookings_repeated_after_their_dispatchers_were_killed() {
    for seed in SEEDS {
        let mut world = World::new(seed);
        let bookings: Vec<_> = (0..calls::KEYS)
            .map(|key| world.booking(key % INSTANCES, key))
            .collect();
        world.run_for(100);
        for endpoint in 0..node_world::ENDPOINTS {
            let index = world.dispatcher_of(endpoint);
            world.fault(&Fault::Kill {
                index,
                back_ms: 300,
            });
        }
        world.run_for(4_000);
        for booking in bookings {
            world.repeat(0, booking);
        }
        world.run_for(3_000);
        expect_whole(&mut world);
    }
}

/// Keys move because their endpoint stands still; the callers of bookings that
/// ran there ask again under the same ids, at the next owners.
#[gtest]
fn bookings_repeated_after_their_keys_have_moved() {
    for seed in SEEDS {
        let mut world = World::new(seed);
        let bookings: Vec<_> = (0..calls::KEYS)
            .map(|key| world.booking(key % INSTANCES, key))
            .collect();
        world.run_for(200);
        world.fault(&Fault::Freeze {
            endpoint: 0,
            ms: 6_000,
        });
        world.run_for(5_000);
        expect_that!(world.shards_of(0), eq(0));
        for booking in bookings {
            world.repeat(1, booking);
        }
        world.run_for(3_000);
        expect_whole(&mut world);
    }
}
