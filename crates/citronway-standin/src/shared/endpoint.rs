//! An endpoint that runs a request only while it holds the request's key.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use serde_json::json;
use tokio::sync::Notify;

use super::held_keys::{HeldKeys, Keys};
use super::serve::{Answer, Background, long_body};
use super::statements::{Statements, with_statements};

/// Header in which a caller names the instance that it calls, which passes it on.
pub const SENDER_HEADER: &str = "x-sender";

/// A request that an endpoint ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ran {
    /// Its id.
    pub id: String,
    /// Method and path.
    pub what: String,
    /// Its body.
    pub body: Bytes,
    /// Time that it was given, in milliseconds.
    pub left_ms: u64,
    /// When it was begun.
    pub at: Instant,
}

/// An endpoint on loopback.
#[derive(Debug)]
pub struct FencedEndpoint {
    name: String,
    pub(super) service: String,
    pub(super) shared: Arc<Shared>,
    server: Background,
}

#[derive(Debug)]
pub(super) struct Shared {
    name: String,
    sharded: bool,
    state: Mutex<State>,
    /// A run has ended.
    ended: Notify,
    /// What was put off is begun now.
    hurried: Notify,
    /// The process crashes.
    crash: Arc<Notify>,
}

#[derive(Debug)]
pub(super) struct State {
    keys: HeldKeys,
    ran: Vec<Ran>,
    /// Ids of requests that arrived, and when.
    pub(super) arrived: Vec<(String, Instant)>,
    work: Duration,
    drop_answers: bool,
    full: bool,
    crash: Crash,
    /// Answers name the request.
    echo: bool,
    order_ids: OrderIds,
    /// Statuses of the next answers, in place of those that are due.
    next_statuses: VecDeque<StatusCode>,
    /// Start of a path, and the size of answers to requests below it.
    long_answers: Option<(String, usize)>,
    begins: Begins,
    /// Requests that were taken and put off.
    put_off: usize,
    /// Keys of requests that are being run.
    running: Vec<u16>,
    pub(super) statements: Statements,
}

/// Whether the process crashes.
#[derive(Debug, Default)]
struct Crash {
    /// A request whose path ends so crashes it.
    on: Option<String>,
    /// Time from the start of such a request to the crash.
    after: Duration,
    /// It has crashed.
    happened: bool,
}

/// Whether answers to orders have the ids of their orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderIds {
    Echoed,
    Hidden,
}

/// When a request that was taken is begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Begins {
    AtOnce,
    Later(Duration),
    /// The endpoint has ended.
    Never,
}

