//! Messages between processes and endpoints.

use citronway_core::ids::{RequestId, Session};
use citronway_core::node::events::RefusedReason;
use citronway_core::node::{Event, OrderReply, ProbeReport, Ticket};
use citronway_core::outcome::Answer;
use citronway_core::shard::KeyHash;

use super::endpoint::{Arrival, Message, Run, name};
use super::faults::Fault;
use super::{Due, World};

/// A process gives a grant or revocation up after this, in milliseconds.
const CONTROL_TIMEOUT_MS: u64 = 200;

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
        let crashes = self.harmful.as_ref() == Some(&run.request.key);
        self.servers[endpoint].running.insert(number, run);
        if crashes {
            self.crashes += 1;
            self.fault(&Fault::Restart {
                endpoint,
                down_ms: 0,
            });
            return;
        }
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
