//! The store: rows with versions, conditional changes, a feed with a history, and a return from an
//! older copy.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::Notify;

use super::serve::{Answer, Background};

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    /// It does not.
    #[default]
    None,
    /// Each call is answered 503 and nothing is done.
    Busy,
    /// Each call hangs.
    Silent,
    /// Changes are done and the connection is closed without an answer.
    AnswersLost,
}

/// A store on loopback.
#[derive(Debug)]
pub struct SharedStore {
    shared: Arc<Shared>,
    server: Background,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

type At = (String, String, String);

/// Table of the product's own rows; nobody writes them again after a restore.
const OWN_TABLE: &str = "citronway";

/// A copy of all rows, from which the store may come back.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    rows: BTreeMap<At, (String, u64)>,
    history: Vec<(u64, At, Option<String>)>,
    version: u64,
}

/// Changes by others than the product that a restore lost.
#[derive(Debug)]
pub struct LostChanges(Vec<(At, Option<String>)>);

#[derive(Debug)]
struct State {
    rows: BTreeMap<At, (String, u64)>,
    /// Changes in order: version, place, value; none for a removed row.
    history: Vec<(u64, At, Option<String>)>,
    /// Changes before this version are forgotten.
    forgotten: u64,
    version: u64,
    /// Text of the header that states the era; `None` before the first restore.
    era: Option<String>,
    started: Instant,
    fault: StoreFault,
    calls: u64,
}

impl Default for State {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            history: Vec::new(),
            forgotten: 0,
            version: 0,
            era: None,
            started: Instant::now(),
            fault: StoreFault::default(),
            calls: 0,
        }
    }
}

#[derive(Debug, Deserialize)]
struct Change {
    #[serde(default)]
    precondition: Vec<Row>,
    #[serde(default)]
    writes: Vec<Row>,
    #[serde(default)]
    remove: Vec<Row>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Row {
    table: String,
    #[serde(default)]
    part: String,
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    #[serde(default)]
    ver: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    removed: bool,
}

impl SharedStore {
    /// An empty store.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let served = Arc::clone(&shared);
        let server = Background::start(move |req| handle(Arc::clone(&served), req))?;
        Ok(Self { shared, server })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Writes a row as the operator or an endpoint does.
    pub fn put(&self, table: &str, key: &str, value: &serde_json::Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    /// Writes a row whose value may be no JSON.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        let mut state = self.shared.lock();
        let at = (table.to_owned(), String::new(), key.to_owned());
        state.version += 1;
        state.write(at, Some(encoded(value)));
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.shared.lock();
        state.version += 1;
        state.write((table.to_owned(), String::new(), key.to_owned()), None);
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Value of a row of the product's own table, decoded.
    #[must_use]
    pub fn own(&self, key: &str) -> Option<serde_json::Value> {
        let state = self.shared.lock();
        let at = (OWN_TABLE.to_owned(), String::new(), key.to_owned());
        let (value, _) = state.rows.get(&at)?;
        serde_json::from_slice(&decoded(value)).ok()
    }

    /// Misbehaves from now on.
    pub fn fail(&self, fault: StoreFault) {
        self.shared.lock().fault = fault;
        self.shared.changed.notify_waiters();
    }

    /// Forgets its history.
    pub fn forget(&self) {
        let mut state = self.shared.lock();
        state.version += 1;
        state.forgotten = state.version;
        state.history.clear();
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// A copy of what it has at present.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        let state = self.shared.lock();
        StoreCopy {
            rows: state.rows.clone(),
            history: state.history.clone(),
            version: state.version,
        }
    }

    /// Comes back from a copy, in the era that follows. All that was written since is lost; returns
    /// the part of it that the operator and endpoints write again.
    #[must_use]
    pub fn restore(&self, copy: StoreCopy) -> LostChanges {
        let mut state = self.shared.lock();
        let era = state.era.as_ref().and_then(|era| era.parse::<u64>().ok());
        state.era = Some((era.unwrap_or_default() + 1).to_string());
        let before = std::mem::replace(&mut state.rows, copy.rows);
        state.history = copy.history;
        state.version = copy.version;
        state.forgotten = state.forgotten.min(copy.version);
        let keys = before.keys().chain(state.rows.keys()).cloned();
        let others: std::collections::BTreeSet<_> = keys.filter(|at| at.0 != OWN_TABLE).collect();
        let value_of = |rows: &BTreeMap<At, (String, u64)>, at: &At| {
            let row = rows.get(at);
            row.map(|(value, _)| value.clone())
        };
        let lost = others.into_iter().filter_map(|at| {
            let value = value_of(&before, &at);
            (value != value_of(&state.rows, &at)).then_some((at, value))
        });
        let lost = LostChanges(lost.collect());
        drop(state);
        self.shared.changed.notify_waiters();
        lost
    }

    /// The operator and endpoints write again what a restore lost.
    pub fn write_again(&self, lost: LostChanges) {
        let mut state = self.shared.lock();
        for (at, value) in lost.0 {
            state.version += 1;
            state.write(at, value);
        }
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// States this text as its era from now on; `None` for no header.
    pub fn state_era(&self, text: Option<&str>) {
        self.shared.lock().era = text.map(str::to_owned);
        self.shared.changed.notify_waiters();
    }

    /// Calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn write(&mut self, at: At, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => {
                self.rows.insert(at.clone(), (value.clone(), version));
            }
            None => {
                self.rows.remove(&at);
            }
        }
        self.history.push((version, at, value));
    }

