//! Callers that keep connections open and go on through all faults.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use serde_json::json;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::sync::watch;

pub use super::exchange::Cut;
use super::exchange::{exchange, is_open, read_answer, was_reset};
use crate::shared::{SENDER_HEADER, route};

/// Bound of the wait for an answer, far above what routes and pauses take.
pub(super) const PATIENCE: Duration = Duration::from_mins(1);

/// Time that callers state to wait, in milliseconds.
const STATED_MS: u64 = 5_000;

/// The same on patient routes: longer than an instance takes to stop.
const STATED_PATIENT_MS: u64 = 12_000;

/// Time that patient routes give, in seconds.
const PATIENT_S: f64 = 11.0;

/// Requests after which a caller leaves a connection and takes a new one, now and then.
const NEW_EVERY: usize = 7;

/// Longest pause of a caller between two requests, in milliseconds.
const PAUSE_MS: u64 = 25;

/// Fewest and most requests that are sent on a connection before the first answer is read.
const ROW: (usize, usize) = (2, 6);

/// Longest time for which a caller of rows reads nothing, in milliseconds.
const UNREAD_MS: u64 = 400;

/// Rows of which one is left before its answers, in place of being read.
const ROWS_LEFT: u32 = 8;

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
    /// As `Status`, on a patient route.
    LongStatus,
    /// As `Order`, on a patient route.
    LongOrder,
    /// As `Status`, with a long answer.
    Bulk,
    /// As `Status`; crashes each endpoint that begins it.
    Harmful,
}

/// End of the path of work that crashes endpoints.
pub(super) const HARMFUL_PATH: &str = "/harmful";

/// Longest pause between two tries of harmful work, in milliseconds.
const HARMFUL_PAUSE_MS: u64 = 400;

impl Kind {
    /// All kinds.
    pub(super) const ALL: [Self; 6] = [
        Self::Look,
        Self::Apply,
        Self::Status,
        Self::Order,
        Self::LongStatus,
        Self::LongOrder,
    ];

    /// Those on routes that are not patient.
    pub(super) const USUAL: usize = 4;

    /// Whether it may run more than once.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(
            self,
            Self::Look | Self::Status | Self::LongStatus | Self::Bulk | Self::Harmful
        )
    }

    /// Whether it has a key.
    #[must_use]
    pub const fn has_key(self) -> bool {
        matches!(self, Self::Look | Self::Apply)
    }

    const fn start(self) -> &'static str {
        match self {
            Self::Look => "GET /look/1",
            Self::Apply => "POST /apply/1",
            Self::Status => "GET /status/1",
            Self::Order => "POST /order/1",
            Self::LongStatus => "GET /long-status/1",
            Self::LongOrder => "POST /long-order/1",
            Self::Bulk => "GET /bulk/1",
            Self::Harmful => "GET /status/harmful",
        }
    }

    const fn stated_ms(self) -> u64 {
        match self {
            Self::Look | Self::Apply | Self::Status | Self::Order | Self::Bulk | Self::Harmful => {
                STATED_MS
            }
            Self::LongStatus | Self::LongOrder => STATED_PATIENT_MS,
        }
    }

    /// The bytes of a request.
    pub(super) fn request(self, instance: usize, key: u16, id: &str) -> String {
        let body = if self.may_repeat() { "" } else { "work" };
        let key = if self.has_key() {
            format!("x-shard-key: {key}\r\n")
        } else {
            String::new()
        };
        format!(
            "{} HTTP/1.1\r\nhost: h.example\r\nx-request-id: {id}\r\nx-deadline-ms: {}\r\n\
             {SENDER_HEADER}: {instance}\r\n{key}content-length: {}\r\n\r\n{body}",
            self.start(),
            self.stated_ms(),
            body.len(),
        )
    }
}

/// Start of the path of long answers, and their length in bytes.
pub(super) const BULK: (&str, usize) = ("/bulk/", 100_000);

/// The route to long answers.
pub(super) fn bulk_route() -> serde_json::Value {
    route("bulk", BULK.0, "idempotent", "console")
}

