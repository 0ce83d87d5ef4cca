//! A small deployment on loopback: a store, endpoints, and instances as processes.

#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]

pub mod answers;
pub mod crashing;
pub mod large;
pub mod links;
pub mod load;
pub mod rows;

use std::io::{BufRead as _, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use citronway_standin::load::cpu;
use citronway_standin::shared::{
    Addresses, FencedEndpoint, SETTINGS_VARIABLE, SharedStore, configuration, own_address,
};
use serde_json::{Value, json};

pub use answers::{Reply, exchange, exchange_from, first_answer, parse, read_only_answer};
pub use citronway_standin::shared::route;

/// Timeout of every wait, far above what a passing test needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Wait that a caller states, in milliseconds.
pub const WAIT_MS: u64 = 5_000;

/// Port of the metrics, as in the deploy file.
const METRICS_PORT: u16 = 9_464;

/// Polls until a condition holds, and panics after [`WAIT_TIMEOUT`].
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A store and endpoints: `a` and `b` divide the keys of `batch`, `c` serves `console`.
pub struct Deployment {
    pub store: SharedStore,
    pub a: FencedEndpoint,
    pub b: FencedEndpoint,
    pub c: FencedEndpoint,
    folder: PathBuf,
}

impl Deployment {
    /// Starts the store and the endpoints, which are listed; there is no configuration yet.
    pub fn unconfigured() -> Self {
        let folder = std::env::temp_dir().join(format!("citronway-{}", uuid::Uuid::new_v4()));
        std::fs::create_dir_all(&folder).expect("a folder for settings");
        let deployment = Self {
            store: SharedStore::start().expect("a store"),
            a: FencedEndpoint::start("i-a", "batch", true).expect("an endpoint"),
            b: FencedEndpoint::start("i-b", "batch", true).expect("an endpoint"),
            c: FencedEndpoint::start("i-c", "console", false).expect("an endpoint"),
            folder,
        };
        for endpoint in [&deployment.a, &deployment.b, &deployment.c] {
            deployment.list(endpoint, "ready");
        }
        deployment
    }

    /// Starts the store and the endpoints, and writes the first configuration.
    pub fn new() -> Self {
        let deployment = Self::unconfigured();
        deployment.configure(2, &json!([]));
        deployment
    }

    pub fn list(&self, endpoint: &FencedEndpoint, state: &str) {
        self.store
            .put("servers", endpoint.name(), &endpoint.entry(state));
    }

    /// Removes the row of an endpoint.
    pub fn unlist(&self, endpoint: &FencedEndpoint) {
        self.store.remove("servers", endpoint.name());
    }

    /// Writes a configuration with routes to both services and the given routes.
    pub fn configure(&self, version: u64, more: &Value) {
        let written = configuration(version, more);
        self.store.put("op", "config", &written);
    }

    /// Starts an instance and waits until it is ready.
    pub fn ready_instance(&self, name: &str) -> Instance {
        let instance = self.instance(name);
        until("the instance is ready", || instance.is_ready());
        instance
    }

    /// Starts three instances and waits until they are ready and a key has an owner.
    pub fn three_instances(&self, key: u16) -> [Instance; 3] {
        let instances = ["one", "two", "three"].map(|name| self.ready_instance(name));
        until("the key has an owner", || {
            self.a.holds(key) || self.b.holds(key)
        });
        instances
    }

    /// Starts an instance whose logs go to a pipe that is not read.
    pub fn instance_with_piped_logs(&self, name: &str) -> Instance {
        self.start(name, self.store.address(), Stdio::piped())
    }

    /// Starts an instance with changed settings, with its logs in a pipe, and waits until it is
    /// ready.
    pub fn instance_with(&self, name: &str, change: impl FnOnce(&mut Value)) -> Instance {
        let addresses = Addresses::at(own_address());
        let mut settings = addresses.settings(name, self.store.address());
        change(&mut settings);
        std::fs::write(self.settings_of(name), settings.to_string())
            .expect("settings can be written");
        let instance = Instance {
            name: name.to_owned(),
            callers: addresses.callers,
            ready: addresses.ready,
            process: self.spawn(name, Stdio::piped()),
        };
        until("the instance is ready", || instance.is_ready());
        instance
    }

    /// Starts an instance from its existing settings file, with its logs in a pipe.
    pub fn start_again(&self, name: &str, before: &Instance) -> Instance {
        Instance {
            name: name.to_owned(),
            callers: before.callers,
            ready: before.ready,
            process: self.spawn(name, Stdio::piped()),
        }
    }

    /// Starts an instance that reaches the store at another address.
    pub fn instance_behind(&self, name: &str, store: SocketAddr) -> Instance {
        self.start(name, store, Stdio::null())
    }

    /// Starts an instance.
    pub fn instance(&self, name: &str) -> Instance {
        self.start(name, self.store.address(), Stdio::null())
    }

    /// Changes the grace in the settings of an instance, in seconds.
    pub fn set_grace(&self, name: &str, seconds: u64) {
        let path = self.settings_of(name);
        let text = std::fs::read_to_string(&path).expect("settings can be read");
        let mut settings: Value = serde_json::from_str(&text).expect("settings are JSON");
        settings["terms"]["bounds"]["graceS"] = json!(seconds);
        std::fs::write(&path, settings.to_string()).expect("settings can be written");
    }

    /// Starts an instance with settings of its table `traffic`, and waits until it is ready.
    pub fn instance_with_traffic(&self, name: &str, traffic: &Value) -> Instance {
        let mut instance = self.instance(name);
        instance.kill();
        self.set_traffic(name, traffic);
        self.restart(&mut instance);
        until("the instance is ready", || instance.is_ready());
        instance
    }

    /// Sets the table of limits and switches of callers' requests in the settings of an instance.
    pub fn set_traffic(&self, name: &str, traffic: &Value) {
        let path = self.settings_of(name);
        let text = std::fs::read_to_string(&path).expect("settings can be read");
        let mut settings: Value = serde_json::from_str(&text).expect("settings are JSON");
        settings["traffic"] = traffic.clone();
        std::fs::write(&path, settings.to_string()).expect("settings can be written");
    }

    fn start(&self, name: &str, store: SocketAddr, logs: Stdio) -> Instance {
        let addresses = Addresses::at(own_address());
        let settings = addresses.settings(name, store);
        std::fs::write(self.settings_of(name), settings.to_string())
            .expect("settings can be written");
        Instance {
            name: name.to_owned(),
            callers: addresses.callers,
            ready: addresses.ready,
            process: self.spawn(name, logs),
        }
    }

    /// Restarts a killed instance with the same settings.
    pub fn restart(&self, instance: &mut Instance) {
        instance.process = self.spawn(&instance.name, Stdio::null());
    }

    fn settings_of(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.json"))
    }

    fn spawn(&self, name: &str, logs: Stdio) -> Child {
        Command::new(env!("CARGO_BIN_EXE_citronway"))
            .arg("--on-platform")
            .env(SETTINGS_VARIABLE, self.settings_of(name))
            .stdout(logs)
            .spawn()
            .expect("the instance starts")
    }

    /// Name of the leader according to the store; `None` if there is none.
    pub fn leader(&self) -> Option<String> {
        let row = self.store.own("keeper")?;
        Some(row["session"]["instance"].as_str()?.to_owned())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if let Err(e) = std::fs::remove_dir_all(&self.folder) {
            eprintln!("cannot remove the folder of a test: {e}");
        }
    }
}

/// A running instance; killed when dropped.
pub struct Instance {
    name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    process: Child,
}

/// What a process has used so far.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// When this was read.
    pub at: Instant,
    /// Processor time.
    pub cpu: Duration,
    /// Largest size in memory, in KB.
    pub peak_kb: u64,
}

