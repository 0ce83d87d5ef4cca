//! A fleet in which each instance knows only what datagrams bring; instance 0 leads.

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
const LOOK_MS: u64 = 100;
/// Longest time on the way, in milliseconds.
const WAY_MS: u64 = 15;

/// A way between two instances, in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Link {
    pub from: usize,
    pub to: usize,
}

#[derive(Debug, Clone)]
enum Message {
    Totals(Box<Totals>),
    /// Members that were heard, and when, and what is told of crashes.
    Report(Vec<(usize, Mono)>, Box<Report>),
}

#[derive(Debug)]
struct Instance {
    name: InstanceName,
    zone: ZoneName,
    place: TreePosition,
    told: Mono,
    up: bool,
    heard: IndexMap<usize, Mono>,
    phase_ms: u64,
    count: usize,
    ledger: Ledger,
    outbox: SignQueue,
    taken: SignReceiver,
}

pub struct World {
    now: Mono,
    all: Vec<Instance>,
    tree: Tree,
    heard: IndexMap<usize, Mono>,
    directly: IndexMap<usize, Mono>,
    branches: Vec<Branch>,
    number: u64,
    on_the_way: Vec<(Mono, Link, Message)>,
    cuts: IndexSet<Link>,
    loss: f64,
    rng: StdRng,
}

fn address(instance: usize) -> SocketAddr {
    let number = u32::try_from(instance).unwrap();
    SocketAddr::from((std::net::Ipv4Addr::from_bits(0x0a00_0000 + number), 7_660))
}

