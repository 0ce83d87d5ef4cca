//! Callers that keep connections open and go on through all faults.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio::sync::watch;

use crate::http::client::Client;

/// Time after which a caller gives an answer up; routes end earlier.
const PATIENCE: Duration = Duration::from_secs(6);

/// Longest pause of a caller between two requests, in milliseconds.
const PAUSE_MS: u64 = 25;

/// Keys that callers use, over the whole key space.
pub const KEYS: [u16; 8] = [0, 3, 9_000, 21_844, 21_846, 40_000, 55_555, u16::MAX];

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May be repeated; goes to the owner of its key.
    Look,
    /// May not be repeated; goes to the owner of its key.
    Apply,
    /// May be repeated; goes to any endpoint.
    Status,
    /// May not be repeated; goes to any endpoint.
    Order,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Look, Self::Apply, Self::Status, Self::Order];

    /// Whether it may run more than once.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Look | Self::Status)
    }

    /// Whether it has a key.
    #[must_use]
    pub const fn has_key(self) -> bool {
        matches!(self, Self::Look | Self::Apply)
    }

    const fn start(self) -> (Method, &'static str) {
        match self {
            Self::Look => (Method::GET, "/look/1"),
            Self::Apply => (Method::POST, "/apply/1"),
            Self::Status => (Method::GET, "/status/1"),
            Self::Order => (Method::POST, "/order/1"),
        }
    }
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Was {
    /// It got a whole answer.
    Answered {
        /// Its status.
        status: u16,
        /// Its body.
        body: String,
    },
    /// It got none.
    Lost,
}

/// A request and its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// Its id.
    pub id: String,
    /// What it was.
    pub kind: Kind,
    /// How it ended.
    pub was: Was,
}

/// Sends one request.
pub async fn ask(client: &Client, to: SocketAddr, kind: Kind, key: u16, id: String) -> Told {
    let (method, path) = kind.start();
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{to}{path}"))
        .header("host", "h.example")
        .header("x-request-id", &id)
        .header("x-deadline-ms", "5000");
    if kind.has_key() {
        req = req.header("x-shard-key", key);
    }
    let body = if kind.may_repeat() { "" } else { "work" };
    let sent = match req.body(Bytes::from_static(body.as_bytes())) {
        Ok(req) => client.send(req, PATIENCE).await.ok(),
        Err(_malformed) => None,
    };
    let was = sent.map_or(Was::Lost, |answer| Was::Answered {
        status: answer.status().as_u16(),
        body: String::from_utf8_lossy(answer.body()).into_owned(),
    });
    Told { id, kind, was }
}

/// Calls the instances one after the other until told to stop.
pub async fn call_on(
    seed: u64,
    instances: Vec<SocketAddr>,
    stop: watch::Receiver<bool>,
) -> Vec<Told> {
    let client = Client::default();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut told = Vec::new();
    while !*stop.borrow() {
        let to = instances[rng.random_range(0..instances.len())];
        let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
        let key = KEYS[rng.random_range(0..KEYS.len())];
        let id = format!("{seed:x}-{}", told.len());
        told.push(ask(&client, to, kind, key, id).await);
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..PAUSE_MS))).await;
    }
    told
}
