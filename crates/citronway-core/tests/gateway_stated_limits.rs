//! Limits that endpoints state, kept by a fleet whose leader grants the sends.

#[path = "leader_world/random.rs"]
#[expect(dead_code, reason = "shared with the tests of the leader")]
mod random;

use citronway_core::gateway::cold::LeaderStanding;
use citronway_core::gateway::leader::{FormerLeaderLimits, LeaderSettings};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::stated_limits::{
    LimitChange, LimitedSendLimiter, LocalShare, SendGrant, SendGrants, SendRequest, StatedLimit,
    StatedLimits, leader_share,
};
use citronway_core::time::Mono;
use googletest::prelude::*;
use random::Random;

const ENDPOINT: EndpointTag = EndpointTag(7);
const LENGTH_MS: u64 = 40_000;
const WINDOW_MS: u64 = 4_000;

/// Factor and number by which requests in a window may exceed the limit.
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Part of a limit that is used at least while enough work waits.
const USED_PART: f64 = 0.9;

/// Longest time that a query, its answer or a request takes on its way, in milliseconds.
const MAX_DELAY_MS: u64 = 20;

/// Interval at which an instance looks whether it may send, in milliseconds.
const LOOK_MS: u64 = 20;

/// Which leader an instance asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Asks {
    Leader(usize),
    /// No leader answers.
    Nobody,
}

struct Member {
    grants: SendGrants,
    own_share: LocalShare,
    asks: Asks,
    /// Answer under way, with its time of arrival and the request that asked.
    answer: Option<(Mono, u64, SendGrant)>,
    /// Requests that wait for a send.
    waiting: u64,
    /// Mean number of new requests a second.
    demand_per_s: u64,
}

struct Fleet {
    per_s: f64,
    random: Random,
    leaders: Vec<LimitedSendLimiter>,
    members: Vec<Member>,
    tickets: u64,
    arrivals: Vec<u64>,
    queries: u64,
}

impl Fleet {
    /// A fleet in which member `i` has `demand(i)` new requests a second.
    fn new(instances: u64, per_s: f64, seed: u64, demand: impl Fn(u64) -> u64) -> Self {
        let members = (0..instances).map(|i| Member {
            grants: SendGrants::default(),
            own_share: LocalShare::default(),
            asks: Asks::Leader(0),
            answer: None,
            waiting: 0,
            demand_per_s: demand(i),
        });
        Self {
            per_s,
            random: Random::new(seed),
            leaders: vec![LimitedSendLimiter::default()],
            members: members.collect(),
            tickets: 0,
            arrivals: Vec::new(),
            queries: 0,
        }
    }

    fn play(&mut self, from_ms: u64, until_ms: u64) {
        for ms in from_ms..until_ms {
            self.step(Mono(100_000 + ms));
        }
    }

    fn ask_all(&mut self, asks: Asks) {
        for member in &mut self.members {
            member.asks = asks;
        }
    }

    fn step(&mut self, now: Mono) {
        for i in 0..self.members.len() {
            let member = &mut self.members[i];
            let demand = member.demand_per_s;
            member.waiting += demand / 1_000 + u64::from(self.random.below(1_000) < demand % 1_000);
            // A request that waits for long is refused.
            member.waiting = member.waiting.min(40);
            self.receive(now, i);
            if (now.0 + i as u64).is_multiple_of(LOOK_MS) {
                self.send(now, i);
            }
        }
    }

    fn receive(&mut self, now: Mono, i: usize) {
        let member = &mut self.members[i];
        let Some((at, ticket, grant)) = member.answer.filter(|(at, ..)| *at <= now) else {
            return;
        };
        member.answer = None;
        member.grants.record(now, ENDPOINT, ticket, grant);
        if let SendGrant::Granted { after_ms, .. } = grant {
            self.arrive(at.plus(after_ms));
            self.send(now, i);
        } else {
            self.members[i].waiting += 1;
        }
    }

    fn send(&mut self, now: Mono, i: usize) {
        while self.members[i].waiting > 0 {
            let member = &mut self.members[i];
            if member.grants.blocked_until(now, ENDPOINT).is_some() {
                return;
            }
            member.waiting -= 1;
            self.tickets += 1;
            let ticket = self.tickets;
            member.grants.begin_send(now, ENDPOINT, ticket);
            match member.grants.count_to_ask(ENDPOINT, ticket) {
                Some(count) => self.ask(now, i, ticket, count),
                None => self.arrive(now),
            }
        }
    }

    fn ask(&mut self, now: Mono, i: usize, ticket: u64, count: u32) {
        self.queries += 1;
        let instances = self.members.len();
        let req = SendRequest {
            endpoint: ENDPOINT,
            per_s: self.per_s,
            count,
            max_wait_ms: 20,
        };
        let at = now.plus(1 + self.random.below(MAX_DELAY_MS));
        let member = &mut self.members[i];
        let grant = match member.asks {
            Asks::Leader(n) => self.leaders[n].request(now, &req, Some(1.0)),
            Asks::Nobody => member.own_share.request(now, &req, i as u64, instances),
        };
        member.answer = Some((at, ticket, grant));
    }