impl FencedEndpoint {
    /// An endpoint of a service; `sharded` if its keys are granted.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    pub fn start(name: &str, service: &str, sharded: bool) -> io::Result<Self> {
        let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(anywhere, name, service, sharded)
    }

    /// Starts again under its name and address, once it has crashed; it holds nothing.
    ///
    /// # Errors
    ///
    /// When the port cannot be had.
    pub fn start_again(&self) -> io::Result<Self> {
        Self::start_at(
            self.address(),
            &self.name,
            &self.service,
            self.shared.sharded,
        )
    }

    /// Starts under another name at its address, once it has crashed.
    ///
    /// # Errors
    ///
    /// When the port cannot be had.
    pub fn start_again_as(&self, name: &str) -> io::Result<Self> {
        Self::start_at(self.address(), name, &self.service, self.shared.sharded)
    }

    fn start_at(address: SocketAddr, name: &str, service: &str, sharded: bool) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            sharded,
            state: Mutex::new(State {
                keys: HeldKeys::default(),
                ran: Vec::new(),
                arrived: Vec::new(),
                work: Duration::from_millis(1),
                drop_answers: false,
                full: false,
                crash: Crash::default(),
                echo: false,
                order_ids: OrderIds::Echoed,
                next_statuses: VecDeque::new(),
                long_answers: None,
                begins: Begins::AtOnce,
                put_off: 0,
                running: Vec::new(),
                statements: Statements::default(),
            }),
            ended: Notify::new(),
            hurried: Notify::new(),
            crash: Arc::default(),
        });
        let served = Arc::clone(&shared);
        let crash = Arc::clone(&shared.crash);
        let handler = move |req| handle(Arc::clone(&served), req);
        let server = Background::start_at(address, handler, crash)?;
        Ok(Self {
            name: name.to_owned(),
            service: service.to_owned(),
            shared,
            server,
        })
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// The entry by which it lists itself.
    #[must_use]
    pub fn entry(&self, state: &str) -> serde_json::Value {
        json!({
            "service": self.service, "addr": self.address(), "zone": "a", "version": "v1",
            "capacity": 6, "state": state, "warmupLeftS": 0, "seq": 1,
        })
    }

    /// What it ran so far.
    #[must_use]
    pub fn ran(&self) -> Vec<Ran> {
        self.shared.lock().ran.clone()
    }

    /// Whether it holds a key now.
    #[must_use]
    pub fn holds(&self, key: u16) -> bool {
        self.shared.lock().keys.holds(key)
    }

    /// Time that each request takes from now on.
    pub fn work(&self, work: Duration) {
        self.shared.lock().work = work;
    }

    /// Names the request in each answer from now on.
    pub fn echo(&self) {
        self.shared.lock().echo = true;
    }

    /// Answers requests for paths that begin with `path_start` with `bytes` bytes from now on.
    pub fn answer_long(&self, path_start: &str, bytes: usize) {
        self.shared.lock().long_answers = Some((path_start.to_owned(), bytes));
    }

    /// Runs requests and closes the connection without an answer.
    pub fn drop_answers(&self, drops: bool) {
        self.shared.lock().drop_answers = drops;
    }

    /// Echoes no ids in answers to orders from now on.
    pub fn hide_order_ids(&self) {
        self.shared.lock().order_ids = OrderIds::Hidden;
    }

    /// Answers the next requests with these statuses: server errors other than 503 after it has run
    /// them, and all others in place of running them.
    pub fn answer_next(&self, statuses: &[u16]) {
        let statuses = statuses.iter().map(|status| StatusCode::from_u16(*status));
        let mut state = self.shared.lock();
        state.next_statuses = statuses.filter_map(Result::ok).collect();
    }

    /// Refuses all requests for want of room.
    pub fn full(&self, full: bool) {
        self.shared.lock().full = full;
    }

    /// Crashes from now on when it begins a request whose path ends so.
    pub fn crash_on(&self, path_end: &str) {
        self.crash_on_after(path_end, Duration::ZERO);
    }

    /// The same, so much later than it began the request.
    pub fn crash_on_after(&self, path_end: &str, after: Duration) {
        let crash = &mut self.shared.lock().crash;
        crash.on = Some(path_end.to_owned());
        crash.after = after;
    }

    /// Ends as a process does that crashes.
    pub fn crash(&self) {
        self.shared.lock().crash.happened = true;
        self.shared.crash.notify_one();
    }

    /// Whether it has crashed.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.shared.lock().crash.happened
    }

    /// Takes requests and begins them so much later, also if their connection has ended
    /// meanwhile; with none, begins at once, also those that it has put off.
    pub fn put_off(&self, late: Option<Duration>) {
        self.shared.lock().begins = late.map_or(Begins::AtOnce, Begins::Later);
        if late.is_none() {
            self.shared.hurried.notify_waiters();
        }
    }

    /// Whether it has put off requests and not run them yet.
    #[must_use]
    pub fn has_put_off(&self) -> bool {
        self.shared.lock().put_off > 0
    }

    /// Ends: what it has put off is never begun.
    pub fn end(&self) {
        self.shared.lock().begins = Begins::Never;
        self.shared.hurried.notify_waiters();
    }
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    /// Resolves once no request on these keys is being run.
    async fn until_idle(&self, keys: &Keys) {
        loop {
            let ended = self.ended.notified();
            if !self.lock().is_running(keys) {
                return;
            }
            ended.await;
        }
    }
}

/// A request on a key that is being run; it ends with this.
struct Running<'a> {
    shared: &'a Shared,
    key: Option<u16>,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        let place = state.running.iter().position(|key| Some(*key) == self.key);
        if let Some(place) = place {
            state.running.swap_remove(place);
        }
        drop(state);
        self.shared.ended.notify_waiters();
    }
}

impl State {
    fn is_running(&self, keys: &Keys) -> bool {
        let span = keys.from..=keys.target;
        self.running.iter().any(|key| span.contains(key))
    }
}

async fn handle(shared: Arc<Shared>, req: Request<Bytes>) -> Answer {
    let path = req.uri().path().to_owned();
    if path != "/api/grant" && path != "/api/release" {
        let sender = header(req.headers(), SENDER_HEADER).unwrap_or_default();
        let id = header(req.headers(), "x-request-id").unwrap_or_default();
        let begins = {
            let mut state = shared.lock();
            state.arrived.push((id, Instant::now()));
            state.statements.arrive(Instant::now(), &sender);
            state.begins
        };
        let answer = match begins {
            Begins::AtOnce | Begins::Never => run(&shared, &req).await,
            Begins::Later(late) => {
                // A task of its own goes on when the connection ends.
                let task = tokio::spawn(run_later(Arc::clone(&shared), req, late));
                task.await.ok().flatten()
            }
        };
        return answer.map(|answer| with_statements(&shared, &sender, answer));
    }
    let mut answer = carry_out(&shared, &path, &req).await;
    if let Some(id) = req.headers().get("x-request-id")
        && shared.lock().order_ids == OrderIds::Echoed
    {
        answer.headers_mut().insert("x-request-id", id.clone());
    }
    shared.lock().statements.add_to_order(&mut answer);
    Some(answer)
}