fn at(address: SocketAddr) -> usize {
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
            place: TreePosition::default(),
            told: Mono(1_000),
            up: true,
            heard: IndexMap::new(),
            phase_ms: rng.random_range(0..LOOK_MS / STEP_MS) * STEP_MS,
            count: 0,
            ledger: Ledger::default(),
            outbox: SignQueue::default(),
            taken: SignReceiver::default(),
        });
        Self {
            now: Mono(1_000),
            all: all.collect(),
            tree: Tree::default(),
            heard: IndexMap::new(),
            directly: IndexMap::new(),
            branches: Vec::new(),
            number: 0,
            on_the_way: Vec::new(),
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

    /// Runs on; the longest time that an instance that is up was not told, but for `without`.
    pub fn worst_untold_ms(&mut self, for_ms: u64, without: &[usize]) -> u64 {
        let end = self.now.plus(for_ms);
        let mut worst = 0;
        while self.now < end {
            self.step();
            worst = worst.max(self.untold_ms(without));
        }
        worst
    }

    pub fn longest_untold_ms(&self) -> u64 {
        self.untold_ms(&[])
    }

    fn untold_ms(&self, without: &[usize]) -> u64 {
        let others = self.all.iter().enumerate().skip(1);
        let up = others.filter(|(i, one)| one.up && !without.contains(i));
        up.map(|(_, one)| self.now.since(one.told))
            .max()
            .unwrap_or(0)
    }

    /// Instances that the leader has heard within its limit.
    pub fn heard(&self) -> usize {
        let recent = self
            .heard
            .values()
            .filter(|at| self.now.since(**at) < 1_500);
        recent.count()
    }

    pub fn reset_counts(&mut self) {
        for one in &mut self.all {
            one.count = 0;
        }
    }

    pub fn of_the_leader(&self) -> usize {
        self.all[0].count
    }

    pub fn most_of_a_member(&self) -> usize {
        self.most(|role| matches!(role, Role::Member(_)))
    }

    pub fn most_of_a_delegate(&self) -> usize {
        self.most(|role| matches!(role, Role::Delegate(_)))
    }

    fn most(&self, of: impl Fn(Role) -> bool) -> usize {
        let those = self
            .all
            .iter()
            .skip(1)
            .filter(|one| of(one.place.role(self.now)));
        those.map(|one| one.count).max().unwrap_or_default()
    }

    pub fn role(&self, instance: usize) -> Role {
        self.all[instance].place.role(self.now)
    }

    /// The delegate of a large group.
    pub fn a_delegate(&self) -> usize {
        let largest = self
            .branches
            .iter()
            .max_by_key(|branch| branch.members.len());
        at(largest.expect("a group").to)
    }

    pub fn members_of(&self, delegate: usize) -> Vec<usize> {
        let branch = self
            .branches
            .iter()
            .find(|branch| at(branch.to) == delegate);
        let members = branch
            .map(|branch| branch.members.clone())
            .unwrap_or_default();
        members.into_iter().map(at).collect()
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

    /// An endpoint crashes with work that an instance had sent there.
    pub fn crash(&mut self, instance: usize, work: Fingerprint, endpoint: u32) {
        let endpoint = EndpointTag(endpoint);
        let sign = Sign::Crash { work, endpoint };
        let one = &mut self.all[instance];
        one.ledger.apply(self.now, sign);
        one.outbox.push(sign);
    }

    /// Instances that are up and do not refuse work.
    pub fn sending(&self, work: Fingerprint) -> usize {
        let up = self.all.iter().filter(|one| one.up);
        up.filter(|one| !one.ledger.is_refused(self.now, work))
            .count()
    }

    pub fn kill(&mut self, instance: usize) {
        self.all[instance].up = false;
    }

    pub fn start(&mut self, instance: usize) {
        let now = self.now;
        let one = &mut self.all[instance];
        one.up = true;
        one.told = now;
        one.place = TreePosition::default();
        one.heard.clear();
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
            self.tell();
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
        let due = self.now.plus(self.rng.random_range(1..=WAY_MS));
        self.on_the_way.push((due, link, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.on_the_way)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.on_the_way = later;
        let due: Vec<(Mono, Link, Message)> = due;
        for (_, link, message) in due {
            if self.all[link.to].up {
                self.all[link.to].count += 1;
                self.take(link, message);
            }
        }
    }

    fn take(&mut self, link: Link, message: Message) {
        let now = self.now;
        match message {
            Message::Report(members, report) if link.to == 0 => {
                let one = &mut self.all[0];
                for sign in one.taken.new_signs(&report) {
                    one.ledger.apply(now, *sign);
                }
                self.directly.insert(link.from, now);
                for (instance, at) in members.into_iter().chain([(link.from, now)]) {
                    let heard = self.heard.entry(instance).or_insert(at);
                    *heard = at.max(*heard);
                }
            }
            Message::Report(_, report) => {
                let one = &mut self.all[link.to];
                one.heard.insert(link.from, now);
                for sign in one.taken.new_signs(&report) {
                    one.ledger.apply(now, *sign);
                    one.outbox.push(*sign);
                }
            }
            Message::Totals(mut totals) => {
                let one = &mut self.all[link.to];
                if !one.place.accept_totals(now, &totals, address(link.from)) {
                    return;
                }
                one.told = now;
                for refused in &totals.refused {
                    one.ledger.apply_refused(now, *refused);
                }
                let members = std::mem::take(&mut totals.members);
                for member in members {
                    self.send(link.to, at(member), Message::Totals(totals.clone()));
                }
            }
        }
    }

    fn tell(&mut self) {
        self.number += 1;
        let others = self.all.iter().enumerate().skip(1);
        let candidates: Vec<_> = others
            .map(|(i, one)| Candidate {
                instance: &one.name,
                address: address(i),
                zone: &one.zone,
                heard: self.heard.get(&i).copied(),
                heard_directly: self.directly.get(&i).copied(),
                strength: Strength(if i < 15 { 1_000 } else { 200 }),
                is_staying: true,
            })
            .collect();
        self.branches = self.tree.plan(self.now, &candidates);
        for branch in self.branches.clone() {
            let totals = self.totals(branch.members);
            self.send(0, at(branch.to), Message::Totals(Box::new(totals)));
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
            paces: Vec::new(),
            refused: self.all[0].ledger.harmful(self.now),
            suspects: self.all[0].ledger.suspects(self.now),
            members,
        }
    }

    fn report(&mut self, instance: usize) {
        let now = self.now;
        let one = &mut self.all[instance];
        let since = now.0 + one.phase_ms;
        let (to, period_ms) = match one.place.role(now) {
            Role::Alone => return,
            Role::Member(to) => (to, 2 * LOOK_MS),
            Role::Delegate(to) => (to, LOOK_MS),
        };
        let looks = since.is_multiple_of(LOOK_MS);
        let is_due = since.is_multiple_of(period_ms) || (looks && one.outbox.has_unsent());
        if !is_due {
            return;
        }
        let (first_sign, signs) = one.outbox.take();
        let report = Box::new(Report {
            instance: one.name.clone(),
            session: SessionId(1),
            number: 1,
            stopping: false,
            unfit: false,
            strength: Strength::FULL,
            term: 1,
            seen: Versions::default(),
            endpoints: Vec::new(),
            keys: Vec::new(),
            members: Vec::new(),
            signs,
            first_sign,
        });
        let members = one.heard.iter().filter(|(_, at)| now.since(**at) < 600);
        let members = members.map(|(i, at)| (*i, *at)).collect();
        self.send(instance, at(to), Message::Report(members, report));
    }
}
