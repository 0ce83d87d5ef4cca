//! Sends to cold endpoints from a whole fleet, summed as the endpoint sees them.

#[path = "leader_world/random.rs"]
#[expect(dead_code, reason = "shared with the tests of the leader")]
mod random;

use citronway_core::gateway::cold::{
    self, ColdGrant, ColdRequest, ColdSendLimiter, LeaderStanding,
};
use citronway_core::gateway::leader::{FormerLeaderLimits, LeaderSettings};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::time::Mono;
use googletest::prelude::*;
use random::Random;

/// What a service states of its cold endpoints, and the platform's bound on it.
const PER_S: f64 = 5.8;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 8.0;

const ENDPOINT: EndpointTag = EndpointTag(7);
const LENGTH_MS: u64 = 20_000;
const WINDOW_MS: u64 = 1_000;

/// Longest time that an answer of the leader, and a send, are on their way.
const ON_THE_WAY_MS: u64 = 60;

/// Far later than any test plays: the store confirms the leader all the time.
const CONFIRMED: Mono = Mono(1_000_000);

/// A leader that knows of no other.
fn alone() -> LeaderStanding {
    LeaderStanding {
        confirmed_at: CONFIRMED,
        rivals: FormerLeaderLimits::default(),
        earlier_leaders: 0,
    }
}

struct Fleet {
    instances: u64,
    random: Random,
    leaders: Vec<ColdSendLimiter>,
    /// What each leader knows of the others.
    offices: Vec<LeaderStanding>,
    /// Instances that are cut off with the first leader.
    cut_off: usize,
    /// Which leader each instance asks.
    asks: Vec<usize>,
    /// Until when each instance asks no more.
    busy_until: Vec<Mono>,
    sent: Vec<u64>,
}

impl Fleet {
    fn new(instances: u64, seed: u64) -> Self {
        let count = usize::try_from(instances).unwrap();
        Self {
            instances,
            random: Random::new(seed),
            leaders: vec![ColdSendLimiter::default()],
            offices: vec![alone()],
            cut_off: 0,
            asks: vec![0; count],
            busy_until: vec![Mono(0); count],
            sent: Vec::new(),
        }
    }

    /// Another leader takes office; instances hear of it one after the other.
    fn change_leader(&mut self, now: Mono) {
        self.leaders.push(ColdSendLimiter::for_new_leader(now));
        self.offices.push(alone());
    }

    /// The store confirms the first leader no more; half of the instances stay with it.
    fn lose_first_leader(&mut self, now: Mono) {
        self.offices[0].confirmed_at = now;
        self.cut_off = self.asks.len() / 2;
    }

    /// Another leader takes office, which does not know whether those before it have stopped.
    fn add_rival(&mut self, now: Mono, contact: Mono) {
        let office = LeaderStanding {
            confirmed_at: contact,
            rivals: LeaderSettings::default().former_leader_limits(now),
            earlier_leaders: u32::try_from(self.leaders.len()).unwrap(),
        };
        self.leaders.push(ColdSendLimiter::for_new_leader(now));
        self.offices.push(office);
    }

    fn step(&mut self, now: Mono, max_wait_ms: u64, demand: u64) {
        let newest = self.leaders.len() - 1;
        for i in 0..self.asks.len() {
            if i >= self.cut_off && self.asks[i] < newest && self.random.chance(100) {
                self.asks[i] = newest;
            }
        }
        for _ in 0..demand {
            let i = usize::try_from(self.random.below(self.instances)).unwrap();
            if now < self.busy_until[i] {
                continue;
            }
            let req = ColdRequest {
                endpoint: ENDPOINT,
                per_s: PER_S * OVERAGE,
                max_wait_ms,
            };
            let leader = self.asks[i];
            let cfg = LeaderSettings::default();
            let part = cold::granted_share(now, &cfg, &self.offices[leader]);
            match self.leaders[leader].request_with_share(now, &req, part) {
                ColdGrant::Granted { after_ms } => {
                    let late_ms = self.random.below(ON_THE_WAY_MS);
                    self.sent.push(now.0 + after_ms + late_ms);
                }
                ColdGrant::Busy { for_ms } => self.busy_until[i] = now.plus(for_ms),
            }
        }
    }

    /// Most requests that the endpoint got in any second.
    fn most_in_a_window(&mut self) -> usize {
        self.sent.sort_unstable();
        let starts = self.sent.iter().enumerate();
        let counts = starts.map(|(i, at)| {
            let rest = self.sent[i..].iter();
            rest.take_while(|later| **later < at + WINDOW_MS).count()
        });
        counts.max().unwrap_or_default()
    }
}

