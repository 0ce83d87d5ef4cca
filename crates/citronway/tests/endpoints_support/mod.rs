//! The duty towards endpoints with an endpoint that the test plays.

use std::net::{SocketAddr, TcpListener};

use crate::common::{Peer, listener, next};
use citronway::endpoints::clock::wall_now;
use citronway::endpoints::{EndpointCommand, EndpointsConfig, EndpointsHandle, Target, start};
use citronway_core::ids::{EndpointName, Epoch, Key, RequestId, ServiceName, Session, ShardId};
use citronway_core::node::events::{Grant, OrderReply};
use citronway_core::node::{Event, events::Ticket};
use citronway_core::outcome::Answer;
use citronway_core::request::{Fence, Repeat, Request};
use citronway_core::time::{Mono, Wall};
use googletest::prelude::*;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use uuid::Uuid;

/// Deadline that a test does not reach.
pub const FAR_MS: u64 = 60_000;
/// Deadline that a test waits for.
pub const NEAR_MS: u64 = 400;
pub const CONNECTIONS: u32 = 8;

pub struct Bench {
    pub listener: TcpListener,
    pub address: SocketAddr,
    pub commands: Sender<EndpointCommand>,
    pub events: Receiver<Event>,
    pub handle: EndpointsHandle,
}

impl Bench {
    pub fn new() -> Self {
        Self::with_probe_timeout(FAR_MS)
    }

    pub fn with_probe_timeout(ms: u64) -> Self {
        let cfg = EndpointsConfig::builder()
            .probe_timeout_ms(ms)
            .idle_ms(FAR_MS)
            .max_answer_bytes(1024);
        let (listener, address) = listener();
        let (commands, commands_rx) = channel(16);
        let (events_tx, events) = channel(16);
        let handle = start(cfg.build(), commands_rx, events_tx).expect("a thread");
        Self {
            listener,
            address,
            commands,
            events,
            handle,
        }
    }

    pub fn target(&self) -> Target {
        Target {
            endpoint: EndpointName::new("a"),
            address: self.address,
        }
    }

    pub fn command(&self, command: EndpointCommand) {
        self.commands.blocking_send(command).expect("an open ring");
    }

    pub fn order(&self, ticket: Ticket, ms: u64) -> RequestId {
        self.order_of(ticket, ms, CONNECTIONS)
    }

    pub fn order_of(&self, ticket: Ticket, ms: u64, connections: u32) -> RequestId {
        let id = RequestId(Uuid::now_v7());
        self.command(EndpointCommand::SendOrder {
            ticket,
            to: self.target(),
            connections,
            fence: fence(),
            held_until: Mono(u64::MAX),
            request: Box::new(request(id, wall_now().plus(ms))),
        });
        id
    }

    /// Sends an order, answers it with `answer`, and gives the reply.
    pub fn reply_to(
        &mut self,
        peer: &mut Peer,
        answer: impl Fn(&mut Peer, RequestId),
    ) -> OrderReply {
        let id = self.order(9, FAR_MS);
        peer.read();
        answer(peer, id);
        self.reply()
    }

    /// The end of an order; a look at the endpoint after an earlier one is passed over.
    pub fn reply(&mut self) -> OrderReply {
        loop {
            match next(&mut self.events) {
                Event::OrderDone { reply, .. } => return reply,
                Event::EndpointLives { .. } => {}
                other => panic!("not the end of an order: {other:?}"),
            }
        }
    }

    /// A connection that is idle after one whole answer.
    pub fn idle(&mut self) -> Peer {
        let id = self.order(1, FAR_MS);
        let mut peer = Peer::accept(&self.listener);
        peer.read();
        answer(&mut peer, id, "first");
        assert_that!(self.reply(), eq(&answered("first")));
        peer
    }

    pub fn stop(self) {
        self.command(EndpointCommand::Stop);
        self.handle.join();
    }
}

pub fn fence() -> Fence {
    Fence {
        shard: ShardId(3),
        shard_epoch: Epoch(4),
        dispatch_epoch: Epoch(5),
        dispatcher: Session::new("entry-1", 17),
    }
}

pub fn request(id: RequestId, deadline: Wall) -> Request {
    Request {
        id,
        service: ServiceName::new("bookings"),
        key: Key::new("Łódź 7"),
        tenant: "labs".to_owned(),
        class: "batch".into(),
        repeat: Repeat::NonIdempotent,
        deadline,
        method: "POST".to_owned(),
        path: "/book?x=1".to_owned(),
        content_type: Some("text/plain".to_owned()),
        body: "bottle".into(),
    }
}

pub fn grant() -> Grant {
    Grant {
        dispatch_epoch: Epoch(5),
        dispatcher: Session::new("entry-1", 17),
        end: Wall(1),
        shards: vec![],
    }
}

pub fn named(id: RequestId) -> String {
    format!("citronway-request-id: {id}\r\n")
}

pub fn answer(peer: &mut Peer, id: RequestId, body: &str) {
    peer.answer(201, &named(id), body);
}

pub fn answered(body: &'static str) -> OrderReply {
    OrderReply::Answered {
        answer: Answer {
            status: 201,
            content_type: None,
            body: body.into(),
        },
    }
}