/// Carries out a grant or a release of keys.
async fn carry_out(shared: &Shared, path: &str, req: &Request<Bytes>) -> Response<Full<Bytes>> {
    let Ok(keys) = serde_json::from_slice::<Keys>(req.body()) else {
        return plain(StatusCode::BAD_REQUEST);
    };
    if path == "/api/grant" {
        return plain(shared.lock().keys.grant(&keys));
    }
    shared.lock().keys.release(&keys);
    shared.until_idle(&keys).await;
    let mut answer = plain(StatusCode::OK);
    if let Ok(token) = format!("{:x}", keys.fence()).parse() {
        answer.headers_mut().insert("x-handover", token);
    }
    answer
}

async fn run_later(shared: Arc<Shared>, req: Request<Bytes>, late: Duration) -> Answer {
    let hurried = shared.hurried.notified();
    shared.lock().put_off += 1;
    // Either its time has come or it is not to wait any longer.
    let _ = tokio::time::timeout(late, hurried).await;
    let begins = shared.lock().begins;
    let answer = match begins {
        Begins::Never => None,
        Begins::AtOnce | Begins::Later(_) => run(&shared, &req).await,
    };
    shared.lock().put_off -= 1;
    answer
}

async fn run(shared: &Shared, req: &Request<Bytes>) -> Answer {
    let text = |name: &str| header(req.headers(), name);
    let meant = text("x-target-instance");
    let key = text("x-shard-key").and_then(|key| key.parse().ok());
    let (work, drops, crashes, failure) = {
        let mut state = shared.lock();
        let held = !shared.sharded || key.is_some_and(|key| state.keys.holds(key));
        if meant.is_some_and(|meant| meant != shared.name) || !held {
            return Some(refusal(StatusCode::MISDIRECTED_REQUEST, req.headers()));
        }
        if state.full {
            return Some(refusal(StatusCode::SERVICE_UNAVAILABLE, req.headers()));
        }
        let next = state.next_statuses.pop_front();
        let failure = next.filter(|status| status.is_server_error() && *status != 503);
        if let Some(status) = next
            && failure.is_none()
        {
            return Some(refusal(status, req.headers()));
        }
        state.ran.push(Ran {
            id: text("x-request-id").unwrap_or_default(),
            what: format!("{} {}", req.method(), req.uri()),
            body: req.body().clone(),
            left_ms: text("x-deadline-ms")
                .and_then(|ms| ms.parse().ok())
                .unwrap_or(0),
            at: Instant::now(),
        });
        state.running.extend(key);
        let path = req.uri().path();
        let crash = &mut state.crash;
        let crashes = crash.on.as_ref().is_some_and(|end| path.ends_with(end));
        let crashes = crashes.then_some(crash.after);
        (state.work, state.drop_answers, crashes, failure)
    };
    if let Some(after) = crashes {
        tokio::time::sleep(after).await;
        shared.lock().crash.happened = true;
        shared.crash.notify_one();
        std::future::pending::<()>().await;
    }
    let running = Running { shared, key };
    tokio::time::sleep(work).await;
    drop(running);
    if drops {
        return None;
    }
    let id = text("x-request-id").unwrap_or_default();
    let mut body = format!("answer of {}", shared.name);
    if shared.lock().echo {
        body.push_str(" to ");
        body.push_str(&id);
    }
    if let Some((start, bytes)) = &shared.lock().long_answers
        && req.uri().path().starts_with(start)
    {
        body = long_body(&id, *bytes);
    }
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = failure.unwrap_or(StatusCode::OK);
    for (name, value) in [
        ("x-request-id", text("x-request-id").unwrap_or_default()),
        ("x-response-signature", format!("signed.{}", shared.name)),
    ] {
        if let Ok(value) = value.parse() {
            answer.headers_mut().insert(name, value);
        }
    }
    Some(answer)
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

fn refusal(status: StatusCode, request: &HeaderMap) -> Response<Full<Bytes>> {
    let mut answer = plain(status);
    if let Some(id) = request.get("x-request-id") {
        answer.headers_mut().insert("x-request-id", id.clone());
    }
    let said = http::HeaderValue::from_static("1");
    answer.headers_mut().insert("x-not-executed", said);
    answer
}
