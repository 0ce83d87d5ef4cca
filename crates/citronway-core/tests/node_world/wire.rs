//! Connections between processes, and where each action goes.

use citronway_core::ids::{InstanceName, Session};
use citronway_core::node::{Action, Event};
use citronway_core::outcome::{MayHaveRun, MayHaveRunReason, NotRun, NotRunReason, Outcome};
use indexmap::IndexMap;

use super::endpoint::{Message, number};
use super::platform::StoreRequest;
use super::{Due, INSTANCES, LINK_MS, World};

/// A forward to nobody is given up after this, in milliseconds.
const CONNECT_MS: u64 = 50;
/// Time between two calls to an address to which a connection stands, in
/// milliseconds.
const GREET_MS: u64 = 1_000;

/// What cannot be passed, until when.
#[derive(Debug, Default)]
pub struct Cuts {
    peers: IndexMap<(usize, usize), u64>,
    orders: IndexMap<(usize, usize), u64>,
    answers: IndexMap<(usize, usize), u64>,
    store: IndexMap<usize, u64>,
    /// Sessions with which each process is connected.
    linked: IndexMap<(usize, usize), Session>,
}

impl Cuts {
    pub fn cut_peers(&mut self, from: usize, to: usize, until: u64) {
        self.peers.insert((from, to), until);
    }

    pub fn cut_orders(&mut self, from: usize, endpoint: usize, until: u64) {
        self.orders.insert((from, endpoint), until);
    }

    pub fn cut_answers(&mut self, endpoint: usize, to: usize, until: u64) {
        self.answers.insert((endpoint, to), until);
    }

    pub fn cut_store(&mut self, index: usize, until: u64) {
        self.store.insert(index, until);
    }

    /// Lets everything pass again.
    pub fn heal(&mut self) {
        self.peers.clear();
        self.orders.clear();
        self.answers.clear();
        self.store.clear();
    }

    pub fn peers(&self, from: usize, to: usize, now: u64) -> bool {
        self.peers
            .get(&(from, to))
            .is_some_and(|until| *until > now)
    }

    pub fn orders(&self, from: usize, endpoint: usize, now: u64) -> bool {
        let cut = self.orders.get(&(from, endpoint));
        cut.is_some_and(|until| *until > now)
    }

    pub fn answers(&self, endpoint: usize, to: usize, now: u64) -> bool {
        let cut = self.answers.get(&(endpoint, to));
        cut.is_some_and(|until| *until > now)
    }

    pub fn store(&self, index: usize, now: u64) -> bool {
        self.store.get(&index).is_some_and(|until| *until > now)
    }
}

impl World {
    /// Each process calls each listed address, its own included.
    pub fn link(&mut self) {
        for from in 0..INSTANCES {
            for to in 0..INSTANCES {
                self.link_one(from, to);
            }
        }
    }

    fn link_one(&mut self, from: usize, to: usize) {
        let (caller, called) = (&self.processes[from], &self.processes[to]);
        if !caller.alive || caller.is_paused(self.now) || called.is_paused(self.now) {
            return;
        }
        let (caller, session) = (caller.session.clone(), called.session.clone());
        let cut = self.cuts.peers(from, to, self.now) || self.cuts.peers(to, from, self.now);
        let known = self.cuts.linked.get(&(from, to)).cloned();
        if cut || !called.alive {
            if self.cuts.linked.shift_remove(&(from, to)).is_some() {
                let instance = session.instance;
                self.tell(&caller, Event::PeerDown { instance });
            }
            return;
        }
        // Calls to the address are repeated, since rows learnt after the first
        // one may name earlier sessions.
        if known.as_ref() == Some(&session) && self.now % GREET_MS >= LINK_MS {
            return;
        }
        self.cuts.linked.insert((from, to), session.clone());
        let up = |session: Session, at_its_address| Event::PeerUp {
            session,
            at_its_address,
        };
        self.tell(&caller, up(session.clone(), true));
        if from != to {
            self.tell(&session, up(caller, false));
        }
    }

    fn tell(&mut self, to: &Session, event: Event) {
        let ms = self.jitter();
        self.after(
            ms,
            Due::Event {
                to: to.clone(),
                event,
            },
        );
    }

    /// Connections of a process that starts are made anew.
    pub fn unlink(&mut self, index: usize) {
        self.cuts.linked.retain(|(from, _), _| *from != index);
    }

    pub fn index_of(&self, instance: &InstanceName) -> usize {
        let mut all = self.processes.iter();
        all.position(|it| it.session.instance == *instance)
            .expect("an instance of this world")
    }