    fn arrive(&mut self, at: Mono) {
        let late_ms = self.random.below(MAX_DELAY_MS);
        self.arrivals.push(at.0 + late_ms);
    }

    /// Part of the limit that was used after the first second.
    fn used_part(&self) -> f64 {
        let served = self.arrivals.iter().filter(|at| **at >= 101_000).count();
        let seconds = (LENGTH_MS - 1_000) as f64 / 1_000.0;
        served as f64 / seconds / self.per_s
    }

    /// Maximum number of requests in any window, and the number that the limit allows.
    fn most_and_allowed(&mut self) -> (f64, f64) {
        self.arrivals.sort_unstable();
        let starts = self.arrivals.iter().enumerate();
        let counts = starts.map(|(i, at)| {
            let rest = self.arrivals[i..].iter();
            rest.take_while(|later| **later <= at + WINDOW_MS).count()
        });
        let allowed = FACTOR * self.per_s * WINDOW_MS as f64 / 1_000.0 + SLACK;
        (counts.max().unwrap_or_default() as f64, allowed)
    }
}

/// Guards against instances that each keep a limit, and together send many times as much; and
/// against fixed shares, which leave most of a limit unused where one instance has the work.
#[gtest]
fn a_fleet_keeps_a_limit_and_uses_it() {
    for instances in [1, 12, 90, 300] {
        for per_s in [0.3, 1.0, 3.0, 6.0, 40.0, 400.0] {
            let demands: [(&str, &dyn Fn(u64) -> u64); 3] = [
                ("even", &|_| 20_000 / instances / 10 + 3),
                ("one has it all", &|i| if i == 0 { 2_000 } else { 0 }),
                ("few have most", &|i| if i % 10 == 0 { 500 } else { 1 }),
            ];
            for (name, demand) in demands {
                let mut fleet = Fleet::new(instances, per_s, instances, demand);
                fleet.play(0, LENGTH_MS);
                let (most, allowed) = fleet.most_and_allowed();
                let used = fleet.used_part();
                let case = format!("{instances} instances, {per_s} a second, {name}");
                expect_that!(most, le(allowed), "{case}");
                expect_that!(used, ge(USED_PART), "{case}");
            }
        }
    }
}

/// Guards against a new leader that grants again what its predecessor has just granted, and
/// against instances that send without bounds while no leader answers.
#[gtest]
fn a_fleet_that_loses_its_leader_keeps_a_limit() {
    for instances in [3, 12, 90, 300] {
        for per_s in [0.3, 3.0, 20.0] {
            for seed in 0..5 {
                let mut fleet = Fleet::new(instances, per_s, seed, |_| 30);
                for start_ms in (0..LENGTH_MS).step_by(5_000) {
                    fleet.play(start_ms, start_ms + 3_000);
                    fleet.ask_all(Asks::Nobody);
                    fleet.play(start_ms + 3_000, start_ms + 5_000);
                    fleet.leaders.push(LimitedSendLimiter::default());
                    let newest = fleet.leaders.len() - 1;
                    fleet.ask_all(Asks::Leader(newest));
                }
                let (most, allowed) = fleet.most_and_allowed();
                let case = format!("{instances} instances, {per_s} a second, seed {seed}");
                expect_that!(most, le(allowed), "{case}");
            }
        }
    }
}

/// Guards against a limit that stays in force for the leader after it rose, and against one that
/// is used in full after it fell.
#[gtest]
fn a_fleet_follows_a_limit_that_changes() {
    let mut fleet = Fleet::new(12, 0.5, 1, |_| 30);
    fleet.play(0, 10_000);
    fleet.per_s = 20.0;
    fleet.play(10_000, 20_000);
    let raised = fleet.arrivals.len() as f64;
    expect_that!(raised, ge(20.0 * 9.0));
    fleet.arrivals.clear();
    fleet.per_s = 1.0;
    fleet.play(20_000, 21_000);
    fleet.arrivals.clear();
    fleet.play(21_000, 31_000);
    let (most, allowed) = fleet.most_and_allowed();
    expect_that!(most, le(allowed));
}

fn stated(per_s: Option<f64>, age_ms: u32) -> StatedLimit {
    StatedLimit {
        endpoint: ENDPOINT,
        per_s,
        age_ms,
    }
}

