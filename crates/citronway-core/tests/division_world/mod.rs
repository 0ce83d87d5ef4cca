//! A service of 250 endpoints of two slots whose paces differ, and a leader that divides and
//! balances its keys. The steps of a move take the times that they take between machines.

#[path = "../leader_world/random.rs"]
#[expect(dead_code, reason = "shared with the tests of the leader")]
mod random;

use citronway_core::gateway::assignment::{Assignment, Holder, Range};
use citronway_core::gateway::hot_range::{Division, HotRanges};
use citronway_core::gateway::keyload::KeyLoads;
use citronway_core::gateway::leader::Move;
use citronway_core::gateway::placement::{Balance, PlacementEndpoint, PlacementInput, propose_by};
use citronway_core::ids::EndpointStart;
use citronway_core::time::Mono;
use indexmap::IndexMap;
use random::Random;

pub const ENDPOINTS: usize = 250;
const SLOTS: f64 = 2.0;
const WORK_MS: f64 = 160.0;
const STEP_MS: u64 = 50;
const PLAN_MS: u64 = 100;
/// Time from a request to the report that reaches the leader through a delegate, at most.
const REPORT_MS: u64 = 200;
/// Shortest and longest time from a plan until all instances know the new owner: two writes, the
/// seal, the end of work in progress and the grant.
const MOVE_MS: (u64, u64) = (150, 450);

/// Requests a second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// For all keys alike.
    pub even: f64,
    /// For the hot keys.
    pub hot: f64,
    pub first: u16,
    pub keys: u64,
    /// For one more key, the first hot one.
    pub single: f64,
    /// Half of the height of a wave over quarters of the keys, with a period of 17 s.
    pub wave: f64,
}

impl Load {
    /// Requests a second of a key, without the wave.
    fn of(&self, key: u16) -> f64 {
        let even = self.even / 65_536.0;
        let offset = u64::from(key.wrapping_sub(self.first));
        let hot = if offset < self.keys {
            self.hot / self.keys as f64
        } else {
            0.0
        };
        even + hot + if key == self.first { self.single } else { 0.0 }
    }
}

