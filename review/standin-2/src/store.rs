//! Stand-in of the platform's store: rows, transactions and the feed, as PROTOCOL.md has them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{answer, Conn};
use crate::json::{base64, Json};

struct Row {
    /// `None` once it is removed.
    value: Option<String>,
    ver: u64,
}

struct State {
    rows: BTreeMap<(String, String), Row>,
    ver: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let state = State {
            rows: BTreeMap::new(),
            ver: 1,
        };
        let store = Store {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            started: Instant::now(),
            address: listener.local_addr()?,
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        Ok(store)
    }

    /// A write of the operator or of a server.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.ver += 1;
        let ver = state.ver;
        let row = Row {
            value: Some(base64(value.as_bytes())),
            ver,
        };
        state.rows.insert((table.into(), key.into()), row);
        changed.notify_all();
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(req)) = conn.read() {
            let (_, target) = req.method_and_target();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let (status, body) = match path {
                "/api/rows-get" => self.get(query),
                "/api/rows-feed" => self.feed(query),
                "/api/rows-tx" => self.change(&req.body),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let json = [("Content-Type", "application/json")];
            if conn.write(&answer(status, &json, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn ends(&self, state: &State) -> String {
        let now_s = self.started.elapsed().as_secs_f64() + 100.0;
        format!("\"ver\":{},\"nowS\":{now_s:.3}", state.ver)
    }

    fn get(&self, query: &str) -> (&'static str, String) {
        let (table, from) = (parameter(query, "table"), parameter(query, "from"));
        let state = self.state.0.lock().unwrap();
        let rows = state
            .rows
            .iter()
            .filter(|((t, key), row)| *t == table && *key >= from && row.value.is_some());
        let rows: Vec<_> = rows.map(|((t, key), row)| shown(t, key, row)).collect();
        let ends = self.ends(&state);
        let body = format!("{{\"rows\":[{}],\"hasMore\":false,{ends}}}", rows.join(","));
        ("200 OK", body)
    }

    fn feed(&self, query: &str) -> (&'static str, String) {
        let table = parameter(query, "table");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait_ms: u64 = parameter(query, "waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let mut rows: Vec<_> = state
                .rows
                .iter()
                .filter(|((t, _), row)| *t == table && row.ver > after)
                .collect();
            rows.sort_by_key(|(_, row)| row.ver);
            let now = Instant::now();
            if !rows.is_empty() || now >= until {
                let rows: Vec<_> = rows.iter().map(|((t, k), row)| shown(t, k, row)).collect();
                let ends = self.ends(&state);
                return (
                    "200 OK",
                    format!("{{\"rows\":[{}],{ends}}}", rows.join(",")),
                );
            }
            state = changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn change(&self, body: &[u8]) -> (&'static str, String) {
        let Some(change) = Json::read(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let key_of = |entry: &Json| (entry.text("table").to_owned(), entry.text("key").to_owned());
        let holds = |entry: &Json| {
            let row = state.rows.get(&key_of(entry)).filter(|r| r.value.is_some());
            row.map_or(0, |row| row.ver) == entry.number("ver") as u64
        };
        if !change.list("precondition").iter().all(holds) {
            let rows = change.list("precondition").iter().filter_map(|entry| {
                let key = key_of(entry);
                let row = state.rows.get(&key).filter(|row| row.value.is_some())?;
                Some(shown(&key.0, &key.1, row))
            });
            let rows: Vec<_> = rows.collect();
            let ends = self.ends(&state);
            let body = format!("{{\"rows\":[{}],{ends}}}", rows.join(","));
            return ("412 Precondition Failed", body);
        }
        state.ver += 1;
        let ver = state.ver;
        for entry in change.list("writes") {
            let value = Some(entry.text("value").to_owned());
            state.rows.insert(key_of(entry), Row { value, ver });
        }
        for entry in change.list("remove") {
            state.rows.insert(key_of(entry), Row { value: None, ver });
        }
        changed.notify_all();
        let ends = self.ends(&state);
        ("200 OK", format!("{{{ends}}}"))
    }
}

fn shown(table: &str, key: &str, row: &Row) -> String {
    let ver = row.ver;
    let head = format!("\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{ver}");
    match &row.value {
        Some(value) => format!("{{{head},\"value\":\"{value}\"}}"),
        None => format!("{{{head},\"removed\":true}}"),
    }
}

fn parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.filter(|(n, _)| *n == name).map(|(_, v)| v).next();
    let mut out = Vec::new();
    let bytes = found.unwrap_or("").as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let byte = hex
            .and_then(|hex| std::str::from_utf8(hex).ok())
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        out.push(byte.unwrap_or(bytes[at]));
        at += if byte.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}