/// Guards against an old statement that replaces a newer one or brings an ended limit back.
#[gtest]
fn the_newest_statement_counts() {
    let mut limits = StatedLimits::default();
    let now = Mono(50_000);
    expect_that!(limits.hear(now, &stated(None, 0)), none());
    let begun = LimitChange::Begun { per_s: 5.0 };
    expect_that!(limits.hear(now, &stated(Some(5.0), 100)), some(eq(begun)));
    expect_that!(limits.hear(now, &stated(Some(9.0), 200)), none());
    expect_that!(limits.per_s(ENDPOINT), some(eq(5.0)));
    let ended = LimitChange::Ended { before: 5.0 };
    expect_that!(limits.observe(now, &stated(None, 50)), some(eq(ended)));
    expect_that!(limits.hear(now, &stated(Some(5.0), 60)), none());
    expect_that!(limits.in_force().len(), eq(0));
    expect_that!(limits.for_placement(now, ENDPOINT), some(eq(5.0)));
    expect_that!(limits.for_placement(now.plus(30_000), ENDPOINT), none());
}

/// Guards against an endpoint without keys that stays limited for good: it gets no request, and so
/// cannot state that its limit has ended.
#[gtest]
fn placement_forgets_a_limit_that_is_not_stated_any_more() {
    let mut limits = StatedLimits::default();
    let now = Mono(50_000);
    limits.observe(now, &stated(Some(0.0), 0));
    expect_that!(
        limits.for_placement(now.plus(15_000), ENDPOINT),
        some(eq(0.0))
    );
    expect_that!(limits.for_placement(now.plus(30_000), ENDPOINT), none());
    expect_that!(limits.per_s(ENDPOINT), some(eq(0.0)));
}

/// Guards against an instance that starts and hears of no limit until an endpoint states it anew.
#[gtest]
fn limits_in_force_are_reported_to_an_instance_that_starts() {
    let mut limits = StatedLimits::default();
    let now = Mono(50_000);
    limits.hear(now, &stated(Some(5.0), 0));
    expect_that!(limits.take_due(now), is_empty());
    limits.make_all_due();
    expect_that!(limits.take_due(now).len(), eq(1));
}

/// Guards against reports that repeat what all instances know, and against a lost report.
#[gtest]
fn a_statement_is_reported_when_it_changes_and_again_while_it_holds() {
    let mut limits = StatedLimits::default();
    let now = Mono(50_000);
    limits.observe(now, &stated(Some(5.0), 0));
    expect_that!(limits.take_due(now).len(), eq(1));
    limits.observe(now.plus(100), &stated(Some(5.0), 0));
    expect_that!(limits.take_due(now.plus(100)).len(), eq(0));
    limits.observe(now.plus(200), &stated(Some(6.0), 0));
    expect_that!(limits.take_due(now.plus(200)).len(), eq(1));
    limits.observe(now.plus(1_300), &stated(Some(6.0), 0));
    limits.hear(now.plus(1_300), &stated(Some(6.0), 0));
    expect_that!(limits.take_due(now.plus(1_300)).len(), eq(0));
    limits.observe(now.plus(2_400), &stated(Some(6.0), 0));
    expect_that!(limits.take_due(now.plus(2_400)).len(), eq(1));
}

/// Guards against an endpoint whose limit is zero and that can never say that it has ended.
#[gtest]
fn an_endpoint_with_a_limit_of_zero_gets_a_few_requests() {
    let mut fleet = Fleet::new(12, 0.0, 1, |_| 30);
    fleet.play(0, LENGTH_MS);
    let (most, allowed) = fleet.most_and_allowed();
    expect_that!(most, le(allowed));
    expect_that!(fleet.arrivals.len(), ge(5));
}

/// Guards against a request that is sent without a grant since another one asked meanwhile.
#[gtest]
fn a_request_that_waits_for_its_grant_is_not_sent_without_it() {
    let mut grants = SendGrants::default();
    let now = Mono(50_000);
    grants.begin_send(now, ENDPOINT, 1);
    let later = now.plus(1_000);
    grants.begin_send(later, ENDPOINT, 2);
    expect_that!(grants.count_to_ask(ENDPOINT, 1), some(eq(1)));
    expect_that!(grants.count_to_ask(ENDPOINT, 2), some(eq(1)));
    let granted = SendGrant::Granted {
        count: 1,
        after_ms: 0,
    };
    grants.record(later, ENDPOINT, 1, granted);
    expect_that!(grants.count_to_ask(ENDPOINT, 1), none());
    grants.withdraw(2);
    expect_that!(grants.blocked_until(later, ENDPOINT), none());
}

/// Guards against two leaders that each grant the whole of a limit for long.
#[gtest]
fn a_leader_without_confirmation_leaves_half_of_a_limit_to_a_successor() {
    let cfg = LeaderSettings::default();
    let standing = LeaderStanding {
        confirmed_at: Mono(50_000),
        former_leader_limits: FormerLeaderLimits::default(),
        former_leaders: 0,
    };
    let share = |ms| leader_share(Mono(50_000 + ms), &cfg, &standing);
    expect_that!(share(cfg.connect_limit_ms + 500), some(eq(1.0)));
    expect_that!(share(cfg.connect_limit_ms + 1_000), some(eq(0.5)));
    expect_that!(share(cfg.contact_limit_ms), none());
}
