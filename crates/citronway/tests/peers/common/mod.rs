//! Instances with a peers duty only, joined over loopback.

pub mod raw;
pub mod relay;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use citronway::peers::{self, PeerCommand, PeersConfig, PeersConfigBuilder, PeersHandle};
use citronway_core::ids::{ClassName, EndpointName, Epoch, Key, RequestId};
use citronway_core::ids::{ServiceName, Session, Version, ZoneName};
use citronway_core::node::Event;
use citronway_core::node::events::Ticket;
use citronway_core::outcome::{Answer, Outcome};
use citronway_core::peer::{Heartbeat, PeerMessage};
use citronway_core::platform::{ListedInstance, ListedState};
use citronway_core::request::{Repeat, Request};
use citronway_core::time::Wall;
use citronway_wire::greeting::SharedKey;
use tokio::sync::mpsc;
use uuid::Uuid;

/// A test that waits longer has hung.
const HUNG: Duration = Duration::from_secs(30);
const RING: usize = 64;
pub const KEY: &[u8] = b"key of all instances";

/// One running peers duty.
pub struct Instance {
    pub me: Session,
    pub handle: PeersHandle,
    commands: mpsc::Sender<PeerCommand>,
    events: mpsc::Receiver<Event>,
    /// Events that came while another was waited for.
    passed_over: VecDeque<Event>,
}

/// Waits for something that comes, unless the code under test has hung.
pub async fn unless_hung<T>(waiting: impl Future<Output = T>) -> T {
    let waited = tokio::time::timeout(HUNG, waiting).await;
    waited.unwrap_or_else(|_| panic!("waited in vain"))
}

/// Longer than any test: what it bounds ends for another reason or not at all.
const NEVER: Duration = HUNG.saturating_mul(2);

/// Settings of an instance on a free port of loopback. Peers have all the time to
/// greet and to confirm, so that a busy machine breaks no link, and no timeout
/// stands in for a guard that fails.
pub fn config(me: &Session, key: &[u8]) -> PeersConfigBuilder {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let zone = ZoneName::new("zone-a");
    let cfg = PeersConfig::builder(me.clone(), zone, listen, SharedKey::new(key));
    cfg.connect_timeout(NEVER).control_timeout(NEVER)
}

impl Instance {
    pub fn start(name: &str, session: u64) -> Self {
        let me = Session::new(name, session);
        let cfg = config(&me, KEY).build();
        Self::with(cfg)
    }

    pub fn with(cfg: PeersConfig) -> Self {
        let me = cfg.me.clone();
        let (commands, commands_rx) = mpsc::channel(RING);
        let (events_tx, events) = mpsc::channel(1);
        let handle = peers::start(cfg, commands_rx, events_tx).expect("loopback has a free port");
        Self {
            me,
            handle,
            commands,
            events,
            passed_over: VecDeque::new(),
        }
    }

    pub async fn command(&self, command: PeerCommand) {
        let sent = self.commands.send(command).await;
        sent.expect("the duty runs");
    }

    /// Lists one other instance at an address.
    pub async fn list(&self, others: &[(&Session, SocketAddr)]) {
        let mut listed = Vec::new();
        for (session, address) in others {
            listed.push(ListedInstance {
                instance: session.instance.clone(),
                zone: ZoneName::new("zone-b"),
                peer_address: address.to_string(),
                state: ListedState::Live,
            });
        }
        self.command(PeerCommand::SetInstances(listed)).await;
    }

    pub async fn forward(&self, ticket: Ticket, to: &Session, request: Request) {
        self.command(PeerCommand::Forward {
            ticket,
            to: to.clone(),
            endpoint: EndpointName::new("endpoint-1"),
            dispatch_epoch: Epoch(7),
            request,
        })
        .await;
    }

    pub async fn reply(&self, ticket: Ticket, outcome: Outcome) {
        self.command(PeerCommand::Reply { ticket, outcome }).await;
    }

    pub async fn send(&self, to: &Session, message: PeerMessage) {
        let to = to.clone();
        self.command(PeerCommand::Send { to, message }).await;
    }

    /// Takes the first event that fits, in whatever order they come.
    pub async fn wait<T>(&mut self, fits: impl Fn(&Event) -> Option<T>) -> T {
        for (i, event) in self.passed_over.iter().enumerate() {
            if let Some(found) = fits(event) {
                self.passed_over.remove(i);
                return found;
            }
        }
        let waiting = async {
            loop {
                let event = self.events.recv().await.expect("the duty runs");
                if let Some(found) = fits(&event) {
                    return found;
                }
                self.passed_over.push_back(event);
            }
        };
        unless_hung(waiting).await
    }

    pub async fn wait_up(&mut self) -> Session {
        self.wait(|event| match event {
            Event::PeerUp { session, .. } => Some(session.clone()),
            _ => None,
        })
        .await
    }

    pub async fn wait_down(&mut self) {
        let is_down = |event: &Event| matches!(event, Event::PeerDown { .. }).then_some(());
        self.wait(is_down).await;
    }

    pub async fn wait_forwarded(&mut self) -> (Ticket, Request) {
        self.wait(|event| match event {
            Event::Forwarded {
                ticket, request, ..
            } => Some((*ticket, request.clone())),
            _ => None,
        })
        .await
    }

    pub async fn wait_done(&mut self) -> (Ticket, Outcome) {
        self.wait(|event| match event {
            Event::ForwardDone { ticket, outcome } => Some((*ticket, outcome.clone())),
            _ => None,
        })
        .await
    }

    pub async fn wait_message(&mut self) -> (Session, PeerMessage) {
        self.wait(|event| match event {
            Event::Peer { from, message } => Some((from.clone(), message.clone())),
            _ => None,
        })
        .await
    }

    /// Stops the duty and waits until its address is free again.
    pub async fn stop(self) {
        self.command(PeerCommand::Stop).await;
        let joined = tokio::task::spawn_blocking(|| self.handle.thread.join());
        let joined = unless_hung(joined).await.expect("joining works");
        joined.expect("the duty does not panic");
    }
}

/// An instance that is connected to `to` at `address`.
pub async fn connected(name: &str, to: &Session, address: SocketAddr) -> Instance {
    let mut instance = Instance::start(name, 1);
    instance.list(&[(to, address)]).await;
    instance.wait_up().await;
    instance
}

pub fn request(body: &[u8]) -> Request {
    Request {
        id: RequestId(Uuid::now_v7()),
        service: ServiceName::new("booking"),
        key: Key::new("bottle-17"),
        tenant: "vatuwaqa".to_owned(),
        class: ClassName::new("interactive"),
        repeat: Repeat::NonIdempotent,
        deadline: Wall(u64::MAX),
        method: "POST".to_owned(),
        path: "/bookings?day=3".to_owned(),
        content_type: Some("application/json".to_owned()),
        body: Bytes::copy_from_slice(body),
    }
}

pub fn answer(body: &[u8]) -> Outcome {
    Outcome::Answered(Answer {
        status: 201,
        content_type: None,
        body: Bytes::copy_from_slice(body),
    })
}

pub fn heartbeat(config: u64) -> PeerMessage {
    PeerMessage::Heartbeat(Heartbeat {
        config: Version(config),
        store_age_ms: 5,
        leaving: false,
        first_sign: 0,
        signs: Vec::new(),
    })
}
