//! An entry instance among stand-ins of a chosen size, for measurements.
//!
//! All other instances, the store and the endpoints answer at once. What an
//! instance dispatches is chosen apart from how many endpoints there are, so
//! that a cost can be told to follow the one or the other.

mod rows;
mod shape;

pub use shape::Shape;

use bytes::Bytes;
use citronway_core::ids::{EndpointName, Key, RequestId, Session, Version};
use citronway_core::node::{
    Action, CallerRequest, Event, Node, NodeSettings, OrderReply, ProbeReport, Ticket,
};
use citronway_core::outcome::{Answer, Outcome};
use citronway_core::peer::{Heartbeat, HoldMessage, PeerMessage};
use citronway_core::platform::{
    ConditionalPut, InstanceList, ListedInstance, ListedState, Row, WriteOutcome,
};
use citronway_core::request::{Labels, Repeat, Request};
use citronway_core::time::{Mono, Now, Wall};
use uuid::Builder;

/// Wall clock at the start, in milliseconds.
const START: u64 = 1_700_000_000_000;
/// Time between two ticks, in milliseconds, as the deciding thread has it.
pub const TICK_MS: u64 = 10;
/// Time between two heartbeats of an instance, in milliseconds.
pub const HEARTBEAT_MS: u64 = 200;
/// Time until every hold and grant stands, in milliseconds.
const SETTLE_MS: u64 = 1_200;
/// Time that a request may take, in milliseconds.
const REQUEST_MS: u64 = 5_000;
/// First ticket of callers.
const FIRST_TICKET: Ticket = 1 << 40;

/// The instance and what surrounds it.
#[derive(Debug)]
pub struct Scene {
    /// The machine that is measured.
    pub node: Node,
    shape: Shape,
    now: Now,
    next: u64,
    answered: u64,
}

impl Scene {
    /// An instance that has its rows, its peers and its roles.
    pub fn new(shape: Shape) -> Self {
        let settings = NodeSettings {
            heartbeat_ms: HEARTBEAT_MS,
            ..NodeSettings::default()
        };
        let mut scene = Self {
            node: Node::new(shape::me(), shape::zone(0), settings),
            now: Now {
                mono: Mono(1_000),
                wall: Wall(START),
            },
            next: 0,
            answered: 0,
            shape,
        };
        scene.greet();
        scene.read_rows();
        scene.run(SETTLE_MS);
        scene
    }

    /// The time of the scene.
    pub const fn now(&self) -> Now {
        self.now
    }

    /// Requests that were answered with an answer of an endpoint.
    pub const fn answered(&self) -> u64 {
        self.answered
    }

    /// Endpoints that the instance may send orders to.
    pub fn dispatched(&self) -> usize {
        let seats = self.node.seats(self.now);
        seats.iter().filter(|seat| seat.may_act).count()
    }

    /// Lets one tick pass; heartbeats and answers come in beside it.
    pub fn pass(&mut self) {
        let actions = self.tick();
        self.answer(actions);
        self.after_tick();
    }

    /// The tick alone, for timing.
    pub fn tick(&mut self) -> Vec<Action> {
        self.now.mono = self.now.mono.plus(TICK_MS);
        self.now.wall = self.now.wall.plus(TICK_MS);
        self.node.handle(Event::Tick, self.now)
    }

    /// What others do between two ticks.
    pub fn after_tick(&mut self) {
        if self.now.mono.0.is_multiple_of(HEARTBEAT_MS) {
            self.beat();
        }
    }

    /// Answers what the instance asked of others, at once.
    pub fn answer(&mut self, actions: Vec<Action>) {
        let mut waiting = actions;
        while let Some(action) = waiting.pop() {
            if let Some(event) = self.reply_to(action) {
                waiting.extend(self.node.handle(event, self.now));
            }
        }
    }

    /// A heartbeat of another instance.
    pub fn heartbeat(index: u32) -> Event {
        Event::Peer {
            from: shape::session(index),
            message: PeerMessage::Heartbeat(Heartbeat {
                config: Version(1),
                store_age_ms: 100,
                leaving: false,
                first_sign: 0,
                signs: Vec::new(),
            }),
        }
    }

    /// A caller's request for a key.
    pub fn caller(&mut self, key: &Key) -> Event {
        let request = self.request(key);
        Event::Caller {
            ticket: FIRST_TICKET + self.next,
            request: CallerRequest {
                id: request.id,
                service: request.service,
                key: request.key,
                labels: Labels::from_iter([("tenant".to_owned(), "mill".to_owned())]),
                repeat: request.repeat,
                deadline: request.deadline,
                method: request.method,
                path: request.path,
                content_type: None,
                body: request.body,
            },
        }
    }

    /// A request that another entry forwards to this dispatcher.
    pub fn forwarded(&mut self, key: &Key) -> Event {
        let request = self.request(key);
        let endpoint = self.owner(key).expect("the key has an owner");
        Event::Forwarded {
            ticket: FIRST_TICKET + self.next,
            endpoint,
            dispatch_epoch: rows::EPOCH,
            request,
        }
    }

