//! An upstream as the pages describe it: slots and a queue, keys by fenced grants, rejections that
//! say so. Its faults are those of its [`Faults`].

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Message, Reader};
use crate::record::{Random, Record};

/// Shares of requests and answers that are treated wrongly.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Answers after which a second copy comes, at the point where the next answer of the
    /// connection is expected (`garble`, `extra late`).
    pub extra: f64,
}

pub struct Endpoint {
    pub name: String,
    service: String,
    sharded: bool,
    pub address: SocketAddr,
    slots: usize,
    queue: usize,
    work_ms: (u64, u64),
    faults: Mutex<Faults>,
    state: Mutex<State>,
    changed: Condvar,
    ended: AtomicBool,
    record: Arc<Record>,
    /// Answers that were followed by a copy.
    pub extras: AtomicU64,
}

struct State {
    random: Random,
    running: Vec<Option<u16>>,
    waiting: usize,
    /// Highest fence seen of each key, and the end of its hold.
    keys: Vec<(u64, Option<Instant>)>,
    connections: Vec<TcpStream>,
}

/// How an answer came about.
struct Reply {
    text: Vec<u8>,
    closes: bool,
}

impl Endpoint {
    pub fn start(
        name: &str,
        service: &str,
        sharded: bool,
        room: (usize, usize),
        work_ms: (u64, u64),
        seed: u64,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let endpoint = Arc::new(Self {
            name: name.to_owned(),
            service: service.to_owned(),
            sharded,
            address: listener.local_addr().expect("an address"),
            slots: room.0,
            queue: room.1,
            work_ms,
            faults: Mutex::new(Faults::default()),
            state: Mutex::new(State {
                random: Random::new(seed),
                running: Vec::new(),
                waiting: 0,
                keys: vec![(0, None); 1 << 16],
                connections: Vec::new(),
            }),
            changed: Condvar::new(),
            ended: AtomicBool::new(false),
            record: Arc::clone(record),
            extras: AtomicU64::new(0),
        });
        let served = Arc::clone(&endpoint);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if served.ended.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let served = Arc::clone(&served);
                std::thread::spawn(move || served.serve(stream));
            }
        });
        endpoint
    }

    /// The entry by which it lists itself.
    pub fn entry(&self, state: &str) -> Value {
        json!({"service": self.service, "addr": self.address, "zone": "bern", "version": "v1",
            "capacity": self.slots, "state": state, "warmupLeftS": 0, "seq": 1})
    }

    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().expect("no panic") = faults;
    }

    /// Ends as a process does: its connections and its port close.
    pub fn end(&self) {
        self.record.line(&format!("endpoint {} ends", self.name));
        self.ended.store(true, Ordering::Relaxed);
        let connections = std::mem::take(&mut self.state.lock().expect("no panic").connections);
        for connection in connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // The accepting thread sees that it has ended.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, mut stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        if let Ok(copy) = stream.try_clone() {
            self.state.lock().expect("no panic").connections.push(copy);
        }
        let mut reader = Reader::new();
        // A copy of the last answer, which comes where the next one is expected.
        let mut late: Option<Vec<u8>> = None;
        while let Ok(Some(req)) = reader.next(&mut stream) {
            if let Some(copy) = late.take() {
                let first = copy.split(|b| *b == b'\r').next().unwrap_or_default();
                let first = String::from_utf8_lossy(first);
                let id = req.header("x-request-id").unwrap_or("-");
                let what = req.second();
                self.record.line(&format!(
                    "endpoint {} sends a copy of its last answer ({first}) before that to {id} {what}",
                    self.name
                ));
                self.extras.fetch_add(1, Ordering::Relaxed);
                if stream.write_all(&copy).is_err() {
                    return;
                }
            }
            let Some(reply) = self.handle(&req) else {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            };
            if self.ended.load(Ordering::Relaxed) || stream.write_all(&reply.text).is_err() {
                return;
            }
            if reply.closes {
                return;
            }
            let faults = *self.faults.lock().expect("no panic");
            let mut state = self.state.lock().expect("no panic");
            if state.random.fraction() < faults.extra {
                late = Some(reply.text);
            }
        }
    }

    /// Handles a request; `None` if it breaks off.
    fn handle(&self, req: &Message) -> Option<Reply> {
        let path = req.second().to_owned();
        let target = req.header("x-target-instance");
        if target.is_some_and(|target| target != self.name) {
            return Some(self.reply(req, 421, &[("X-Instance-Id", &self.name)], b""));
        }
        if path == "/api/grant" || path == "/api/release" {
            return Some(self.carry_out(req, path == "/api/grant"));
        }
        let Some(id) = req.header("x-request-id") else {
            return Some(self.reply(req, 400, &[("X-Not-Executed", "1")], b""));
        };
        let id = id.to_owned();
        let key: Option<u16> = req.header("x-shard-key").and_then(|key| key.parse().ok());
        let mut state = self.state.lock().expect("no panic");
        if self.sharded && !key.is_some_and(|key| state.holds(key)) {
            drop(state);
            self.record.line(&format!(
                "endpoint {} rejects {id}: 421, key not held",
                self.name
            ));
            return Some(self.reply(req, 421, &[("X-Not-Executed", "1")], b""));
        }
        if state.running.len() >= self.slots && state.waiting >= self.queue {
            drop(state);
            self.record.line(&format!(
                "endpoint {} rejects {id}: 503, not executed",
                self.name
            ));
            return Some(self.reply(req, 503, &[("X-Not-Executed", "1")], b""));
        }
        state.waiting += 1;
        while state.running.len() >= self.slots {
            state = self.changed.wait(state).expect("no panic");
        }
        state.waiting -= 1;
        // A release stops new work at once, also that of requests in the queue.
        if self.sharded && !key.is_some_and(|key| state.holds(key)) {
            drop(state);
            self.changed.notify_all();
            self.record.line(&format!(
                "endpoint {} rejects {id}: 421, key released",
                self.name
            ));
            return Some(self.reply(req, 421, &[("X-Not-Executed", "1")], b""));
        }
        state.running.push(key);
        let (least, most) = self.work_ms;
        let work = least + state.random.below(most - least + 1);
        let shown = key.map_or_else(|| "-".to_owned(), |key| key.to_string());
        self.record
            .line(&format!("endpoint {} runs {id} key {shown}", self.name));
        drop(state);
        std::thread::sleep(Duration::from_millis(work));
        let mut state = self.state.lock().expect("no panic");
        if let Some(at) = state.running.iter().position(|running| *running == key) {
            state.running.swap_remove(at);
        }
        if self.ended.load(Ordering::Relaxed) {
            return None;
        }
        self.record
            .line(&format!("endpoint {} has run {id} key {shown}", self.name));
        drop(state);
        self.changed.notify_all();
        let signature = format!("{}.{id}", self.name);
        let body = format!("answer of {} to {id}", self.name);
        Some(self.reply(
            req,
            200,
            &[("X-Response-Signature", &signature)],
            body.as_bytes(),
        ))
    }

    fn carry_out(&self, req: &Message, is_grant: bool) -> Reply {
        let Ok(body) = serde_json::from_slice::<Value>(&req.body) else {
            return self.reply(req, 400, &[], b"");
        };
        let key = |name: &str| body[name].as_u64().and_then(|key| u16::try_from(key).ok());
        let (Some(from), Some(target), Some(fence)) =
            (key("from"), key("target"), body["fence"].as_u64())
        else {
            return self.reply(req, 400, &[], b"");
        };
        let span = usize::from(from)..=usize::from(target);
        let mut state = self.state.lock().expect("no panic");
        if is_grant {
            if state.keys[span.clone()]
                .iter()
                .any(|(seen, _)| *seen > fence)
            {
                return self.reply(req, 409, &[], b"");
            }
            let hold = Duration::from_secs_f64(body["holdS"].as_f64().unwrap_or_default());
            let until = Instant::now() + hold;
            for place in &mut state.keys[span] {
                *place = (fence, Some(until));
            }
            self.record.line(&format!(
                "endpoint {} is granted {from} to {target} fence {fence} for {}",
                self.name,
                hold.as_millis()
            ));
            drop(state);
            return self.reply(req, 200, &[], b"");
        }
        for place in &mut state.keys[span.clone()] {
            if place.0 <= fence {
                place.1 = None;
            }
        }
        self.record.line(&format!(
            "endpoint {} is asked to release {from} to {target} fence {fence}",
            self.name
        ));
        let is_running = |state: &State| {
            let mut keys = state.running.iter().flatten();
            keys.any(|key| span.contains(&usize::from(*key)))
        };
        while is_running(&state) {
            state = self.changed.wait(state).expect("no panic");
        }
        drop(state);
        self.record.line(&format!(
            "endpoint {} has released {from} to {target} fence {fence}",
            self.name
        ));
        self.reply(req, 200, &[("X-Handover", &format!("{fence:x}"))], b"")
    }

    fn reply(&self, req: &Message, status: u16, headers: &[(&str, &str)], body: &[u8]) -> Reply {
        let reason = match status {
            200 => "OK",
            400 => "Bad Request",
            409 => "Conflict",
            421 => "Misdirected Request",
            _ => "Service Unavailable",
        };
        let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
        if let Some(id) = req.header("x-request-id") {
            text.push_str(&format!("X-Request-Id: {id}\r\n"));
        }
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!(
            "Keep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n",
            body.len()
        ));
        let mut text = text.into_bytes();
        text.extend_from_slice(body);
        let closes = req
            .header("connection")
            .is_some_and(|c| c.eq_ignore_ascii_case("close"));
        Reply { text, closes }
    }
}

impl State {
    fn holds(&self, key: u16) -> bool {
        self.keys[usize::from(key)]
            .1
            .is_some_and(|until| Instant::now() < until)
    }
}
