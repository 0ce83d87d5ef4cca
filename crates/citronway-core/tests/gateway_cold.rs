//! Rate of the requests of a whole fleet to a cold endpoint.

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

/// Requests a second that the service states for a cold endpoint.
const PER_S: f64 = 5.8;

/// Factor and slack by which the platform lets the requests in a window exceed that rate.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 8.0;

const ENDPOINT: EndpointTag = EndpointTag(7);
const LENGTH_MS: u64 = 20_000;
const WINDOW_MS: u64 = 1_000;

/// Longest network delay from the leader's decision to the arrival at the endpoint.
const MAX_DELAY_MS: u64 = 60;

/// Time after the end of all tests: the store confirms the leader all the time.
const CONFIRMED: Mono = Mono(1_000_000);

/// Standing of a leader without former leaders.
fn alone() -> LeaderStanding {
    LeaderStanding {
        confirmed_at: CONFIRMED,
        former_leader_limits: FormerLeaderLimits::default(),
        former_leaders: 0,
    }
}

struct Fleet {
    instances: u64,
    random: Random,
    leaders: Vec<ColdSendLimiter>,
    /// Standing of each leader.
    standings: Vec<LeaderStanding>,
    /// Number of instances that are cut off together with the first leader.
    cut_off: usize,
    /// Index of the leader that each instance asks.
    asked_leader: Vec<usize>,
    /// Time before which each instance does not ask again.
    busy_until: Vec<Mono>,
    /// Arrival times of the requests at the endpoint, in milliseconds.
    arrivals: Vec<u64>,
}

impl Fleet {
    fn new(instances: u64, seed: u64) -> Self {
        let count = usize::try_from(instances).unwrap();
        Self {
            instances,
            random: Random::new(seed),
            leaders: vec![ColdSendLimiter::default()],
            standings: vec![alone()],
            cut_off: 0,
            asked_leader: vec![0; count],
            busy_until: vec![Mono(0); count],
            arrivals: Vec::new(),
        }
    }

    /// Elects another leader. The instances learn of it one after the other.
    fn change_leader(&mut self, now: Mono) {
        self.leaders.push(ColdSendLimiter::for_new_leader(now));
        self.standings.push(alone());
    }

    /// Stops confirming the first leader. Half of the instances are cut off together with it.
    fn lose_first_leader(&mut self, now: Mono) {
        self.standings[0].confirmed_at = now;
        self.cut_off = self.asked_leader.len() / 2;
    }

    /// Elects another leader that does not know whether the former leaders have stopped.
    fn add_concurrent_leader(&mut self, now: Mono, confirmed_at: Mono) {
        let standing = LeaderStanding {
            confirmed_at,
            former_leader_limits: LeaderSettings::default().former_leader_limits(now),
            former_leaders: u32::try_from(self.leaders.len()).unwrap(),
        };
        self.leaders.push(ColdSendLimiter::for_new_leader(now));
        self.standings.push(standing);
    }

    fn step(&mut self, now: Mono, max_wait_ms: u64, demand: u64) {
        let newest = self.leaders.len() - 1;
        for i in 0..self.asked_leader.len() {
            if i >= self.cut_off && self.asked_leader[i] < newest && self.random.chance(100) {
                self.asked_leader[i] = newest;
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
            let leader = self.asked_leader[i];
            let cfg = LeaderSettings::default();
            let share = cold::granted_share(now, &cfg, &self.standings[leader]);
            match self.leaders[leader].request_with_share(now, &req, share) {
                ColdGrant::Granted { after_ms } => {
                    let late_ms = self.random.below(MAX_DELAY_MS);
                    self.arrivals.push(now.0 + after_ms + late_ms);
                }
                ColdGrant::Busy { for_ms } => self.busy_until[i] = now.plus(for_ms),
            }
        }
    }

    /// Maximum number of requests that the endpoint got in any window.
    fn max_in_a_window(&mut self) -> usize {
        self.arrivals.sort_unstable();
        let starts = self.arrivals.iter().enumerate();
        let counts = starts.map(|(i, at)| {
            let rest = self.arrivals[i..].iter();
            rest.take_while(|later| **later < at + WINDOW_MS).count()
        });
        counts.max().unwrap_or_default()
    }
}

/// Number of requests that the platform allows in a window.
fn allowed() -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small positive number"
    )]
    let whole = PER_S.mul_add(OVERAGE, SLACK) as usize;
    whole
}

