//! What the tests of the stand-ins share.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use citronway_core::ids::{Epoch, Key, RequestId, ServiceName, Session, ShardId, Version};
use citronway_core::node::events::{Grant, GrantedShard};
use citronway_core::platform::{ConditionalPut, RowKey};
use citronway_core::request::Repeat;
use citronway_core::shard::{HashRange, KeyHash};
use citronway_core::time::Wall;
use citronway_standin::endpoint::control::{self, Cancel, Cancelled, Report};
use citronway_standin::endpoint::{Endpoint, EndpointFaults, EndpointOptions, Journal, Order};
use citronway_standin::env::wait;
use citronway_standin::http::{Client, ClientError};
use citronway_standin::platform::messages::Transaction;
use citronway_standin::process::wall;
use http::{Method, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use uuid::Uuid;

pub const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Far enough away never to pass during a test.
pub const FAR: u64 = 3_600_000;

const TIMEOUT: Duration = Duration::from_secs(20);

pub fn put(key: &str, expected: u64, value: &str) -> ConditionalPut {
    ConditionalPut {
        at: row(key),
        expected: Version(expected),
        value: value.to_owned(),
    }
}

pub fn row(key: &str) -> RowKey {
    RowKey {
        table: "t".to_owned(),
        key: key.to_owned(),
    }
}

pub fn transaction(puts: impl Into<Vec<ConditionalPut>>) -> Transaction {
    Transaction { puts: puts.into() }
}

pub fn order(epoch: u64) -> Order {
    Order {
        id: RequestId(Uuid::now_v7()),
        service: ServiceName::new("bookings"),
        key: Key::new("bottle 7/a"),
        shard: ShardId(1),
        shard_epoch: Epoch(epoch),
        dispatch_epoch: Epoch(1),
        dispatcher: "one#1".to_owned(),
        deadline: wall().plus(FAR),
        repeat: Repeat::NonIdempotent,
    }
}

pub fn grant(epoch: u64, end: Wall) -> Grant {
    Grant {
        dispatch_epoch: Epoch(1),
        dispatcher: Session::new("one", 1),
        end,
        shards: vec![GrantedShard {
            service: ServiceName::new("bookings"),
            shard: ShardId(1),
            epoch: Epoch(epoch),
            range: HashRange {
                first: KeyHash(0),
                last: KeyHash(u64::MAX),
            },
        }],
    }
}

/// An endpoint stand-in with a client.
pub struct Bench {
    endpoint: Endpoint,
    client: Client,
}

impl Bench {
    pub fn new(options: &EndpointOptions) -> Self {
        Self {
            endpoint: Endpoint::start(options).expect("loopback can be listened on"),
            client: Client::default(),
        }
    }

    /// An endpoint that checks and holds shard 1 under epoch 1.
    pub async fn granted(options: &EndpointOptions) -> Self {
        let bench = Self::new(options);
        bench.grant(&grant(1, wall().plus(FAR))).await;
        bench
    }

    pub async fn send(&self, order: &Order) -> Result<Response<Bytes>, ClientError> {
        let uri = format!("http://{}/book", self.endpoint.addr());
        let req = order.write(Request::post(uri)).body(Bytes::new())?;
        self.client.send(req, TIMEOUT).await
    }

    /// Sends an order and hangs up once its bytes have arrived.
    pub async fn send_and_hang_up(&self, order: &Order) {
        let uri = format!("http://{}/book", self.endpoint.addr());
        let req = order.write(Request::post(uri)).body(Bytes::new());
        let req = req.expect("orders are requests");
        let before = self.journal().await.arrived;
        let sending = tokio::spawn(async move { Client::default().send(req, TIMEOUT).await });
        let arrived = async || self.journal().await.arrived > before;
        let reached = wait("the order has arrived", arrived).await;
        reached.expect("the state is reached");
        sending.abort();
    }

    pub async fn grant(&self, grant: &Grant) -> Report {
        self.control(control::GRANT, grant).await
    }

    pub async fn revoke(&self, grant: &Grant) -> Report {
        self.control(control::REVOKE, grant).await
    }

    pub async fn cancel(&self, id: RequestId) -> bool {
        let cancelled: Cancelled = self.control(control::CANCEL, &Cancel { id }).await;
        cancelled.confirmed
    }

    pub async fn faults(&self, faults: EndpointFaults) {
        let to = self.endpoint.addr();
        let done = self.client.submit(Method::POST, to, "/fault", &faults);
        done.await.expect("faults are taken");
    }

    pub async fn journal(&self) -> Journal {
        let journal = self.client.get(self.endpoint.addr(), "/journal");
        journal.await.expect("the journal is always readable")
    }

    async fn control<T: DeserializeOwned>(&self, path: &str, value: &impl Serialize) -> T {
        let to = self.endpoint.addr();
        let rsp = self.client.submit(Method::POST, to, path, value).await;
        let rsp = rsp.expect("control requests are answered");
        serde_json::from_slice(rsp.body()).expect("control answers are JSON")
    }
}