fn allowed() -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small positive number"
    )]
    let whole = PER_S.mul_add(OVERAGE, SLACK) as usize;
    whole
}

/// Guards against instances that each keep to the bound and crash a cold endpoint together.
#[gtest]
fn all_instances_together_keep_the_bound() {
    for instances in [3, 90, 300] {
        for max_wait_ms in [0, 150] {
            let mut fleet = Fleet::new(instances, instances);
            for ms in 0..LENGTH_MS {
                fleet.step(Mono(1 + ms), max_wait_ms, 1);
            }
            let most = fleet.most_in_a_window();
            expect_that!(most, le(allowed()), "{instances} instances");
            // It is used for what it can do, and not left out.
            let served = fleet.sent.len() as f64 / (LENGTH_MS as f64 / 1_000.0);
            expect_that!(served, ge(PER_S), "{instances} instances");
        }
    }
}

/// Guards against a new leader that grants again what its predecessor has just granted.
#[gtest]
fn a_change_of_the_leader_keeps_the_bound() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(90, seed);
        for ms in 0..LENGTH_MS {
            let now = Mono(1 + ms);
            if ms % 3_000 == 2_999 {
                fleet.change_leader(now);
            }
            fleet.step(now, 150, 1);
        }
        expect_that!(fleet.most_in_a_window(), le(allowed()), "seed {seed}");
    }
}

/// Guards against leaders that do not know of one another and grant twice what is allowed.
#[gtest]
fn leaders_beside_each_other_keep_the_bound_together() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(90, seed);
        let lost = Mono(2_000);
        for ms in 0..LENGTH_MS {
            let now = Mono(1 + ms);
            match ms {
                2_000 => fleet.lose_first_leader(lost),
                // The second leader loses the store as well.
                2_100 => fleet.add_rival(now, now),
                6_000 => fleet.add_rival(now, CONFIRMED),
                _ => {}
            }
            fleet.step(now, 150, 2);
        }
        expect_that!(fleet.most_in_a_window(), le(allowed()), "seed {seed}");
    }
}

/// Guards against cold endpoints that are left out for good after a change of the leader.
#[gtest]
fn a_successor_grants_all_once_earlier_leaders_have_ended() {
    let cfg = LeaderSettings::default();
    let replaced = Mono(50_000);
    let office = LeaderStanding {
        confirmed_at: CONFIRMED,
        rivals: cfg.former_leader_limits(replaced),
        earlier_leaders: 1,
    };
    let part = |ms| cold::granted_share(replaced.plus(ms), &cfg, &office);
    expect_that!(part(0), none());
    expect_that!(part(cfg.connect_limit_ms + 100), some(eq(0.5)));
    expect_that!(part(cfg.former_leader_wait_ms()), some(eq(1.0)));
    let stopped = LeaderStanding {
        rivals: office
            .rivals
            .min(cfg.stopped_former_leader_limits(replaced)),
        ..office
    };
    let soon = replaced.plus(cfg.order_timeout_ms + 100);
    expect_that!(cold::granted_share(soon, &cfg, &stopped), some(eq(0.5)));
}

/// Guards against requests that wait for a turn longer than they said.
#[gtest]
fn a_turn_that_comes_too_late_is_refused_with_its_time() {
    let mut sends = ColdSendLimiter::default();
    let req = ColdRequest {
        endpoint: ENDPOINT,
        per_s: 5.0,
        max_wait_ms: 100,
    };
    let now = Mono(10_000);
    let first = ColdGrant::Granted { after_ms: 0 };
    expect_that!(sends.request(now, &req), eq(first));
    expect_that!(sends.request(now, &req), eq(first));
    expect_that!(
        sends.request(now, &req),
        eq(ColdGrant::Busy { for_ms: 200 })
    );
    let later = now.plus(120);
    let soon = ColdGrant::Granted { after_ms: 80 };
    expect_that!(sends.request(later, &req), eq(soon));
    let other = ColdRequest {
        endpoint: EndpointTag(8),
        ..req
    };
    expect_that!(sends.request(later, &other), eq(first));
}

/// Guards against a service that takes nothing while it is cold.
#[gtest]
fn a_service_that_states_nothing_a_second_gets_nothing() {
    let mut sends = ColdSendLimiter::default();
    let req = ColdRequest {
        endpoint: ENDPOINT,
        per_s: 0.0,
        max_wait_ms: 100,
    };
    let grant = sends.request(Mono(10_000), &req);
    expect_that!(matches!(grant, ColdGrant::Busy { .. }), is_true());
}
