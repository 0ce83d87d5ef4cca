//! Simulated fleet for the reporting tree, in which instances communicate only by datagrams.
//! Instance 0 is the leader.

use std::net::SocketAddr;

use citronway_core::gateway::crashes::{Fingerprint, Ledger, Sign, SignQueue, SignReceiver};
use citronway_core::gateway::election::Strength;
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::report::{Report, Totals, Versions};
use citronway_core::gateway::tree::{
    Branch, Candidate, Role, TOTALS_INTERVAL_MS, Tree, TreePosition,
};
use citronway_core::ids::{InstanceName, Session, SessionId, ZoneName};
use citronway_core::time::Mono;
use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

const STEP_MS: u64 = 10;
const ZONES: usize = 5;
/// Interval at which a delegate reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 100;
/// Longest network delay, in milliseconds.
const MAX_DELAY_MS: u64 = 15;

/// Connection from one instance to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Link {
    pub from: usize,
    pub to: usize,
}

#[derive(Debug, Clone)]
enum Message {
    Totals(Box<Totals>),
    /// Members with the times of their last reports, and a report with signs of crashes.
    Report(Vec<(usize, Mono)>, Box<Report>),
}

#[derive(Debug)]
struct Instance {
    name: InstanceName,
    zone: ZoneName,
    position: TreePosition,
    /// Time of the last totals.
    totals_at: Mono,
    up: bool,
    /// Time of the last report of each member.
    heard: IndexMap<usize, Mono>,
    phase_ms: u64,
    /// Number of datagrams sent and received.
    count: usize,
    ledger: Ledger,
    sign_queue: SignQueue,
    sign_receiver: SignReceiver,
}

pub struct World {
    now: Mono,
    all: Vec<Instance>,
    tree: Tree,
    /// Time of the last report of each instance, as the leader knows it.
    heard: IndexMap<usize, Mono>,
    /// Time of the last report that each instance sent to the leader itself.
    heard_directly: IndexMap<usize, Mono>,
    branches: Vec<Branch>,
    number: u64,
    in_transit: Vec<(Mono, Link, Message)>,
    /// Connections that lose all datagrams.
    cuts: IndexSet<Link>,
    /// Share of datagrams that are lost.
    loss: f64,
    rng: StdRng,
}

/// Address of an instance.
fn address(instance: usize) -> SocketAddr {
    let number = u32::try_from(instance).unwrap();
    SocketAddr::from((std::net::Ipv4Addr::from_bits(0x0a00_0000 + number), 7_660))
}

/// Instance with this address.
fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => (v4.ip().to_bits() - 0x0a00_0000) as usize,
        SocketAddr::V6(_) => unreachable!("all addresses are of version 4"),
    }
}

impl World {
    pub fn new(instances: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let all = (0..instances).map(|i| Instance {
            name: InstanceName::new(&format!("instance-{i}")),
            zone: ZoneName::new(&format!("zone-{}", i % ZONES)),
            position: TreePosition::default(),
            totals_at: Mono(1_000),
            up: true,
            heard: IndexMap::new(),
            phase_ms: rng.random_range(0..REPORT_INTERVAL_MS / STEP_MS) * STEP_MS,
            count: 0,
            ledger: Ledger::default(),
            sign_queue: SignQueue::default(),
            sign_receiver: SignReceiver::default(),
        });
        Self {
            now: Mono(1_000),
            all: all.collect(),
            tree: Tree::default(),
            heard: IndexMap::new(),
            heard_directly: IndexMap::new(),
            branches: Vec::new(),
            number: 0,
            in_transit: Vec::new(),
            cuts: IndexSet::new(),
            loss: 0.0,
            rng,
        }
    }

    pub fn run(&mut self, for_ms: u64) {
        let end = self.now.plus(for_ms);
        while self.now < end {
            self.step();
        }
    }

    /// Runs for `for_ms`. Returns the longest time for which a running instance outside `without`
    /// had no totals, in milliseconds.
    pub fn worst_without_totals_ms(&mut self, for_ms: u64, without: &[usize]) -> u64 {
        let end = self.now.plus(for_ms);
        let mut worst = 0;
        while self.now < end {
            self.step();
            worst = worst.max(self.without_totals_ms(without));
        }
        worst
    }

