//! Endpoints: some check who gives them orders, others run whatever arrives.

use citronway_core::ids::{EndpointName, Epoch, RequestId, Session, ShardId, Version};
use citronway_core::node::events::{Grant, GrantedShard, RefusedReason};
use citronway_core::node::{ProbeReport, Ticket};
use citronway_core::request::{Fence, Request};
use citronway_core::shard::{HashRange, KeyHash};
use citronway_core::time::Wall;
use indexmap::{IndexMap, IndexSet};

use super::{ENDPOINTS, START};

/// Most by which an endpoint's clock is behind, in milliseconds.
const BEHIND_MS: u64 = 20;

/// A message on its way to an endpoint.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub endpoint: usize,
    pub from: Session,
    /// Start of the endpoint whose socket holds it, once one does.
    pub buffered: Option<u64>,
    pub message: Message,
}

#[derive(Debug, Clone)]
pub enum Message {
    Order {
        ticket: Ticket,
        fence: Fence,
        request: Request,
    },
    Grant {
        ticket: Ticket,
        grant: Grant,
    },
    Revoke {
        ticket: Ticket,
        grant: Grant,
    },
    Cancel {
        id: RequestId,
    },
}

#[derive(Debug, Clone)]
pub struct Run {
    pub number: u64,
    pub from: Session,
    pub ticket: Ticket,
    pub fence: Fence,
    pub request: Request,
}

#[derive(Debug, Clone)]
struct Held {
    epoch: Epoch,
    end: Wall,
    range: HashRange,
}

/// An endpoint.
#[derive(Debug)]
pub struct Server {
    pub number: usize,
    pub checks: bool,
    pub frozen_until: u64,
    pub down_until: u64,
    pub slow_until: u64,
    /// Answers are lost on their way back.
    pub deaf_until: u64,
    /// Answers to orders are lost.
    pub mute_until: u64,
    /// When an operator's change that drains it was accepted, and its version.
    pub leaving: Option<(u64, Version)>,
    /// Its own word.
    pub draining: bool,
    pub latest_sender: (Epoch, Option<Session>),
    pub start: u64,
    epoch: Epoch,
    held: IndexMap<ShardId, Held>,
    /// Lowest epoch of a shard that is still taken.
    lowest: IndexMap<ShardId, Epoch>,
    pub running: IndexMap<u64, Run>,
    pub cancelled: IndexSet<RequestId>,
}

pub fn name(number: usize) -> EndpointName {
    EndpointName::new(&format!("e{number}"))
}

pub fn number(endpoint: &EndpointName) -> usize {
    endpoint.as_str()[1..]
        .parse()
        .expect("a name of this world")
}

/// An endpoint's clock.
const fn wall(now: u64) -> Wall {
    Wall(START + now - BEHIND_MS)
}

impl Server {
    pub fn new(number: usize) -> Self {
        Self {
            number,
            checks: number + 1 < ENDPOINTS,
            frozen_until: 0,
            down_until: 0,
            slow_until: 0,
            deaf_until: 0,
            mute_until: 0,
            leaving: None,
            draining: false,
            latest_sender: (Epoch(0), None),
            start: 1,
            epoch: Epoch(0),
            held: IndexMap::new(),
            lowest: IndexMap::new(),
            running: IndexMap::new(),
            cancelled: IndexSet::new(),
        }
    }

    pub fn is_running(&self) -> bool {
        !self.running.is_empty()
    }

    /// Whether it holds the key at the moment, as far as it can tell.
    pub fn holds(&self, key: KeyHash, now: u64) -> bool {
        if !self.checks {
            let now = Wall(START + now);
            let mut runs = self.running.values();
            // Work ends with its connection, which is closed at the deadline.
            return runs
                .any(|run| run.request.deadline > now && KeyHash::of(&run.request.key) == key);
        }
        self.held
            .values()
            .any(|held| held.end > wall(now) && held.range.first <= key && key <= held.range.last)
    }

    pub fn refusal(&self, fence: &Fence, request: &Request, now: u64) -> Option<RefusedReason> {
        if !self.checks {
            return self.draining.then_some(RefusedReason::Draining);
        }
        if fence.dispatch_epoch < self.epoch {
            return Some(RefusedReason::StaleEpoch);
        }
        if request.deadline <= wall(now) {
            return Some(RefusedReason::Expired);
        }
        let live = self
            .held
            .get(&fence.shard)
            .is_some_and(|held| held.epoch == fence.shard_epoch && held.end > wall(now));
        (!live).then_some(RefusedReason::NoGrant)
    }

    pub fn grant(&mut self, grant: &Grant) -> bool {
        if !self.checks {
            return false;
        }
        if grant.dispatch_epoch < self.epoch {
            return true;
        }
        self.epoch = grant.dispatch_epoch;
        for shard in &grant.shards {
            self.hold(shard, grant.end);
        }
        false
    }

    fn hold(&mut self, shard: &GrantedShard, end: Wall) {
        if self
            .lowest
            .get(&shard.shard)
            .is_some_and(|it| shard.epoch < *it)
        {
            return;
        }
        self.lowest.insert(shard.shard, shard.epoch);
        let held = Held {
            epoch: shard.epoch,
            end,
            range: shard.range,
        };
        self.held.insert(shard.shard, held);
    }

    pub fn revoke(&mut self, grant: &Grant) -> bool {
        if grant.dispatch_epoch < self.epoch {
            return true;
        }
        self.epoch = grant.dispatch_epoch;
        for shard in &grant.shards {
            if self
                .held
                .get(&shard.shard)
                .is_some_and(|it| it.epoch <= shard.epoch)
            {
                self.held.shift_remove(&shard.shard);
            }
        }
        false
    }

    pub fn report(&self, stale_epoch: bool) -> ProbeReport {
        ProbeReport::Answered {
            stale_epoch,
            draining: self.draining,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            cold: false,
        }
    }

    /// Starts again with nothing in memory.
    pub fn restart(&mut self) -> Vec<(Session, Ticket)> {
        let mut lost = Vec::new();
        for run in self.running.values() {
            lost.push((run.from.clone(), run.ticket));
        }
        let mut fresh = Self::new(self.number);
        fresh.start = self.start + 1;
        fresh.leaving = self.leaving;
        fresh.latest_sender = self.latest_sender.clone();
        *self = fresh;
        lost
    }
}
