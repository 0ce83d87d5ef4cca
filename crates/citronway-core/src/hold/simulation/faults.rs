//! Effects of faults on the simulation.

use super::node::{Node, ProcessState};
use super::queue::Step;
use super::run::Simulation;
use super::script::Fault;
use crate::hold::{EndpointReach, HandOverReason, HoldEvent};
use crate::ids::{InstanceName, Session};
use crate::peer::KnownRequests;

/// Time from the start of a handover until the leaving process exits, in
/// milliseconds.
const EXIT_DELAY_MS: u64 = 1_000;
/// Interval between attempts of a handshake with a new session, in milliseconds.
const HANDSHAKE_RETRY_MS: u64 = 300;
/// Maximum time between two readings of the instance list, in milliseconds.
const MAX_LIST_READ_INTERVAL_MS: u64 = 500;

impl Simulation<'_> {
    pub(super) fn list_shows_gone(&mut self, session: &Session) {
        let back = self
            .nodes
            .iter()
            .any(|it| it.is_alive() && it.session.instance == session.instance);
        if back {
            return;
        }
        self.gone.insert(session.clone());
        for node in 0..self.nodes.len() {
            let read_ms = self.rng.between(0, MAX_LIST_READ_INTERVAL_MS);
            let to = self.nodes[node].session.clone();
            for session in self.gone_sessions_of(&session.instance) {
                let event = HoldEvent::Gone { session };
                let to = to.clone();
                self.schedule_in(read_ms, Step::Deliver { to, event });
            }
        }
    }

    /// Sessions of `instance` that have ended.
    fn gone_sessions_of(&self, instance: &InstanceName) -> Vec<Session> {
        let gone = self.gone.iter().filter(|it| it.instance == *instance);
        gone.cloned().collect()
    }

    /// Simulates a handshake: `node` calls an address, and the session `new`
    /// answers there.
    pub(super) fn handshake(&mut self, node: usize, new: Session) {
        let Some(there) = self.index_of(&new) else {
            return;
        };
        let cut =
            self.cut_links.contains(&(node, there)) || self.cut_links.contains(&(there, node));
        if cut || !self.nodes[there].is_running() || !self.nodes[node].is_alive() {
            self.schedule_in(HANDSHAKE_RETRY_MS, Step::Handshake { node, new });
            return;
        }
        for session in self.gone_sessions_of(&new.instance) {
            self.deliver(node, HoldEvent::Gone { session });
        }
    }

    pub(super) fn crash(&mut self, node: usize) {
        let it = &mut self.nodes[node];
        if !it.is_alive() {
            return;
        }
        it.state = ProcessState::Dead;
        it.deferred_events.clear();
        let session = it.session.clone();
        self.schedule_in(self.header.list_lag_ms, Step::ListShowsGone { session });
    }

    fn restart(&mut self, node: usize) {
        self.last_session_number += 1;
        let clock = self.nodes[node].clock;
        let old = self.nodes[node].session.clone();
        let mut fresh = Node::new(node, self.last_session_number, clock, &self.header.settings);
        fresh.store_cut = self.nodes[node].store_cut;
        let new = fresh.session.clone();
        self.nodes[node] = fresh;
        self.gone.insert(old);
        let known_gone: Vec<Session> = self.gone.iter().cloned().collect();
        for session in known_gone {
            self.deliver(node, HoldEvent::Gone { session });
        }
        for other in 0..self.nodes.len() {
            if other == node {
                continue;
            }
            let ms = self.rng.between(1, HANDSHAKE_RETRY_MS);
            let step = Step::Handshake {
                node: other,
                new: new.clone(),
            };
            self.schedule_in(ms, step);
        }
    }

    fn resume(&mut self, node: usize) {
        if self.nodes[node].state != ProcessState::Paused {
            return;
        }
        self.nodes[node].state = ProcessState::Running;
        self.tick(node);
        let deferred = std::mem::take(&mut self.nodes[node].deferred_events);
        for event in deferred {
            self.deliver(node, event);
        }
    }

    fn hand_over(&mut self, node: usize, reason: HandOverReason) {
        if !self.nodes[node].is_running() {
            return;
        }
        let it = &self.nodes[node];
        if let Some((_, row)) = it.hold.known_row()
            && row.dispatcher == it.session
        {
            self.invariants.handed_over.push(row.epoch);
        }
        let known = KnownRequests::default();
        self.deliver(node, HoldEvent::HandOver { reason, known });
        if reason == HandOverReason::Leaving {
            let session = self.nodes[node].session.clone();
            self.schedule_in(EXIT_DELAY_MS, Step::Exit { session });
        }
    }

    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash { node } => self.crash(node),
            Fault::Restart { node } => self.restart(node),
            Fault::Pause { node } => self.nodes[node].pause(),
            Fault::Continue { node } => self.resume(node),
            Fault::Cut { from, to } => {
                self.cut_links.insert((from, to));
            }
            Fault::Mend { from, to } => {
                self.cut_links.shift_remove(&(from, to));
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
        self.all_mended = true;
        self.store_down = false;
        self.cut_links.clear();
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