    fn passes(&self, from: &Session, to: &Session) -> bool {
        let (a, b) = (self.index_of(&from.instance), self.index_of(&to.instance));
        self.process_of(to).is_some() && !self.cuts.peers(a, b, self.now)
    }

    /// Carries out what a process decided.
    pub fn out(&mut self, from: &Session, action: Action, seq: u64) {
        let Some(index) = self.process_of(from) else {
            return;
        };
        let until = self.processes[index].paused_until;
        if until > self.now {
            let from = from.clone();
            self.put_off(until, seq, Due::Out { from, action });
            return;
        }
        match action {
            Action::Reply { ticket, outcome } => self.reply(from, ticket, outcome),
            Action::Forward { .. } => self.forward(from, action),
            Action::SendOrder {
                ticket,
                endpoint,
                fence,
                request,
                ..
            } => {
                let message = Message::Order {
                    ticket,
                    fence,
                    request,
                };
                self.send_endpoint(number(&endpoint), from, message);
            }
            Action::Cancel { endpoint, id, .. } => {
                self.send_endpoint(number(&endpoint), from, Message::Cancel { id });
            }
            Action::Grant {
                ticket,
                endpoint,
                grant,
                ..
            } => {
                let message = Message::Grant { ticket, grant };
                self.send_endpoint(number(&endpoint), from, message);
            }
            Action::Revoke {
                ticket,
                endpoint,
                grant,
                ..
            } => {
                let message = Message::Revoke { ticket, grant };
                self.send_endpoint(number(&endpoint), from, message);
            }
            Action::Send { to, message } => {
                let event = Event::Peer {
                    from: from.clone(),
                    message,
                };
                if self.passes(from, &to) {
                    self.tell(&to, event);
                }
            }
            Action::Broadcast { message } => {
                for other in 0..INSTANCES {
                    let to = self.processes[other].session.clone();
                    let event = Event::Peer {
                        from: from.clone(),
                        message: message.clone(),
                    };
                    if other != index && self.passes(from, &to) {
                        self.tell(&to, event);
                    }
                }
            }
            Action::ReadTable { table } => {
                let asked = self.processes[index].clocks(self.now);
                self.ask_store(from, StoreRequest::Table { table, asked });
            }
            Action::ReadRow { ticket, at } => {
                self.ask_store(from, StoreRequest::Row { ticket, at });
            }
            Action::Write { ticket, puts } => {
                self.ask_store(
                    from,
                    StoreRequest::Write {
                        ticket,
                        puts,
                        report: true,
                    },
                );
            }
            Action::Exit => self.exit(index),
        }
    }

    fn forward(&mut self, from: &Session, action: Action) {
        let Action::Forward {
            ticket,
            to,
            endpoint,
            dispatch_epoch,
            request,
        } = action
        else {
            return;
        };
        if !self.passes(from, &to) {
            let reason = NotRunReason::DispatcherUnreachable;
            let outcome = Outcome::NotRun(NotRun::new(reason, 100));
            let event = Event::ForwardDone { ticket, outcome };
            self.after(
                CONNECT_MS,
                Due::Event {
                    to: from.clone(),
                    event,
                },
            );
            return;
        }
        let ms = request.deadline.since(self.wall()) + 50;
        self.forward_lost(from, ticket, ms);
        let ticket = self.calls.forward(from, &to, ticket);
        let event = Event::Forwarded {
            ticket,
            endpoint,
            dispatch_epoch,
            request,
        };
        self.tell(&to, event);
    }

    /// The transport's word when no answer has come.
    pub fn forward_lost(&mut self, to: &Session, ticket: u64, ms: u64) {
        let outcome = Outcome::MayHaveRun(MayHaveRun {
            reason: MayHaveRunReason::DispatcherLost,
            retry_after_ms: 0,
        });
        let event = Event::ForwardDone { ticket, outcome };
        self.after(
            ms,
            Due::Event {
                to: to.clone(),
                event,
            },
        );
    }

    pub fn break_forwards(&mut self, dead: &Session) {
        for (entry, ticket) in self.calls.forwards_to(dead) {
            self.forward_lost(&entry, ticket, 5);
        }
    }

    fn reply(&mut self, from: &Session, ticket: u64, outcome: Outcome) {
        let Some(forward) = self.calls.forward_done(ticket) else {
            self.told(from, ticket, outcome);
            return;
        };
        if self.passes(from, &forward.entry) {
            let event = Event::ForwardDone {
                ticket: forward.ticket,
                outcome,
            };
            self.tell(&forward.entry, event);
        }
    }
}
