//! Stand-in of a server of a service without keys.
//!
//! It works on `slots` requests at a time, queues `queue` more and sheds the rest with the answer
//! that `fleetbench wire` shows, which has no id; with `ECHO=1` it has the request's. All its
//! other answers echo the id.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::http::{answer, Conn, Message};
use crate::record::Record;
use crate::store::Store;

#[derive(Default)]
struct State {
    /// Requests at work and queued.
    held: usize,
    working: usize,
    /// Whether the trouble lasts.
    spoils: bool,
    /// Answers since the trouble began, and extra ones among them.
    answers: u64,
    extra: u64,
}

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    slots: usize,
    queue: usize,
    work: Duration,
    /// Largest share of answers with an extra one.
    share: f64,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Server {
    pub fn start(
        ip: &str,
        id: &str,
        (slots, queue): (usize, usize),
        work_ms: u64,
        share: f64,
        record: &Record,
    ) -> std::io::Result<Server> {
        let listener = TcpListener::bind((ip, 0))?;
        let server = Server {
            id: id.to_owned(),
            address: listener.local_addr()?,
            slots,
            queue,
            work: Duration::from_millis(work_ms),
            share,
            state: Arc::default(),
            record: record.clone(),
        };
        let serving = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                std::thread::spawn(move || server.serve(Conn::new(stream)));
            }
        });
        Ok(server)
    }

    /// Writes its entry again and again, as a sound server does.
    pub fn register(&self, store: &Store, service: &str) {
        let (server, store, service) = (self.clone(), store.clone(), service.to_owned());
        std::thread::spawn(move || {
            for seq in 1_u64.. {
                let entry = format!(
                    "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"capacity\":{},\"state\":\"ready\",\"warmupLeftS\":0,\"seq\":{seq}}}",
                    server.address, server.slots
                );
                store.put("servers", &server.id, &entry);
                std::thread::sleep(Duration::from_millis(870));
            }
        });
    }

    pub fn set_trouble(&self, spoils: bool) {
        let mut state = self.state.0.lock().unwrap();
        state.spoils = spoils;
        state.answers = 0;
        state.extra = 0;
    }

    /// Whether this answer is followed by a second one, within the share.
    fn owes_extra(&self) -> bool {
        let mut state = self.state.0.lock().unwrap();
        let within = (state.extra + 1) as f64 <= self.share * state.answers as f64;
        let owes = state.spoils && within;
        state.extra += u64::from(owes);
        owes
    }

    fn count_answer(&self) {
        self.state.0.lock().unwrap().answers += 1;
    }

    fn serve(&self, mut conn: Conn) {
        // The second answer that is still to come on this connection, and to which request.
        let mut owed: Option<(Vec<u8>, String)> = None;
        while let Ok(Some(req)) = conn.read() {
            let written = match self.handle(&req, &mut conn, &mut owed) {
                Some(bytes) => conn.write(&bytes),
                None => Ok(()),
            };
            if written.is_err() {
                return;
            }
        }
    }

    fn handle(
        &self,
        req: &Message,
        conn: &mut Conn,
        owed: &mut Option<(Vec<u8>, String)>,
    ) -> Option<Vec<u8>> {
        let (method, target) = req.method_and_target();
        if target == "/healthz" {
            return Some(answer("200 OK", &[("X-Instance-Id", &self.id)], b""));
        }
        let Some(id) = req.header("x-request-id").map(str::to_owned) else {
            return Some(answer("400 Bad Request", &[("X-Not-Executed", "1")], b""));
        };
        if req.header("x-target-instance") != Some(&self.id) {
            let own = [("X-Instance-Id", self.id.as_str())];
            return Some(answer("421 Misdirected Request", &own, b""));
        }
        if !self.enter() {
            self.count_answer();
            self.record
                .note(format!("server {} is full and sheds {id}", self.id));
            // As in `fleetbench wire`, "a server sheds".
            let mut headers = vec![("X-Not-Executed", "1")];
            if std::env::var("ECHO").as_deref() == Ok("1") {
                headers.push(("X-Request-Id", &id));
            }
            let shed = answer("503 Service Unavailable", &headers, b"");
            if owed.is_none() && self.owes_extra() {
                *owed = Some((shed.clone(), id));
            }
            return Some(shed);
        }
        self.wait_for_slot();
        self.record.run(&id, &self.id);
        if let Some((copy, of)) = owed.take() {
            self.record.note(format!(
                "server {} sends its answer to {of} a second time, where that to {id} ({method}) is expected",
                self.id
            ));
            let _ = conn.write(&copy);
        }
        std::thread::sleep(self.work);
        self.leave();
        self.count_answer();
        self.record
            .note(format!("server {} answers {id} with 200", self.id));
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ];
        Some(answer("200 OK", &headers, format!("done {id}").as_bytes()))
    }

    fn enter(&self) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if state.held >= self.slots + self.queue {
            return false;
        }
        state.held += 1;
        true
    }

    fn wait_for_slot(&self) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        while state.working >= self.slots {
            state = changed.wait(state).unwrap();
        }
        state.working += 1;
    }

    fn leave(&self) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.held -= 1;
        state.working -= 1;
        changed.notify_one();
    }
}
