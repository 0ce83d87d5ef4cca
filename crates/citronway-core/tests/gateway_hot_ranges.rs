//! Hot ranges of a large service: how soon they are spread, and what callers get meanwhile.

#[path = "leader_world/random.rs"]
#[expect(dead_code, reason = "shared with the tests of the leader")]
mod random;

use citronway_core::gateway::assignment::{Assignment, Holder, Range};
use citronway_core::gateway::keyload::KeyLoads;
use citronway_core::gateway::leader::Move;
use citronway_core::gateway::placement::{PlacementEndpoint, PlacementInput, propose};
use citronway_core::ids::EndpointStart;
use citronway_core::time::Mono;
use googletest::prelude::*;
use indexmap::IndexMap;
use random::Random;

const ENDPOINTS: usize = 602;
const SLOTS: f64 = 6.0;
/// Requests a second of an endpoint with six slots and work of 570 ms.
const CAPACITY: f64 = 10.5;
const STEP_MS: u64 = 100;
/// Time between two plans, and from a plan until its moves have ended, in milliseconds.
const PLAN_MS: u64 = 300;
const MOVE_MS: u64 = 600;
/// Requests that an endpoint can have before it and still be in time.
const IN_TIME: f64 = CAPACITY;

struct Load {
    /// Requests a second of all keys alike.
    even: u64,
    /// Requests a second of the hot keys.
    hot: u64,
    first: u16,
    keys: u64,
}

struct World {
    now: Mono,
    row: Assignment,
    load: KeyLoads,
    backlog: IndexMap<EndpointStart, f64>,
    under_way: Vec<(Mono, Move)>,
    random: Random,
    moved: usize,
}

impl World {
    fn new(seed: u64) -> Self {
        let endpoint = |i: usize| EndpointStart::new(&format!("e{i:03}"), None);
        let ranges = (0..ENDPOINTS).map(|i| Range {
            first: u16::try_from(i * 65_536 / ENDPOINTS).unwrap(),
            last: u16::try_from((i + 1) * 65_536 / ENDPOINTS - 1).unwrap(),
            holder: Holder {
                endpoint: endpoint(i),
                address: ([10, 0, 0, 1], 80).into(),
                fence: i as u64,
            },
            next: None,
        });
        Self {
            now: Mono(0),
            row: Assignment {
                next_fence: 1_000_000,
                ranges: ranges.collect(),
            },
            load: KeyLoads::new(Mono(0), 6_000.0, 400.0),
            backlog: (0..ENDPOINTS).map(|i| (endpoint(i), 0.0)).collect(),
            under_way: Vec::new(),
            random: Random::new(seed),
            moved: 0,
        }
    }

    /// Plays a load; the share of the hot keys' requests that are in time.
    fn play(&mut self, for_ms: u64, load: &Load) -> f64 {
        let end = self.now.plus(for_ms);
        let (mut sent, mut in_time) = (0.0, 0.0);
        while self.now < end {
            self.now = self.now.plus(STEP_MS);
            self.load.decay(self.now);
            for left in self.backlog.values_mut() {
                *left = (*left - CAPACITY * STEP_MS as f64 / 1_000.0).max(0.0);
            }
            for _ in 0..load.even / 10 {
                let key = self.random.below(65_536);
                self.request(u16::try_from(key).unwrap());
            }
            for _ in 0..load.hot / 10 {
                let key = u64::from(load.first) + self.random.below(load.keys);
                sent += 1.0;
                in_time += f64::from(u8::from(self.request(u16::try_from(key).unwrap())));
            }
            self.end_moves();
            if self.now.0.is_multiple_of(PLAN_MS) {
                self.plan();
            }
        }
        in_time / f64::max(sent, 1.0)
    }

    fn request(&mut self, key: u16) -> bool {
        self.load.add(key);
        let owner = &self.row.range_at(key).unwrap().holder.endpoint;
        let left = self.backlog.get_mut(owner).unwrap();
        if *left >= IN_TIME {
            return false;
        }
        *left += 1.0;
        true
    }

    fn plan(&mut self) {
        let places: Vec<_> = self
            .backlog
            .iter()
            .map(|(endpoint, left)| PlacementEndpoint {
                endpoint: endpoint.clone(),
                capacity: CAPACITY,
                accepts_keys: true,
                must_drain: false,
                has_queue: *left > SLOTS,
            })
            .collect();
        let moves = propose(&PlacementInput {
            row: &self.row,
            load: &self.load,
            endpoints: &places,
        });
        for wish in moves {
            self.begin(&wish);
            self.moved += 1;
            self.under_way.push((self.now.plus(MOVE_MS), wish));
        }
    }

    /// Sets the keys of a move apart.
    fn begin(&mut self, wish: &Move) {
        let i = self
            .row
            .ranges
            .iter()
            .position(|range| range.first <= wish.span.first && wish.span.last <= range.last)
            .unwrap();
        let old = self.row.ranges.remove(i);
        let mut parts = Vec::new();
        if old.first < wish.span.first {
            parts.push(Range {
                last: wish.span.first - 1,
                ..old.clone()
            });
        }
        parts.push(Range {
            first: wish.span.first,
            last: wish.span.last,
            holder: old.holder.clone(),
            next: Some(Holder {
                endpoint: wish.to.clone(),
                ..old.holder.clone()
            }),
        });
        if wish.span.last < old.last {
            parts.push(Range {
                first: wish.span.last + 1,
                ..old
            });
        }
        self.row.ranges.splice(i..i, parts);
    }

    fn end_moves(&mut self) {
        let now = self.now;
        let ended = self.under_way.extract_if(.., |(at, _)| *at <= now);
        for (_, wish) in ended {
            let mut ranges = self.row.ranges.iter_mut();
            let range = ranges.find(|range| range.first == wish.span.first);
            if let Some(next) = range.and_then(|range| range.next.take().map(|n| (range, n))) {
                next.0.holder = next.1;
            }
        }
    }
}

/// A service of 602 endpoints at four tenths of what it can do. Then 200 keys beside each
/// other, which two endpoints have, get four requests in ten: a hundred times what the two
/// can do. One or two pieces were moved at a time, and after eight seconds callers of these
/// keys were still refused, with half of the service idle.
#[gtest]
fn a_hot_range_is_spread_within_two_seconds() {
    // Traffic has lasted for a while, or has begun two seconds ago.
    for (seed, calm_ms) in [(0, 9_000), (1, 9_000), (2, 1_800), (3, 1_800)] {
        let mut world = World::new(seed);
        let calm = Load {
            even: 2_570,
            hot: 0,
            first: 0,
            keys: 1,
        };
        let none = Load { even: 0, ..calm };
        world.play(9_000, &none);
        world.play(calm_ms, &calm);
        let moved_in_calm = world.moved;
        let hot = Load {
            even: 1_570,
            hot: 1_000,
            first: 20_000,
            keys: 200,
        };
        world.play(2_100, &hot);
        let share = world.play(3_000, &hot);
        expect_that!(share, gt(0.9), "seed {seed}");
        expect_that!(moved_in_calm, le(30), "seed {seed}");
    }
}