    pub fn longest_without_totals_ms(&self) -> u64 {
        self.without_totals_ms(&[])
    }

    fn without_totals_ms(&self, without: &[usize]) -> u64 {
        let others = self.all.iter().enumerate().skip(1);
        let up = others.filter(|(i, instance)| instance.up && !without.contains(i));
        up.map(|(_, instance)| self.now.since(instance.totals_at))
            .max()
            .unwrap_or(0)
    }

    /// Number of instances with a recent report at the leader.
    pub fn reporting_instances(&self) -> usize {
        let recent = self
            .heard
            .values()
            .filter(|at| self.now.since(**at) < 1_500);
        recent.count()
    }

    pub fn reset_counts(&mut self) {
        for instance in &mut self.all {
            instance.count = 0;
        }
    }

    pub fn leader_count(&self) -> usize {
        self.all[0].count
    }

    pub fn max_count_of_members(&self) -> usize {
        self.max_count(|role| matches!(role, Role::Member(_)))
    }

    pub fn max_count_of_delegates(&self) -> usize {
        self.max_count(|role| matches!(role, Role::Delegate(_)))
    }

    /// Maximum number of datagrams of an instance in a role.
    fn max_count(&self, in_role: impl Fn(Role) -> bool) -> usize {
        let instances = self
            .all
            .iter()
            .skip(1)
            .filter(|instance| in_role(instance.position.role(self.now)));
        instances
            .map(|instance| instance.count)
            .max()
            .unwrap_or_default()
    }

    pub fn role(&self, instance: usize) -> Role {
        self.all[instance].position.role(self.now)
    }

    /// The delegate of the largest group.
    pub fn largest_delegate(&self) -> usize {
        let largest = self
            .branches
            .iter()
            .max_by_key(|branch| branch.members.len());
        index_of(largest.expect("a group").to)
    }

    pub fn members_of(&self, delegate: usize) -> Vec<usize> {
        let branch = self
            .branches
            .iter()
            .find(|branch| index_of(branch.to) == delegate);
        let members = branch
            .map(|branch| branch.members.clone())
            .unwrap_or_default();
        members.into_iter().map(index_of).collect()
    }

    pub fn groups(&self) -> usize {
        self.tree.groups().count()
    }

    pub fn largest_group(&self) -> usize {
        self.tree
            .groups()
            .map(|(_, members)| members)
            .max()
            .unwrap_or_default()
    }

    /// Crashes an endpoint with a request that an instance has sent to it.
    pub fn crash(&mut self, instance: usize, work: Fingerprint, endpoint: u32) {
        let endpoint = EndpointTag(endpoint);
        let sign = Sign::Crash { work, endpoint };
        let instance = &mut self.all[instance];
        instance.ledger.apply(self.now, sign);
        instance.sign_queue.push(sign);
    }

    /// Number of running instances that do not refuse a request.
    pub fn sending(&self, work: Fingerprint) -> usize {
        let up = self.all.iter().filter(|instance| instance.up);
        up.filter(|instance| !instance.ledger.is_refused(self.now, work))
            .count()
    }

    pub fn kill(&mut self, instance: usize) {
        self.all[instance].up = false;
    }

    pub fn start(&mut self, instance: usize) {
        let now = self.now;
        let instance = &mut self.all[instance];
        instance.up = true;
        instance.totals_at = now;
        instance.position = TreePosition::default();
        instance.heard.clear();
    }

    pub fn cut(&mut self, link: Link) {
        self.cuts.insert(link);
    }

    pub fn lose(&mut self, share: f64) {
        self.loss = share;
    }