/// Routes to the service without keys that wait longer than an instance takes to stop.
pub(super) fn patient_routes() -> [serde_json::Value; 2] {
    let mut look = route("long-status", "/long-status/", "idempotent", "console");
    let mut order = route("long-order", "/long-order/", "non_idempotent", "console");
    for route in [&mut look, &mut order] {
        route["timeoutS"] = json!(PATIENT_S);
    }
    [look, order]
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
    Cut(Cut),
    /// Its caller left.
    Left,
}

/// A request and its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// Its id.
    pub id: String,
    /// What it was.
    pub kind: Kind,
    /// Which instance took it.
    pub instance: usize,
    /// Its caller reads slowly.
    pub is_slow: bool,
    /// Moment before it was sent.
    pub sent: Instant,
    /// Moment after it had ended.
    pub ended: Instant,
    /// How it ended.
    pub was: Was,
}

/// A caller with its open connections, one to each instance.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) instances: Vec<SocketAddr>,
    /// Calls patient routes too.
    is_patient: bool,
    pub(super) open: IndexMap<usize, TcpStream>,
    /// Connections that ended without an answer, by the ids of the requests.
    pub(super) ended: Vec<(Vec<String>, TcpStream)>,
}

impl Caller {
    /// One that calls these instances.
    pub fn new(instances: Vec<SocketAddr>, is_patient: bool) -> Self {
        Self {
            instances,
            is_patient,
            open: IndexMap::new(),
            ended: Vec::new(),
        }
    }

    /// Sends one request; none if there is no connection.
    pub async fn ask(&mut self, instance: usize, kind: Kind, key: u16, id: String) -> Option<Told> {
        let mut stream = self.connection(instance).await?;
        let sent = Instant::now();
        let req = kind.request(instance, key, &id);
        let exchanged = tokio::time::timeout(PATIENCE, exchange(&mut stream, req.as_bytes())).await;
        let was = match exchanged.unwrap_or(Err(Cut::Open)) {
            Ok(answer) => {
                if !answer.is_last {
                    self.open.insert(instance, stream);
                }
                Was::Answered {
                    status: answer.status,
                    body: answer.body,
                }
            }
            Err(cut) => {
                self.ended.push((vec![id.clone()], stream));
                Was::Cut(cut)
            }
        };
        Some(Told {
            id,
            kind,
            instance,
            is_slow: false,
            sent,
            ended: Instant::now(),
            was,
        })
    }

    async fn connection(&mut self, instance: usize) -> Option<TcpStream> {
        let open = self.open.swap_remove(&instance);
        if let Some(stream) = open.filter(is_open) {
            return Some(stream);
        }
        TcpStream::connect(self.instances[instance]).await.ok()
    }

