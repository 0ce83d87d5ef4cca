//! Endpoints: some check who gives them orders, others run whatever arrives.

use citronway_core::ids::{EndpointName, Epoch, RequestId, Session, ShardId, Version};
use citronway_core::node::events::{Grant, GrantedShard, RefusedReason};
use citronway_core::node::{Event, OrderReply, ProbeReport, Ticket};
use citronway_core::outcome::Answer;
use citronway_core::request::{Fence, Request};
use citronway_core::shard::{HashRange, KeyHash};
use citronway_core::time::Wall;
use indexmap::{IndexMap, IndexSet};

use super::{Due, ENDPOINTS, START, World};

/// A process gives a grant or revocation up after this, in milliseconds.
const CONTROL_TIMEOUT_MS: u64 = 200;
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
struct Run {
    number: u64,
    from: Session,
    ticket: Ticket,
    fence: Fence,
    request: Request,
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
    start: u64,
    epoch: Epoch,
    held: IndexMap<ShardId, Held>,
    /// Lowest epoch of a shard that is still taken.
    lowest: IndexMap<ShardId, Epoch>,
    running: IndexMap<u64, Run>,
    cancelled: IndexSet<RequestId>,
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
    fn holds(&self, key: KeyHash, now: u64) -> bool {
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

    fn refusal(&self, fence: &Fence, request: &Request, now: u64) -> Option<RefusedReason> {
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

    fn grant(&mut self, grant: &Grant) -> bool {
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

    fn revoke(&mut self, grant: &Grant) -> bool {
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

    fn report(&self, stale_epoch: bool) -> ProbeReport {
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

impl World {
    pub fn arrive(&mut self, mut arrival: Arrival, seq: u64) {
        let server = &self.servers[arrival.endpoint];
        if server.down_until > self.now {
            self.lost(&arrival, OrderReply::NotSent);
            return;
        }
        if arrival.buffered.is_some_and(|start| start != server.start) {
            self.lost(&arrival, OrderReply::Lost);
            return;
        }
        if server.frozen_until > self.now {
            arrival.buffered = Some(server.start);
            self.put_off(server.frozen_until, seq, Due::Arrive(arrival));
            return;
        }
        let Arrival {
            endpoint,
            from,
            buffered,
            message,
        } = arrival;
        match message {
            Message::Order {
                ticket,
                fence,
                request,
            } => {
                let run = Run {
                    number: 0,
                    from,
                    ticket,
                    fence,
                    request,
                };
                self.order(endpoint, run, buffered.is_some());
            }
            Message::Grant { ticket, grant } => {
                let stale = self.servers[endpoint].grant(&grant);
                self.look_at_owners();
                self.control_done(endpoint, &from, ticket, stale);
            }
            Message::Revoke { ticket, grant } => {
                let stale = self.servers[endpoint].revoke(&grant);
                self.control_done(endpoint, &from, ticket, stale);
            }
            Message::Cancel { id } => self.cancel(endpoint, &from, id),
        }
    }

    /// The connection broke; without bytes written if it is `NotSent`.
    fn lost(&mut self, arrival: &Arrival, reply: OrderReply) {
        let to = arrival.from.clone();
        match &arrival.message {
            Message::Order { ticket, .. } => {
                let event = Event::OrderDone {
                    ticket: *ticket,
                    reply,
                };
                self.after(2, Due::Event { to, event });
            }
            Message::Grant { ticket, .. } | Message::Revoke { ticket, .. } => {
                self.control_failed(arrival.endpoint, &to, *ticket, 2);
            }
            Message::Cancel { .. } => {}
        }
    }

    fn order(&mut self, endpoint: usize, mut run: Run, buffered: bool) {
        let server = &self.servers[endpoint];
        // One that does not check still notices a closed connection.
        let closed = buffered && run.request.deadline <= self.wall();
        if closed && !server.checks {
            return;
        }
        let known = server
            .cancelled
            .contains(&run.request.id)
            .then_some(RefusedReason::NoGrant);
        if let Some(reason) = known.or_else(|| server.refusal(&run.fence, &run.request, self.now)) {
            let reply = OrderReply::Refused { reason };
            self.order_done(endpoint, &run, reply);
            return;
        }
        if server.draining {
            let reason = RefusedReason::Draining;
            self.order_done(endpoint, &run, OrderReply::Refused { reason });
            return;
        }
        let slow = server.slow_until > self.now;
        let ms = if slow {
            200 + self.rng.below(2_000)
        } else {
            2 + self.rng.below(40)
        };
        self.seq += 1;
        run.number = self.seq;
        let number = run.number;
        if !server.checks {
            self.ran(endpoint, &run.request);
        }
        self.servers[endpoint].running.insert(number, run);
        self.look_at_owners();
        self.after(
            ms,
            Due::Finish {
                endpoint,
                run: number,
            },
        );
    }

    pub fn finish(&mut self, endpoint: usize, number: u64, seq: u64) {
        let now = self.wall();
        let server = &mut self.servers[endpoint];
        if server.frozen_until > self.now {
            let until = server.frozen_until;
            self.put_off(
                until,
                seq,
                Due::Finish {
                    endpoint,
                    run: number,
                },
            );
            return;
        }
        let Some(run) = server.running.shift_remove(&number) else {
            return;
        };
        if server.checks {
            if let Some(reason) = server.refusal(&run.fence, &run.request, self.now) {
                self.order_done(endpoint, &run, OrderReply::Refused { reason });
                return;
            }
            self.ran(endpoint, &run.request);
        } else if run.request.deadline <= now {
            return;
        }
        let body = format!("{}|{}", run.request.id, run.request.key);
        let answer = Answer {
            status: 200,
            content_type: None,
            body: body.into(),
        };
        self.order_done(endpoint, &run, OrderReply::Answered { answer });
    }

    fn order_done(&mut self, endpoint: usize, run: &Run, reply: OrderReply) {
        let event = Event::OrderDone {
            ticket: run.ticket,
            reply,
        };
        let to = run.from.clone();
        if self.servers[endpoint].mute_until <= self.now {
            self.answer(endpoint, &to, event);
        }
    }

    fn control_done(&mut self, endpoint: usize, to: &Session, ticket: Ticket, stale: bool) {
        let report = self.servers[endpoint].report(stale);
        let event = Event::GrantDone {
            endpoint: name(endpoint),
            ticket,
            report,
        };
        self.answer(endpoint, to, event);
    }

    pub fn control_failed(&mut self, endpoint: usize, to: &Session, ticket: Ticket, ms: u64) {
        let endpoint = name(endpoint);
        let report = ProbeReport::Failed;
        let event = Event::GrantDone {
            endpoint,
            ticket,
            report,
        };
        self.after(
            ms,
            Due::Event {
                to: to.clone(),
                event,
            },
        );
    }

    fn cancel(&mut self, endpoint: usize, to: &Session, id: RequestId) {
        let server = &mut self.servers[endpoint];
        // What runs is stopped before its commit; what never came is barred.
        let running = server.running.values().any(|run| run.request.id == id);
        let confirmed = server.checks && !self.calls.has_run(id) || !server.checks && !running;
        let confirmed = confirmed && !self.calls.has_run(id);
        if confirmed {
            server.cancelled.insert(id);
            server.running.retain(|_, run| run.request.id != id);
        }
        let endpoint_name = name(endpoint);
        let event = Event::CancelDone {
            endpoint: endpoint_name,
            id,
            confirmed,
        };
        self.answer(endpoint, to, event);
    }

    fn answer(&mut self, endpoint: usize, to: &Session, event: Event) {
        let index = self.processes.iter().position(|it| it.session == *to);
        let cut = index.is_none_or(|index| self.cuts.answers(endpoint, index, self.now));
        if cut || self.servers[endpoint].deaf_until > self.now {
            return;
        }
        let ms = self.jitter();
        self.after(
            ms,
            Due::Event {
                to: to.clone(),
                event,
            },
        );
    }

    /// A message leaves a process for an endpoint; its transport reports an end
    /// in any case.
    pub fn send_endpoint(&mut self, endpoint: usize, from: &Session, message: Message) {
        let index = self.process_of(from).unwrap_or(0);
        let cut = self.cuts.orders(index, endpoint, self.now);
        match &message {
            Message::Order {
                ticket, request, ..
            } => {
                let ticket = *ticket;
                let ms = request.deadline.since(self.wall()) + 5;
                let reply = if cut {
                    OrderReply::NotSent
                } else {
                    OrderReply::Timeout
                };
                let ms = if cut { ms.min(CONTROL_TIMEOUT_MS) } else { ms };
                let event = Event::OrderDone { ticket, reply };
                self.after(
                    ms,
                    Due::Event {
                        to: from.clone(),
                        event,
                    },
                );
            }
            Message::Grant { ticket, .. } | Message::Revoke { ticket, .. } => {
                self.control_failed(endpoint, from, *ticket, CONTROL_TIMEOUT_MS);
            }
            Message::Cancel { .. } => {}
        }
        if cut {
            return;
        }
        let ms = self.jitter();
        let arrival = Arrival {
            endpoint,
            from: from.clone(),
            buffered: None,
            message,
        };
        self.after(ms, Due::Arrive(arrival));
    }

    /// One owner for each key, as the endpoints see it.
    fn look_at_owners(&mut self) {
        for key in super::calls::keys() {
            let hash = KeyHash::of(&key);
            let holders: Vec<usize> = self
                .servers
                .iter()
                .filter(|it| it.holds(hash, self.now))
                .map(|it| it.number)
                .collect();
            if holders.len() > 1 {
                self.violation(&format!("{key} is held by {holders:?}"));
            }
        }
    }
}