    fn step(&mut self) {
        self.now = self.now.plus(STEP_MS);
        self.deliver();
        if self.now.0.is_multiple_of(TOTALS_INTERVAL_MS) {
            self.send_totals();
        }
        for instance in 1..self.all.len() {
            self.report(instance);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if !self.all[from].up {
            return;
        }
        self.all[from].count += 1;
        let link = Link { from, to };
        if self.cuts.contains(&link) || self.rng.random_bool(self.loss) {
            return;
        }
        let due = self.now.plus(self.rng.random_range(1..=MAX_DELAY_MS));
        self.in_transit.push((due, link, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.in_transit = later;
        let due: Vec<(Mono, Link, Message)> = due;
        for (_, link, message) in due {
            if self.all[link.to].up {
                self.all[link.to].count += 1;
                self.receive(link, message);
            }
        }
    }

    /// Handles a received datagram.
    fn receive(&mut self, link: Link, message: Message) {
        let now = self.now;
        match message {
            Message::Report(members, report) if link.to == 0 => {
                let instance = &mut self.all[0];
                for sign in instance.sign_receiver.new_signs(&report) {
                    instance.ledger.apply(now, *sign);
                }
                self.heard_directly.insert(link.from, now);
                for (instance, at) in members.into_iter().chain([(link.from, now)]) {
                    let heard = self.heard.entry(instance).or_insert(at);
                    *heard = at.max(*heard);
                }
            }
            Message::Report(_, report) => {
                let instance = &mut self.all[link.to];
                instance.heard.insert(link.from, now);
                for sign in instance.sign_receiver.new_signs(&report) {
                    instance.ledger.apply(now, *sign);
                    instance.sign_queue.push(*sign);
                }
            }
            Message::Totals(mut totals) => {
                let instance = &mut self.all[link.to];
                if !instance
                    .position
                    .accept_totals(now, &totals, address(link.from))
                {
                    return;
                }
                instance.totals_at = now;
                for refused in &totals.refused {
                    instance.ledger.apply_refused(now, *refused);
                }
                let members = std::mem::take(&mut totals.members);
                for member in members {
                    self.send(link.to, index_of(member), Message::Totals(totals.clone()));
                }
            }
        }
    }

    /// Sends the leader's totals.
    fn send_totals(&mut self) {
        self.number += 1;
        let others = self.all.iter().enumerate().skip(1);
        let candidates: Vec<_> = others
            .map(|(i, instance)| Candidate {
                instance: &instance.name,
                address: address(i),
                zone: &instance.zone,
                heard: self.heard.get(&i).copied(),
                heard_directly: self.heard_directly.get(&i).copied(),
                strength: Strength(if i < 15 { 1_000 } else { 200 }),
                is_staying: true,
            })
            .collect();
        self.branches = self.tree.plan(self.now, &candidates);
        for branch in self.branches.clone() {
            let totals = self.totals(branch.members);
            self.send(0, index_of(branch.to), Message::Totals(Box::new(totals)));
        }
    }

    fn totals(&self, members: Vec<SocketAddr>) -> Totals {
        Totals {
            leader: Session::new("instance-0", 1),
            term: 1,
            number: self.number,
            stopping: false,
            unfit: false,
            store_lost: false,
            strength: Strength::FULL,
            row: None,
            seen: Versions::default(),
            instances: 0,
            standbys: Vec::new(),
            endpoints: Vec::new(),
            byte_bounds: Vec::new(),
            paces: Vec::new(),
            refused: self.all[0].ledger.harmful(self.now),
            suspects: self.all[0].ledger.suspects(self.now),
            limits: Vec::new(),
            departures: Vec::new(),
            confirmed: None,
            members,
            demand: None,
        }
    }

    fn report(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.all[index];
        let since = now.0 + instance.phase_ms;
        let (to, period_ms) = match instance.position.role(now) {
            Role::Alone => return,
            Role::Member(to) => (to, 2 * REPORT_INTERVAL_MS),
            Role::Delegate(to) => (to, REPORT_INTERVAL_MS),
        };
        let may_send_signs = since.is_multiple_of(REPORT_INTERVAL_MS);
        let is_due =
            since.is_multiple_of(period_ms) || (may_send_signs && instance.sign_queue.has_unsent());
        if !is_due {
            return;
        }
        let (first_sign, signs) = instance.sign_queue.take();
        let report = Box::new(Report {
            instance: instance.name.clone(),
            session: SessionId(1),
            number: 1,
            stopping: false,
            unfit: false,
            is_cut_off: false,
            strength: Strength::FULL,
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
        });
        let members = instance
            .heard
            .iter()
            .filter(|(_, at)| now.since(**at) < 600);
        let members = members.map(|(i, at)| (*i, *at)).collect();
        self.send(index, index_of(to), Message::Report(members, report));
    }
}