pub struct World {
    pub now: Mono,
    pub row: Assignment,
    load: KeyLoads,
    hot: HotRanges,
    /// Requests that have not been reported yet.
    unreported: Vec<(Mono, u16)>,
    /// Requests a second that each endpoint can serve, and the requests that wait there.
    endpoints: IndexMap<EndpointStart, (f64, f64)>,
    under_way: Vec<(Mono, Move)>,
    /// Moves with their times and the owners before.
    pub moves: Vec<(Mono, Move, EndpointStart)>,
    pub divisions: Vec<Division>,
    random: Random,
    sent: f64,
    late: f64,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut random = Random::new(seed);
        let name = |i: usize| EndpointStart::new(&format!("e{i:03}"), None);
        let ranges = (0..ENDPOINTS).map(|i| Range {
            first: u16::try_from(i * 65_536 / ENDPOINTS).unwrap(),
            last: u16::try_from((i + 1) * 65_536 / ENDPOINTS - 1).unwrap(),
            holder: Holder {
                endpoint: name(i),
                address: ([10, 0, 0, 1], 80).into(),
                fence: i as u64,
            },
            next: None,
        });
        let row = Assignment {
            term: 1,
            next_fence: 1_000_000,
            ranges: ranges.collect(),
        };
        let endpoints = (0..ENDPOINTS).map(|i| {
            let pace = 0.7 + random.below(1_000) as f64 / 1_000.0;
            (name(i), (SLOTS * 1_000.0 / WORK_MS * pace, 0.0))
        });
        Self {
            now: Mono(0),
            row,
            load: KeyLoads::new(Mono(0), 6_000.0, 400.0),
            hot: HotRanges::default(),
            unreported: Vec::new(),
            endpoints: endpoints.collect(),
            under_way: Vec::new(),
            moves: Vec::new(),
            divisions: Vec::new(),
            random,
            sent: 0.0,
            late: 0.0,
        }
    }

    pub fn run(&mut self, for_ms: u64, load: &Load) {
        (self.sent, self.late) = (0.0, 0.0);
        let end = self.now.plus(for_ms);
        while self.now < end {
            self.now = self.now.plus(STEP_MS);
            for (capacity, waiting) in self.endpoints.values_mut() {
                *waiting = (*waiting - *capacity * STEP_MS as f64 / 1_000.0).max(0.0);
            }
            self.send_all(load);
            self.report();
            self.end_moves();
            if self.now.0.is_multiple_of(PLAN_MS) {
                self.plan();
            }
        }
    }

    fn send_all(&mut self, load: &Load) {
        for _ in 0..self.count(load.even) {
            let key = self.random.below(65_536);
            let phase = self.now.0 as f64 / 17_000.0 + key as f64 / 65_536.0;
            let kept = 1.0 + load.wave * (phase * std::f64::consts::TAU).sin();
            if self.fraction() * (1.0 + load.wave) < kept {
                self.send(u16::try_from(key).unwrap());
            }
        }
        for _ in 0..self.count(load.hot) {
            let key = u64::from(load.first) + self.random.below(load.keys);
            self.send(u16::try_from(key).unwrap());
        }
        for _ in 0..self.count(load.single) {
            self.send(load.first);
        }
    }

    fn fraction(&mut self) -> f64 {
        self.random.below(1_000_000) as f64 / 1_000_000.0
    }

    /// Random number of requests in a step.
    fn count(&mut self, per_s: f64) -> u64 {
        // A sum of many small chances, of the same mean and variance as independent arrivals.
        let chances = 4.0 * per_s * STEP_MS as f64 / 1_000.0;
        let mut count = 0;
        let mut left = chances;
        while left > 0.0 {
            count += u64::from(self.fraction() < 0.25 * left.min(1.0));
            left -= 1.0;
        }
        count
    }

    fn send(&mut self, key: u16) {
        let at = self.now.plus(self.random.below(REPORT_MS));
        self.unreported.push((at, key));
        let owner = &self.row.range_at(key).unwrap().holder.endpoint;
        let (capacity, waiting) = self.endpoints.get_mut(owner).unwrap();
        self.sent += 1.0;
        // Callers give up what waits for over half a second.
        if *waiting > *capacity * 0.5 {
            self.late += 1.0;
        } else {
            *waiting += 1.0;
        }
    }

    fn report(&mut self) {
        let now = self.now;
        for (_, key) in self.unreported.extract_if(.., |(at, _)| *at <= now) {
            self.load.add(key);
            self.hot.add(now, key);
        }
    }

    /// Share of the last run's requests that were late.
    pub fn late_share(&self) -> f64 {
        self.late / self.sent
    }

    fn plan(&mut self) {
        let now = self.now;
        self.load.decay(now);
        let endpoints: Vec<_> = self
            .endpoints
            .iter()
            .map(|(endpoint, (capacity, waiting))| PlacementEndpoint {
                endpoint: endpoint.clone(),
                capacity: *capacity,
                accepts_keys: true,
                must_drain: false,
                has_queue: *waiting > SLOTS,
            })
            .collect();
        let divisions = self.hot.divide(now, &self.row, &mut self.load, &endpoints);
        let mut moves: Vec<_> = divisions.iter().flat_map(|d| d.moves.clone()).collect();
        self.divisions.extend(divisions);
        if moves.is_empty() {
            let input = PlacementInput {
                row: &self.row,
                load: &self.load,
                endpoints: &endpoints,
            };
            let rests = self.hot.rests();
            moves = propose_by(&input, Balance::Calm { now, rests });
        }
        self.hot.record_moves(now, &moves);
        for planned in moves {
            let from = self.begin(&planned);
            let takes = MOVE_MS.0 + self.random.below(MOVE_MS.1 - MOVE_MS.0);
            self.moves.push((now, planned.clone(), from));
            self.under_way.push((now.plus(takes), planned));
        }
    }

    /// Splits the range of a planned move and records its target; returns the owner before.
    fn begin(&mut self, planned: &Move) -> EndpointStart {
        let i = self
            .row
            .ranges
            .iter()
            .position(|r| r.first <= planned.span.first && planned.span.last <= r.last)
            .unwrap();
        let old = self.row.ranges.remove(i);
        let mut parts = Vec::new();
        if old.first < planned.span.first {
            parts.push(Range {
                last: planned.span.first - 1,
                ..old.clone()
            });
        }
        parts.push(Range {
            first: planned.span.first,
            last: planned.span.last,
            holder: old.holder.clone(),
            next: Some(Holder {
                endpoint: planned.to.clone(),
                ..old.holder.clone()
            }),
        });
        let from = old.holder.endpoint.clone();
        if planned.span.last < old.last {
            parts.push(Range {
                first: planned.span.last + 1,
                ..old
            });
        }
        self.row.ranges.splice(i..i, parts);
        from
    }

    fn end_moves(&mut self) {
        let now = self.now;
        for (_, planned) in self.under_way.extract_if(.., |(at, _)| *at <= now) {
            let mut ranges = self.row.ranges.iter_mut();
            let range = ranges.find(|range| range.first == planned.span.first);
            if let Some(next) = range.and_then(|range| range.next.take().map(|n| (range, n))) {
                next.0.holder = next.1;
            }
        }
    }

    /// Share of the hot keys' requests whose owners can serve all of their load.
    pub fn share_held(&self, load: &Load) -> f64 {
        let mut by_owner = IndexMap::<_, (f64, f64)>::new();
        for key in 0..=u16::MAX {
            let owner = &self.row.range_at(key).unwrap().holder.endpoint;
            let (all, hot) = by_owner.entry(owner).or_default();
            *all += load.of(key);
            if u64::from(key.wrapping_sub(load.first)) < load.keys {
                *hot += load.of(key);
            }
        }
        let held = by_owner
            .iter()
            .filter(|(owner, (all, _))| *all <= self.endpoints[**owner].0)
            .map(|(_, (_, hot))| hot);
        held.sum::<f64>() / (load.hot + load.single)
    }

    pub fn owner(&self, key: u16) -> EndpointStart {
        self.row.range_at(key).unwrap().holder.endpoint.clone()
    }

    /// Number of keys that were moved, relative to all keys.
    pub fn moved_keys(&self) -> f64 {
        let widths = self
            .moves
            .iter()
            .map(|(_, planned, _)| f64::from(planned.span.last - planned.span.first) + 1.0);
        widths.sum::<f64>() / 65_536.0
    }

    /// Number of moves since move `from` that gave keys back to an owner that had them before.
    pub fn moved_back(&self, from: usize) -> usize {
        let later = &self.moves[from..];
        let returns = |i: usize| {
            let (_, planned, _) = &later[i];
            later[..i].iter().any(|(_, earlier, owner)| {
                *owner == planned.to && earlier.span.overlaps(planned.span)
            })
        };
        (0..later.len()).filter(|i| returns(*i)).count()
    }
}
