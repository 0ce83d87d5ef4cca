//! What faults do to the world.

use super::node::{Node, Process};
use super::queue::Step;
use super::run::World;
use super::script::Fault;
use crate::hold::{EndpointReach, HandOverReason, HoldEvent};
use crate::ids::{InstanceName, Session};
use crate::peer::KnownRequests;

/// A leaving process exits after this, in milliseconds.
const EXIT_MS: u64 = 1_000;
/// How often a new session is greeted until it answers, in milliseconds.
const GREET_MS: u64 = 300;
/// Most by which two readings of the instance list lie apart, in milliseconds.
const LIST_READ_MS: u64 = 500;

impl World<'_> {
    pub(super) fn list_shows_gone(&mut self, session: &Session) {
        let back = self
            .nodes
            .iter()
            .any(|it| it.alive() && it.session.instance == session.instance);
        if back {
            return;
        }
        self.gone.insert(session.clone());
        for node in 0..self.nodes.len() {
            let read_ms = self.chance.between(0, LIST_READ_MS);
            let to = self.nodes[node].session.clone();
            for session in self.gone_of(&session.instance) {
                let event = HoldEvent::Gone { session };
                let to = to.clone();
                self.queue_in(read_ms, Step::Arrive { to, event });
            }
        }
    }

    /// Sessions of an instance that are gone.
    fn gone_of(&self, instance: &InstanceName) -> Vec<Session> {
        let gone = self.gone.iter().filter(|it| it.instance == *instance);
        gone.cloned().collect()
    }

    /// A node calls an address and meets a new session there.
    pub(super) fn greet(&mut self, node: usize, new: Session) {
        let Some(there) = self.index_of(&new) else {
            return;
        };
        let cut = self.cuts.contains(&(node, there)) || self.cuts.contains(&(there, node));
        if cut || !self.nodes[there].runs() || !self.nodes[node].alive() {
            self.queue_in(GREET_MS, Step::Greet { node, new });
            return;
        }
        for session in self.gone_of(&new.instance) {
            self.give(node, HoldEvent::Gone { session });
        }
    }

    pub(super) fn crash(&mut self, node: usize) {
        let it = &mut self.nodes[node];
        if !it.alive() {
            return;
        }
        it.process = Process::Dead;
        it.waiting.clear();
        let session = it.session.clone();
        self.queue_in(self.header.list_lag_ms, Step::ListShowsGone { session });
    }

    fn restart(&mut self, node: usize) {
        self.starts += 1;
        let clock = self.nodes[node].clock;
        let old = self.nodes[node].session.clone();
        let mut fresh = Node::new(node, self.starts, clock, &self.header.settings);
        fresh.store_cut = self.nodes[node].store_cut;
        let new = fresh.session.clone();
        self.nodes[node] = fresh;
        self.gone.insert(old);
        let known_gone: Vec<Session> = self.gone.iter().cloned().collect();
        for session in known_gone {
            self.give(node, HoldEvent::Gone { session });
        }
        for other in 0..self.nodes.len() {
            if other == node {
                continue;
            }
            let ms = self.chance.between(1, GREET_MS);
            let step = Step::Greet {
                node: other,
                new: new.clone(),
            };
            self.queue_in(ms, step);
        }
    }

    fn resume(&mut self, node: usize) {
        if self.nodes[node].process != Process::Paused {
            return;
        }
        self.nodes[node].process = Process::Running;
        self.tick(node);
        let waiting = std::mem::take(&mut self.nodes[node].waiting);
        for event in waiting {
            self.give(node, event);
        }
    }

    fn hand_over(&mut self, node: usize, reason: HandOverReason) {
        if !self.nodes[node].runs() {
            return;
        }
        let it = &self.nodes[node];
        if let Some((_, row)) = it.hold.known_row()
            && row.dispatcher == it.session
        {
            self.watch.handed_over.push(row.epoch);
        }
        let known = KnownRequests::default();
        self.give(node, HoldEvent::HandOver { reason, known });
        if reason == HandOverReason::Leaving {
            let session = self.nodes[node].session.clone();
            self.queue_in(EXIT_MS, Step::Exit { session });
        }
    }

    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash { node } => self.crash(node),
            Fault::Restart { node } => self.restart(node),
            Fault::Pause { node } => self.nodes[node].pause(),
            Fault::Continue { node } => self.resume(node),
            Fault::Cut { from, to } => {
                self.cuts.insert((from, to));
            }
            Fault::Mend { from, to } => {
                self.cuts.shift_remove(&(from, to));
            }
            Fault::CutStore { node } => self.nodes[node].store_cut = true,
            Fault::StoreDown => self.store_down = true,
            Fault::StoreUp => self.store_down = false,
            Fault::DelayWrite { node, ms } => self.nodes[node].delay_write_ms = ms,
            Fault::LoseAnswer { node } => self.nodes[node].lose_answer = true,
            Fault::Reach { node, reach } => self.nodes[node].reach = reach,
            Fault::HandOver { node, reason } => self.hand_over(node, reason),
            Fault::MendAll => self.mend_all(),
        }
    }

    fn mend_all(&mut self) {
        self.mended = true;
        self.store_down = false;
        self.cuts.clear();
        for node in 0..self.nodes.len() {
            let it = &mut self.nodes[node];
            it.store_cut = false;
            it.delay_write_ms = 0;
            it.lose_answer = false;
            it.reach = EndpointReach::Reached;
            self.resume(node);
        }
    }
}
