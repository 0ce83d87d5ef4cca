//! The event loop of the simulation.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::IndexSet;

use super::invariants::InvariantChecker;
use super::node::{Clock, Node, endpoint, session};
use super::outcome::{HoldOutcome, Violation};
use super::queue::{ScheduledStep, Step, StoreOperation};
use super::rng::SplitMix64;
use super::script::{Header, TimedFault};
use super::store::Store;
use crate::hold::{HoldAction, HoldEvent};
use crate::ids::{Epoch, Session};
use crate::shard::DispatchRow;
use crate::time::Wall;

/// Interval between ticks of each instance, in milliseconds.
pub(super) const TICK_INTERVAL_MS: u64 = 20;
/// Divisor of the permitted difference of clock rates. Each clock deviates from the
/// true rate by at most half of the permitted difference, so two clocks never
/// exceed it.
const RATE_ERROR_DIVISOR: u64 = 2;
const MILLION: u64 = 1_000_000;

/// All instances, the store, and the messages and calls in flight.
#[derive(Debug)]
pub(super) struct Simulation<'a> {
    pub header: &'a Header,
    pub rng: SplitMix64,
    pub now_ms: u64,
    pub last_step_number: u64,
    pub queue: BinaryHeap<Reverse<ScheduledStep>>,
    pub nodes: Vec<Node>,
    pub last_session_number: u64,
    pub gone: IndexSet<Session>,
    pub cut_links: IndexSet<(usize, usize)>,
    pub store: Store,
    pub store_down: bool,
    pub all_mended: bool,
    pub invariants: InvariantChecker,
}

impl<'a> Simulation<'a> {
    pub fn new(header: &'a Header) -> Self {
        let mut rng = SplitMix64::new(header.seed);
        let mut nodes = Vec::new();
        for index in 0..header.instances {
            let clock = random_clock(header, &mut rng);
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
        let mut simulation = Self {
            header,
            rng,
            now_ms: 0,
            last_step_number: 0,
            queue: BinaryHeap::new(),
            nodes,
            last_session_number: 1,
            gone: IndexSet::new(),
            cut_links: IndexSet::new(),
            store: Store::new(row),
            store_down: false,
            all_mended: false,
            invariants: InvariantChecker::default(),
        };
        simulation.start();
        simulation
    }

    fn start(&mut self) {
        for node in 0..self.nodes.len() {
            let event = HoldEvent::Row {
                version: self.store.version,
                row: self.store.row.clone(),
            };
            self.deliver(node, event);
            let phase = self.rng.between(0, TICK_INTERVAL_MS - 1);
            self.schedule_in(phase, Step::Tick { node });
        }
    }

    /// Runs the simulation until `end_ms`.
    pub fn run(mut self, faults: &[TimedFault]) -> HoldOutcome {
        for timed in faults {
            let fault = timed.fault;
            self.schedule_in(timed.at, Step::Fault { fault });
        }
        while let Some(Reverse(queued)) = self.queue.pop() {
            if queued.at > self.header.end_ms {
                break;
            }
            self.now_ms = queued.at;
            self.step(queued.step);
            if self.store.epoch_violated {
                self.invariants
                    .record_violation(Violation::Epoch { at: self.now_ms });
            }
            self.invariants.check_nodes(&mut self.nodes, self.now_ms);
        }
        let row = self.store.row;
        HoldOutcome {
            longest_gap_ms: self.invariants.longest_gap_ms(self.now_ms),
            acting: self.invariants.intervals,
            dispatcher: Some(row.dispatcher),
            successors: row.successors,
            former: row.former,
            store_reads: self.store.reads,
            store_writes: self.store.writes,
            broken: self.invariants.violation,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Tick { node } => {
                self.schedule_in(TICK_INTERVAL_MS, Step::Tick { node });
                if self.nodes[node].is_running() {
                    self.tick(node);
                }
            }
            Step::Deliver { to, event } | Step::StoreAnswer { to, event } => {
                if let Some(node) = self.index_of(&to) {
                    self.deliver(node, event);
                }
            }
            Step::StoreCall { call } => self.run_store_call(call),
            Step::ListShowsGone { session } => self.list_shows_gone(&session),
            Step::Handshake { node, new } => self.handshake(node, new),
            Step::Exit { session } => {
                if let Some(node) = self.index_of(&session) {
                    self.crash(node);
                }
            }
            Step::Fault { fault } => self.apply_fault(fault),
        }
    }

    pub(super) fn schedule_in(&mut self, ms: u64, step: Step) {
        self.last_step_number += 1;
        self.queue.push(Reverse(ScheduledStep {
            at: self.now_ms + ms,
            number: self.last_step_number,
            step,
        }));
    }

    /// Index of the node that runs `session`, `None` if the session has ended.
    pub(super) fn index_of(&self, session: &Session) -> Option<usize> {
        self.nodes
            .iter()
            .position(|it| it.is_alive() && it.session == *session)
    }

    pub(super) fn tick(&mut self, node: usize) {
        let candidates = self.nodes.iter().map(|it| it.session.clone());
        let event = HoldEvent::Tick {
            candidates: candidates.collect(),
            reach: self.nodes[node].reach,
        };
        self.deliver(node, event);
    }

    /// Delivers an event to a node's hold, or defers it while the node is paused.
    pub(super) fn deliver(&mut self, node: usize, event: HoldEvent) {
        let it = &mut self.nodes[node];
        if !it.is_alive() {
            return;
        }
        if !it.is_running() {
            it.deferred_events.push_back(event);
            return;
        }
        let now = it.clock.now(self.now_ms);
        let actions = it.hold.apply(&event, now);
        for action in actions {
            self.execute(node, action);
        }
    }

    fn execute(&mut self, node: usize, action: HoldAction) {
        match action {
            HoldAction::Send { to, message } => {
                let from = self.nodes[node].session.clone();
                let event = HoldEvent::Message { from, message };
                self.send(node, to, event);
            }
            HoldAction::ReadRow { read } => self.call_store(node, StoreOperation::Read { read }),
            HoldAction::Write {
                write,
                expected,
                row,
            } => {
                let operation = StoreOperation::Write {
                    write,
                    expected,
                    row,
                };
                self.call_store(node, operation);
            }
            HoldAction::TookOver { epoch, floor, .. } => {
                let clocks = self.nodes.iter().map(|it| it.clock);
                let ahead = clocks.max_by_key(|it| it.skew_ms);
                let latest = |at| ahead.map_or(Wall(0), |it| it.now(at).wall);
                self.invariants
                    .check_floor(epoch, floor, latest, self.now_ms);
            }
            HoldAction::Lost { .. } | HoldAction::OfferDeclined { .. } => {}
        }
    }
}

/// Returns a clock with a random rate and skew within the bounds of the settings.
fn random_clock(header: &Header, rng: &mut SplitMix64) -> Clock {
    let settings = &header.settings;
    let max_rate_error = settings.clock_rate_error_ppm / RATE_ERROR_DIVISOR;
    Clock {
        rate_per_million: MILLION - max_rate_error + rng.between(0, 2 * max_rate_error),
        skew_ms: rng.between(0, settings.skew_bound_ms),
        origin_ms: rng.between(10_000, 99_999),
    }
}