/// Guards against instances that each stay within the limit and together crash a cold endpoint.
#[gtest]
fn all_instances_together_keep_the_bound() {
    for instances in [3, 90, 300] {
        for max_wait_ms in [0, 150] {
            let mut fleet = Fleet::new(instances, instances);
            for ms in 0..LENGTH_MS {
                fleet.step(Mono(1 + ms), max_wait_ms, 1);
            }
            let most = fleet.max_in_a_window();
            expect_that!(most, le(allowed()), "{instances} instances");
            // The endpoint's capacity is used.
            let served = fleet.arrivals.len() as f64 / (LENGTH_MS as f64 / 1_000.0);
            expect_that!(served, ge(PER_S), "{instances} instances");
        }
    }
}

/// Guards against a new leader that grants the rate again that the former leader has just granted.
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
        expect_that!(fleet.max_in_a_window(), le(allowed()), "seed {seed}");
    }
}

/// Guards against leaders that do not know of each other and together grant twice the rate.
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
                2_100 => fleet.add_concurrent_leader(now, now),
                6_000 => fleet.add_concurrent_leader(now, CONFIRMED),
                _ => {}
            }
            fleet.step(now, 150, 2);
        }
        expect_that!(fleet.max_in_a_window(), le(allowed()), "seed {seed}");
    }
}

/// Guards against a leader that never grants the whole rate after a change of the leader.
#[gtest]
fn a_successor_grants_all_once_former_leaders_have_ended() {
    let cfg = LeaderSettings::default();
    let replaced = Mono(50_000);
    let standing = LeaderStanding {
        confirmed_at: CONFIRMED,
        former_leader_limits: cfg.former_leader_limits(replaced),
        former_leaders: 1,
    };
    let share = |ms| cold::granted_share(replaced.plus(ms), &cfg, &standing);
    expect_that!(share(0), none());
    expect_that!(share(cfg.connect_limit_ms + 100), some(eq(0.5)));
    expect_that!(share(cfg.former_leader_wait_ms()), some(eq(1.0)));
    let stopped = LeaderStanding {
        former_leader_limits: standing
            .former_leader_limits
            .min(cfg.stopped_former_leader_limits(replaced)),
        ..standing
    };
    let soon = replaced.plus(cfg.order_timeout_ms + 100);
    expect_that!(cold::granted_share(soon, &cfg, &stopped), some(eq(0.5)));
}

/// Guards against requests that wait longer for a grant than they can.
#[gtest]
fn a_send_that_would_wait_too_long_is_refused_with_a_retry_time() {
    let mut limiter = ColdSendLimiter::default();
    let req = ColdRequest {
        endpoint: ENDPOINT,
        per_s: 5.0,
        max_wait_ms: 100,
    };
    let now = Mono(10_000);
    let first = ColdGrant::Granted { after_ms: 0 };
    expect_that!(limiter.request(now, &req), eq(first));
    expect_that!(limiter.request(now, &req), eq(first));
    expect_that!(
        limiter.request(now, &req),
        eq(ColdGrant::Busy { for_ms: 200 })
    );
    let later = now.plus(120);
    let soon = ColdGrant::Granted { after_ms: 80 };
    expect_that!(limiter.request(later, &req), eq(soon));
    let other = ColdRequest {
        endpoint: EndpointTag(8),
        ..req
    };
    expect_that!(limiter.request(later, &other), eq(first));
}

/// Guards against requests to endpoints of a service that accepts none while it is cold.
#[gtest]
fn a_service_that_states_nothing_a_second_gets_nothing() {
    let mut limiter = ColdSendLimiter::default();
    let req = ColdRequest {
        endpoint: ENDPOINT,
        per_s: 0.0,
        max_wait_ms: 100,
    };
    let grant = limiter.request(Mono(10_000), &req);
    expect_that!(matches!(grant, ColdGrant::Busy { .. }), is_true());
}