impl Instance {
    pub fn name(&self) -> &str {
        &self.name
    }

    pub fn is_ready(&self) -> bool {
        exchange(
            self.ready,
            "GET /api/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n",
            "",
        )
        .is_some_and(|reply| reply.status == 200)
    }

    /// Metrics of the instance, as text; empty if it does not answer.
    pub fn metrics(&self) -> String {
        let address = SocketAddr::new(self.callers.ip(), METRICS_PORT);
        let head = "GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
        exchange(address, head, "").map_or_else(String::new, |reply| reply.body)
    }

    /// Sends a request with a key and reads the complete answer.
    pub fn call(&self, start: &str, id: &str, key: u16, body: &str) -> Reply {
        self.call_with(
            start,
            &format!("X-Request-Id: {id}\r\nX-Shard-Key: {key}\r\n"),
            body,
        )
    }

    /// Sends a request with the given headers and reads the complete answer.
    pub fn call_with(&self, start: &str, headers: &str, body: &str) -> Reply {
        self.try_call(start, headers, body).expect("an answer")
    }

    /// Sends a request with the given headers; `None` if the connection ends without an answer.
    pub fn try_call(&self, start: &str, headers: &str, body: &str) -> Option<Reply> {
        exchange(
            self.callers,
            &head(start, headers, WAIT_MS, body.len()),
            body,
        )
    }