    /// Calls the instances one after the other until told to stop.
    pub async fn call_on(mut self, seed: u64, stop: watch::Receiver<bool>) -> Vec<Told> {
        let mut rng = StdRng::seed_from_u64(seed);
        let kinds = if self.is_patient {
            Kind::ALL.len()
        } else {
            Kind::USUAL
        };
        let mut told = Vec::new();
        let mut asked = 0_usize;
        while !*stop.borrow() {
            let to = rng.random_range(0..self.instances.len());
            let kind = Kind::ALL[rng.random_range(0..kinds)];
            let key = KEYS[rng.random_range(0..KEYS.len())];
            if asked.is_multiple_of(NEW_EVERY) {
                self.open.swap_remove(&to);
            }
            told.extend(self.ask(to, kind, key, format!("{seed:x}-{asked}")).await);
            asked += 1;
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..PAUSE_MS))).await;
        }
        self.settle(&mut told);
        told
    }

    /// Sends rows of requests, each row on one connection, until told to stop.
    pub async fn send_rows(mut self, seed: u64, stop: watch::Receiver<bool>) -> Vec<Told> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut told = Vec::new();
        let mut rows = 0_usize;
        while !*stop.borrow() {
            let to = rng.random_range(0..self.instances.len());
            let length = rng.random_range(ROW.0..=ROW.1);
            let row: Vec<_> = (0..length)
                .map(|n| {
                    let kind = Kind::ALL[rng.random_range(0..Kind::USUAL)];
                    let key = KEYS[rng.random_range(0..KEYS.len())];
                    (kind, key, format!("row-{seed:x}-{rows}-{n}"))
                })
                .collect();
            rows += 1;
            let leaves = rng.random_ratio(1, ROWS_LEFT);
            let unread = Duration::from_millis(rng.random_range(0..UNREAD_MS));
            told.extend(self.send_row(to, &row, unread, leaves).await);
        }
        self.settle(&mut told);
        told
    }

    /// Sends a row of requests at once and reads the answers after a while, or leaves.
    async fn send_row(
        &mut self,
        instance: usize,
        row: &[(Kind, u16, String)],
        unread: Duration,
        leaves: bool,
    ) -> Vec<Told> {
        let Some(mut stream) = self.connection(instance).await else {
            return Vec::new();
        };
        let sent = Instant::now();
        let bytes: String = row
            .iter()
            .map(|(kind, key, id)| kind.request(instance, *key, id))
            .collect();
        let is_written = stream.write_all(bytes.as_bytes()).await.is_ok();
        tokio::time::sleep(unread).await;
        let ends = if leaves {
            drop(stream);
            row.iter().map(|_| Was::Left).collect()
        } else {
            self.read_row(instance, row, stream, is_written).await
        };
        let ended = Instant::now();
        let all = row.iter().zip(ends);
        all.map(|((kind, _, id), was)| Told {
            id: id.clone(),
            kind: *kind,
            instance,
            is_slow: false,
            sent,
            ended,
            was,
        })
        .collect()
    }

    /// Reads the answers to a row. What stands behind the last answer was not passed on.
    async fn read_row(
        &mut self,
        instance: usize,
        row: &[(Kind, u16, String)],
        mut stream: TcpStream,
        is_written: bool,
    ) -> Vec<Was> {
        let mut ends = Vec::new();
        let mut got = Vec::new();
        let mut is_last = false;
        while ends.len() < row.len() && !is_last {
            let answer = tokio::time::timeout(PATIENCE, read_answer(&mut stream, &mut got)).await;
            match answer.unwrap_or(Err(Cut::Open)) {
                Ok(answer) => {
                    is_last = answer.is_last;
                    ends.push(Was::Answered {
                        status: answer.status,
                        body: answer.body,
                    });
                }
                Err(Cut::Read) if !is_written => {
                    ends.push(Was::Cut(Cut::Unread));
                    break;
                }
                Err(cut) => {
                    ends.push(Was::Cut(cut));
                    break;
                }
            }
        }
        if !got.is_empty() && !matches!(ends.last(), Some(Was::Cut(_))) {
            ends.pop();
            ends.push(Was::Cut(Cut::Wrong));
        }
        let is_whole = ends.len() == row.len() && !matches!(ends.last(), Some(Was::Cut(_)));
        ends.resize(row.len(), Was::Cut(Cut::Unread));
        if is_whole && !is_last && is_written {
            self.open.insert(instance, stream);
        } else if !is_whole {
            let ids = row.iter().map(|(_, _, id)| id.clone()).collect();
            self.ended.push((ids, stream));
        }
        ends
    }

    /// Sends harmful work to one instance after the other until told to stop.
    pub async fn do_harm(mut self, seed: u64, stop: watch::Receiver<bool>) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut asked = 0_usize;
        while !*stop.borrow() {
            let to = rng.random_range(0..self.instances.len());
            // What it is told is its own affair.
            let id = format!("harmful-{seed:x}-{asked}");
            let _ = self.ask(to, Kind::Harmful, 0, id).await;
            asked += 1;
            let pause_ms = rng.random_range(0..HARMFUL_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Finds out which requests were not read; all processes that were told to stop have
    /// ended by now.
    pub(super) fn settle(&self, told: &mut [Told]) {
        for (ids, stream) in &self.ended {
            if !was_reset(stream).unwrap_or(false) {
                continue;
            }
            for told in told.iter_mut().filter(|told| ids.contains(&told.id)) {
                if told.was == Was::Cut(Cut::Read) {
                    told.was = Was::Cut(Cut::Unread);
                }
            }
        }
    }
}