    /// Keys whose endpoint this instance dispatches, or those of others.
    pub fn keys(&self, mine: bool, count: usize) -> Vec<Key> {
        let mut keys = Vec::with_capacity(count);
        for number in 0_u64.. {
            if keys.len() == count {
                break;
            }
            let key = Key::new(&format!("bottle-{number}"));
            let Some(owner) = self.owner(&key) else {
                continue;
            };
            let row = &self.node.view().dispatch()[&owner].value;
            if (row.dispatcher == shape::me()) == mine {
                keys.push(key);
            }
        }
        keys
    }

    /// A newer assignment that gives some shards another owner.
    pub fn next_assignment(&mut self) -> Row {
        self.next += 1;
        self.shape.assignment_row(Version(1 + self.next))
    }

    /// The read of a table that shows nothing new.
    pub fn read(&self, table: &str) -> Event {
        Event::RowsRead {
            table: table.to_owned(),
            rows: self.shape.table(table),
            asked: self.now,
        }
    }

    fn owner(&self, key: &Key) -> Option<EndpointName> {
        let shard = self.node.view().shard_of(&shape::service(), key)?;
        shard.server().cloned()
    }

    fn request(&mut self, key: &Key) -> Request {
        self.next += 1;
        let mut random = [0; 10];
        random[..8].copy_from_slice(&self.next.to_le_bytes());
        let id = Builder::from_unix_timestamp_millis(self.now.wall.0, &random).into_uuid();
        Request {
            id: RequestId(id),
            service: shape::service(),
            key: key.clone(),
            tenant: "mill".to_owned(),
            class: "interactive".into(),
            repeat: Repeat::NonIdempotent,
            deadline: self.now.wall.plus(REQUEST_MS),
            method: "POST".to_owned(),
            path: "/bookings".to_owned(),
            content_type: None,
            body: Bytes::from_static(&[7; 512]),
        }
    }

    fn greet(&mut self) {
        let mut instances = Vec::new();
        for index in 0..self.shape.instances {
            instances.push(ListedInstance {
                instance: shape::session(index).instance,
                zone: shape::zone(index),
                peer_address: "127.0.0.1:7000".to_owned(),
                state: ListedState::Live,
            });
        }
        let list = InstanceList {
            lag_ms: 2_000,
            instances,
        };
        let asked = self.now;
        self.feed(Event::Instances { list, asked });
        for index in 1..self.shape.instances {
            self.feed(Event::PeerUp {
                session: shape::session(index),
                at_its_address: true,
            });
        }
        self.beat();
    }

    fn read_rows(&mut self) {
        for table in shape::TABLES {
            self.feed(self.read(table));
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.pass();
        }
    }

    fn beat(&mut self) {
        for index in 1..self.shape.instances {
            self.feed(Self::heartbeat(index));
        }
        for event in self.shape.questions(self.now.mono.0) {
            self.feed(event);
        }
    }

    fn feed(&mut self, event: Event) {
        let actions = self.node.handle(event, self.now);
        self.answer(actions);
    }

    fn reply_to(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send {
                to,
                message: PeerMessage::Hold { endpoint, message },
            } => promise(to, endpoint, &message),
            Action::Forward { ticket, .. } => Some(Event::ForwardDone {
                ticket,
                outcome: Outcome::Answered(booked()),
            }),
            Action::SendOrder { ticket, .. } => Some(Event::OrderDone {
                ticket,
                reply: OrderReply::Answered { answer: booked() },
            }),
            Action::Grant {
                ticket, endpoint, ..
            } => Some(granted(ticket, endpoint)),
            Action::ReadRow { ticket, at } => Some(Event::RowRead {
                ticket,
                row: self.shape.row(&at),
            }),
            Action::Write { ticket, puts } => Some(written(ticket, &puts)),
            Action::Reply {
                outcome: Outcome::Answered(_),
                ..
            } => {
                self.answered += 1;
                None
            }
            _ => None,
        }
    }
}

fn promise(from: Session, endpoint: EndpointName, asked: &HoldMessage) -> Option<Event> {
    let HoldMessage::Ask { epoch, round, .. } = *asked else {
        return None;
    };
    let message = HoldMessage::Promise { epoch, round };
    Some(Event::Peer {
        from,
        message: PeerMessage::Hold { endpoint, message },
    })
}

fn written(ticket: Ticket, puts: &[ConditionalPut]) -> Event {
    let versions = puts.iter().map(|put| put.expected.next()).collect();
    Event::WriteDone {
        ticket,
        outcome: WriteOutcome::Done { versions },
    }
}

const fn granted(ticket: Ticket, endpoint: EndpointName) -> Event {
    Event::GrantDone {
        endpoint,
        ticket,
        report: ProbeReport::Answered {
            stale_epoch: false,
            draining: false,
            running: 0,
            cold: false,
        },
    }
}

const fn booked() -> Answer {
    Answer {
        status: 200,
        content_type: None,
        body: Bytes::from_static(b"booked"),
    }
}