    /// What the process has used so far, as the system tells.
    pub fn usage(&self) -> Usage {
        let read = |file: &str| {
            let path = format!("/proc/{}/{file}", self.process.id());
            std::fs::read_to_string(path).expect("the process runs")
        };
        let status = read("status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|peak| peak.trim().strip_suffix("kB"));
        let peak_kb = peak.and_then(|peak| peak.trim().parse().ok());
        Usage {
            at: Instant::now(),
            cpu: cpu::used(self.process.id()).expect("the process runs"),
            peak_kb: peak_kb.expect("the system tells the size"),
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.process.kill().expect("the process can be killed");
        self.process.wait().expect("the process has ended");
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Signals the process that its settings have changed.
    pub fn hang_up(&self) {
        self.signal(libc::SIGHUP);
    }

    /// Suspends the process until it is resumed.
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    fn signal(&self, signal: i32) {
        let id = i32::try_from(self.process.id()).expect("a process id");
        // SAFETY: a signal to a child that has not been waited for.
        let sent = unsafe { libc::kill(id, signal) };
        assert_eq!(sent, 0);
    }

    /// Reads the piped logs up to a message.
    pub fn read_log_until(&mut self, message: &str) {
        let logs = self.process.stdout.take().expect("logs in an unread pipe");
        let mut lines = BufReader::new(logs).lines();
        let found = lines.any(|line| line.expect("a line").contains(message));
        assert!(found, "not in the logs: {message}");
        // The rest is read too, so that the pipe stays open.
        std::thread::spawn(move || lines.count());
    }

    /// Collects the piped logs in the background.
    pub fn logs(&mut self) -> Logs {
        let logs = self.process.stdout.take().expect("logs in an unread pipe");
        let lines = Arc::<Mutex<Vec<Value>>>::default();
        let shared = Arc::clone(&lines);
        std::thread::spawn(move || {
            for line in BufReader::new(logs).lines() {
                let line = serde_json::from_str(&line.expect("a line")).expect("a JSON line");
                shared.lock().expect("no panic").push(line);
            }
        });
        Logs(lines)
    }

    /// Exit code; `None` while the process runs.
    pub fn ended(&mut self) -> Option<i32> {
        let status = self.process.try_wait().expect("the process can be asked");
        status.map(|status| status.code().unwrap_or(-1))
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if self.process.try_wait().ok().flatten().is_none() {
            self.kill();
        }
    }
}

/// Lines that an instance has logged so far.
pub struct Logs(Arc<Mutex<Vec<Value>>>);

impl Logs {
    /// All lines.
    pub fn all(&self) -> Vec<Value> {
        self.0.lock().expect("no panic").clone()
    }

    /// Waits for the first line with a message and returns it.
    pub fn line(&self, message: &str) -> Value {
        let mut found = None;
        until(message, || {
            found = self.all().into_iter().find(|l| l["message"] == message);
            found.is_some()
        });
        found.expect("the line was found")
    }
}

/// Head of a request whose caller waits for `wait_ms`.
pub fn head(start: &str, headers: &str, wait_ms: u64, length: usize) -> String {
    format!(
        "{start} HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: {wait_ms}\r\n{headers}\
         Content-Length: {length}\r\nConnection: close\r\n\r\n"
    )
}

/// An endpoint that accepts connections and reads nothing from them.
pub struct SilentEndpoint {
    address: SocketAddr,
    accepted: Arc<Mutex<Vec<TcpStream>>>,
}

impl SilentEndpoint {
    /// Starts the endpoint; its thread ends with the test process.
    pub fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let accepted = Arc::<Mutex<Vec<TcpStream>>>::default();
        let shared = Arc::clone(&accepted);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.lock().expect("no panic").push(stream);
            }
        });
        Self { address, accepted }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of its connections.
    pub fn connections(&self) -> usize {
        self.accepted.lock().expect("no panic").len()
    }

    /// Number of its connections that the other side has not ended.
    pub fn open_connections(&self) -> usize {
        let accepted = self.accepted.lock().expect("no panic");
        accepted.iter().filter(|stream| is_open(stream)).count()
    }

    /// The row that lists the endpoint for a service.
    pub fn entry(&self, service: &str) -> Value {
        json!({"service": service, "addr": self.address, "zone": "a", "version": "v1",
            "capacity": 6, "state": "ready", "warmupLeftS": 0, "seq": 1})
    }
}

/// Reads what has arrived, and tells whether the other side may still send.
fn is_open(mut stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("an open stream");
    let mut buf = [0; 4_096];
    loop {
        match stream.read(&mut buf) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(e) => return e.kind() == std::io::ErrorKind::WouldBlock,
        }
    }
}

/// A deployment with one endpoint for `console`, which accepts connections and reads nothing,
/// and with two routes to it whose timeout is longer than an instance takes to stop.
pub fn silent_deployment() -> (Deployment, SilentEndpoint) {
    let deployment = Deployment::unconfigured();
    let silent = SilentEndpoint::start();
    deployment.unlist(&deployment.c);
    deployment
        .store
        .put("servers", "i-mute", &silent.entry("console"));
    let mut look = route("patient-look", "/patient-look/", "idempotent", "console");
    let mut order = route("patient", "/patient/", "non_idempotent", "console");
    for route in [&mut look, &mut order] {
        route["timeoutS"] = json!(11.0);
    }
    deployment.configure(2, &json!([look, order]));
    (deployment, silent)
}