    fn version_of(&self, row: &Row) -> u64 {
        let at = (row.table.clone(), row.part.clone(), row.key.clone());
        self.rows.get(&at).map_or(0, |(_, version)| *version)
    }

    fn change(&mut self, change: Change) -> (StatusCode, serde_json::Value) {
        if change
            .precondition
            .iter()
            .any(|row| self.version_of(row) != row.ver)
        {
            return (
                StatusCode::PRECONDITION_FAILED,
                json!({"rows": [], "ver": self.version}),
            );
        }
        self.version += 1;
        for row in change.writes {
            self.write((row.table, row.part, row.key), row.value);
        }
        for row in change.remove {
            self.write((row.table, row.part, row.key), None);
        }
        let answer = json!({"ver": self.version, "nowS": self.now_s()});
        (StatusCode::OK, answer)
    }

    fn now_s(&self) -> f64 {
        1.0 + self.started.elapsed().as_secs_f64()
    }

    fn changes(&self, table: &str, after: u64) -> Option<Vec<Row>> {
        if after < self.forgotten || after > self.version {
            return None;
        }
        let newer = self
            .history
            .iter()
            .filter(|(ver, at, _)| *ver > after && at.0 == table);
        Some(
            newer
                .map(|(ver, at, value)| row(at, value.clone(), *ver))
                .collect(),
        )
    }
}

fn row(at: &At, value: Option<String>, ver: u64) -> Row {
    Row {
        table: at.0.clone(),
        part: at.1.clone(),
        key: at.2.clone(),
        removed: value.is_none(),
        value,
        ver,
    }
}

async fn handle(shared: Arc<Shared>, req: Request<Bytes>) -> Answer {
    let fault = {
        let mut state = shared.lock();
        state.calls += 1;
        state.fault
    };
    match fault {
        StoreFault::Busy => {
            return Some(answer(&shared, StatusCode::SERVICE_UNAVAILABLE, &json!({})));
        }
        StoreFault::Silent => std::future::pending().await,
        StoreFault::None | StoreFault::AnswersLost => {}
    }
    let (status, body) = match (req.method(), req.uri().path()) {
        (&Method::POST, "/api/rows-tx") => {
            let Ok(change) = serde_json::from_slice(req.body()) else {
                return Some(answer(
                    &shared,
                    StatusCode::BAD_REQUEST,
                    &json!({"error": "malformed"}),
                ));
            };
            let done = shared.lock().change(change);
            shared.changed.notify_waiters();
            if fault == StoreFault::AnswersLost {
                return None;
            }
            done
        }
        (&Method::GET, "/api/rows-get") => get(&shared, req.uri()),
        (&Method::GET, "/api/rows-feed") => feed(&shared, req.uri()).await,
        _ => (StatusCode::NOT_FOUND, json!({"error": "no such call"})),
    };
    Some(answer(&shared, status, &body))
}

fn get(shared: &Shared, uri: &Uri) -> (StatusCode, serde_json::Value) {
    let table = parameter(uri, "table").unwrap_or_default();
    let state = shared.lock();
    let rows: Vec<_> = state
        .rows
        .iter()
        .filter(|(at, _)| at.0 == table)
        .map(|(at, (value, ver))| row(at, Some(value.clone()), *ver))
        .collect();
    (
        StatusCode::OK,
        json!({"rows": rows, "hasMore": false, "ver": state.version, "nowS": state.now_s()}),
    )
}

async fn feed(shared: &Shared, uri: &Uri) -> (StatusCode, serde_json::Value) {
    let table = parameter(uri, "table").unwrap_or_default();
    let after = parameter(uri, "after")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let wait_ms = parameter(uri, "waitMs")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let end = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let changed = shared.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        {
            let state = shared.lock();
            let Some(rows) = state.changes(&table, after) else {
                return (StatusCode::GONE, json!({}));
            };
            if !rows.is_empty() || tokio::time::Instant::now() >= end {
                return (
                    StatusCode::OK,
                    json!({"rows": rows, "ver": state.version, "nowS": state.now_s()}),
                );
            }
        }
        // Either a change has come or the time is up; the next look tells which.
        let _ = tokio::time::timeout_at(end, changed).await;
    }
}

fn parameter(uri: &Uri, name: &str) -> Option<String> {
    let pairs = uri
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    pairs
        .into_iter()
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
}

/// An answer that states the era. An era in several parts, separated by bars, becomes several
/// headers.
fn answer(shared: &Shared, status: StatusCode, body: &serde_json::Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    let era = shared.lock().era.clone();
    for part in era.iter().flat_map(|era| era.split('|')) {
        if let Ok(value) = HeaderValue::from_str(part) {
            response.headers_mut().append("store-era", value);
        }
    }
    response
}

fn encoded(bytes: &[u8]) -> String {
    use base64::Engine as _;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

fn decoded(text: &str) -> Vec<u8> {
    use base64::Engine as _;
    base64::engine::general_purpose::STANDARD
        .decode(text)
        .unwrap_or_default()
}
