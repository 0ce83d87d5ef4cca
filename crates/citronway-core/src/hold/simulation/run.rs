//! The engine of a replay: a queue of steps by time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::IndexSet;

use super::chance::Chance;
use super::node::{Clock, Node, endpoint, session};
use super::outcome::{HoldOutcome, Violation};
use super::queue::{Queued, Step, StoreWork};
use super::script::{Header, TimedFault};
use super::store::Store;
use super::watch::Watch;
use crate::hold::{HoldAction, HoldEvent};
use crate::ids::{Epoch, Session};
use crate::shard::DispatchRow;
use crate::time::Wall;

/// How often each instance ticks, in milliseconds.
pub(super) const TICK_MS: u64 = 20;
/// Of the allowed difference of clock rates, the part that clocks use at most,
/// as a divisor: half of it to either side.
const RATE_SIDES: u64 = 2;
const MILLION: u64 = 1_000_000;

/// All instances, the store and what is under way between them.
#[derive(Debug)]
pub(super) struct World<'a> {
    pub header: &'a Header,
    pub chance: Chance,
    pub at: u64,
    pub number: u64,
    pub queue: BinaryHeap<Reverse<Queued>>,
    pub nodes: Vec<Node>,
    pub starts: u64,
    pub gone: IndexSet<Session>,
    pub cuts: IndexSet<(usize, usize)>,
    pub store: Store,
    pub store_down: bool,
    pub mended: bool,
    pub watch: Watch,
}

impl<'a> World<'a> {
    pub fn new(header: &'a Header) -> Self {
        let mut chance = Chance::new(header.seed);
        let mut nodes = Vec::new();
        for index in 0..header.instances {
            let clock = clock(header, &mut chance);
            nodes.push(Node::new(index, 1, clock, &header.settings));
        }
        let mut members = nodes.iter().map(|it| it.session.clone());
        let row = DispatchRow {
            endpoint: endpoint(),
            dispatcher: members.next().unwrap_or_else(|| session(0, 1)),
            epoch: Epoch(1),
            successors: members.take(2).collect(),
            former: Vec::new(),
            floor: Wall(0),
        };
        let mut world = Self {
            header,
            chance,
            at: 0,
            number: 0,
            queue: BinaryHeap::new(),
            nodes,
            starts: 1,
            gone: IndexSet::new(),
            cuts: IndexSet::new(),
            store: Store::new(row),
            store_down: false,
            mended: false,
            watch: Watch::default(),
        };
        world.start();
        world
    }

    fn start(&mut self) {
        for node in 0..self.nodes.len() {
            let event = HoldEvent::Row {
                version: self.store.version,
                row: self.store.row.clone(),
            };
            self.give(node, event);
            let phase = self.chance.between(0, TICK_MS - 1);
            self.queue_in(phase, Step::Tick { node });
        }
    }

    /// Runs the trace to its end.
    pub fn run(mut self, faults: &[TimedFault]) -> HoldOutcome {
        for timed in faults {
            let fault = timed.fault;
            self.queue_in(timed.at, Step::Fault { fault });
        }
        while let Some(Reverse(queued)) = self.queue.pop() {
            if queued.at > self.header.end_ms {
                break;
            }
            self.at = queued.at;
            self.step(queued.step);
            if self.store.epoch_broken {
                self.watch.note(Violation::Epoch { at: self.at });
            }
            self.watch.look(&mut self.nodes, self.at);
        }
        let row = self.store.row;
        HoldOutcome {
            longest_gap_ms: self.watch.gap_ms(self.at),
            acting: self.watch.acting,
            dispatcher: Some(row.dispatcher),
            successors: row.successors,
            former: row.former,
            store_reads: self.store.reads,
            store_writes: self.store.writes,
            broken: self.watch.broken,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Tick { node } => {
                self.queue_in(TICK_MS, Step::Tick { node });
                if self.nodes[node].runs() {
                    self.tick(node);
                }
            }
            Step::Arrive { to, event } | Step::StoreAnswer { to, event } => {
                if let Some(node) = self.index_of(&to) {
                    self.give(node, event);
                }
            }
            Step::StoreCall { call } => self.store_call(call),
            Step::ListShowsGone { session } => self.list_shows_gone(&session),
            Step::Greet { node, new } => self.greet(node, new),
            Step::Exit { session } => {
                if let Some(node) = self.index_of(&session) {
                    self.crash(node);
                }
            }
            Step::Fault { fault } => self.fault(fault),
        }
    }

    pub(super) fn queue_in(&mut self, ms: u64, step: Step) {
        self.number += 1;
        self.queue.push(Reverse(Queued {
            at: self.at + ms,
            number: self.number,
            step,
        }));
    }

    /// The node on which a session runs.
    pub(super) fn index_of(&self, session: &Session) -> Option<usize> {
        self.nodes
            .iter()
            .position(|it| it.alive() && it.session == *session)
    }

    pub(super) fn tick(&mut self, node: usize) {
        let candidates = self.nodes.iter().map(|it| it.session.clone());
        let event = HoldEvent::Tick {
            candidates: candidates.collect(),
            reach: self.nodes[node].reach,
        };
        self.give(node, event);
    }

    /// Gives an event to a node's hold, or lets it wait while the node is paused.
    pub(super) fn give(&mut self, node: usize, event: HoldEvent) {
        let it = &mut self.nodes[node];
        if !it.alive() {
            return;
        }
        if !it.runs() {
            it.waiting.push_back(event);
            return;
        }
        let now = it.clock.now(self.at);
        let actions = it.hold.apply(&event, now);
        for action in actions {
            self.carry_out(node, action);
        }
    }

    fn carry_out(&mut self, node: usize, action: HoldAction) {
        match action {
            HoldAction::Send { to, message } => {
                let from = self.nodes[node].session.clone();
                let event = HoldEvent::Message { from, message };
                self.send(node, to, event);
            }
            HoldAction::ReadRow { read } => self.call(node, StoreWork::Read { read }),
            HoldAction::Write {
                write,
                expected,
                row,
            } => {
                let work = StoreWork::Write {
                    write,
                    expected,
                    row,
                };
                self.call(node, work);
            }
            HoldAction::TookOver { epoch, floor, .. } => {
                let clocks = self.nodes.iter().map(|it| it.clock);
                let ahead = clocks.max_by_key(|it| it.skew_ms);
                let latest = |at| ahead.map_or(Wall(0), |it| it.now(at).wall);
                self.watch.floor(epoch, floor, latest, self.at);
            }
            HoldAction::Lost { .. } | HoldAction::OfferDeclined { .. } => {}
        }
    }
}

/// Draws a clock whose rate and skew lie within what the settings allow.
fn clock(header: &Header, chance: &mut Chance) -> Clock {
    let settings = &header.settings;
    let side = settings.clock_rate_error_ppm / RATE_SIDES;
    Clock {
        rate: MILLION - side + chance.between(0, 2 * side),
        skew_ms: chance.between(0, settings.skew_bound_ms),
        origin_ms: chance.between(10_000, 99_999),
    }
}
