//! Uploads to upstreams that read slowly, or many at the same time to sound ones, beside small
//! requests.
//!
//! The stand-in of the platform ends an instance that uses more than its `memoryMb`, as DEPLOY.md
//! says. Judged are requests of kept connections that a sound upstream had and whose connection
//! ended without an answer (LOST).

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Instance, MEMORY_MB};
use crate::http::{answer, Conn};
use crate::record::Record;
use crate::store::Store;

/// What the uploads meet.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Upstreams read slowly, with trouble.
    SlowUpstreams,
    /// Uploads in chunks come at the same time, with trouble; otherwise one after the other.
    Chunks,
}

/// Bytes of an upload to a slow upstream; `maxBodyBytes` is 64 MB.
const UPLOAD_BYTES: usize = 24_000_000;

/// Uploads that come at the same time and their megabytes, one group after the other.
const GROUPS: [(usize, usize); 5] = [(8, 15), (4, 31), (4, 60), (4, 31), (8, 15)];

/// Pause between two groups; none lasts longer than three seconds.
const GROUP_PAUSE: Duration = Duration::from_secs(1);

/// Part of an upload that is sent at a time. The pause behind it is a millisecond for each upload that
/// comes at the same time, so that 100 MB a second come, which is within the machine's 1,000 Mbit/s.
const SENT: usize = 100_000;

/// Pause between two uploads to an instance.
const UPLOAD_PERIOD: Duration = Duration::from_millis(1_200);

/// Time for which uploads come.
const LASTS: Duration = Duration::from_secs(40);

/// Clients on kept connections of each instance.
const CLIENTS: usize = 12;

/// Work of a small request.
const WORK: Duration = Duration::from_millis(250);

/// How a slow upstream reads: 64 KB, then a pause, 640 KB a second.
const PART: usize = 64 * 1024;
const PAUSE: Duration = Duration::from_millis(100);

/// More requests than these have to be lost on one machine.
const EXCUSED: usize = 3;

#[derive(Clone)]
struct Upstream {
    id: String,
    address: SocketAddr,
    pause: Duration,
    work: Duration,
    record: Record,
}

impl Upstream {
    fn start(id: &str, pause: Duration, work: Duration, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let upstream = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            pause,
            work,
            record: record.clone(),
        };
        let serving = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = serving.clone();
                thread::spawn(move || upstream.serve(Conn::new(stream)));
            }
        });
        Ok(upstream)
    }

    fn register(&self, store: &Store, service: &str) {
        let (upstream, store, service) = (self.clone(), store.clone(), service.to_owned());
        thread::spawn(move || {
            for seq in 1_u64.. {
                let entry = format!(
                    "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"capacity\":24,\"state\":\"ready\",\"warmupLeftS\":0,\"seq\":{seq}}}",
                    upstream.address
                );
                store.put("servers", &upstream.id, &entry);
                thread::sleep(Duration::from_millis(870));
            }
        });
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(req)) = conn.read_head() {
            let began = Instant::now();
            let id = req.header("x-request-id").unwrap_or("").to_owned();
            let wait_ms = req.header("x-deadline-ms").and_then(|ms| ms.parse().ok());
            let deadline = began + Duration::from_millis(wait_ms.unwrap_or(30_000));
            let length = req.length();
            if !conn.drop_body(length, PART, self.pause) {
                self.record.note(format!(
                    "upstream {}: the connection of {id} ended before its body was whole",
                    self.id
                ));
                return;
            }
            if req.header("x-target-instance") != Some(&self.id) {
                let _ = conn.write(&answer(
                    "421 Misdirected Request",
                    &[("X-Instance-Id", &self.id)],
                    b"",
                ));
                continue;
            }
            let ids = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
            if Instant::now() >= deadline {
                self.record.note(format!(
                    "upstream {}: has {id} whole after its deadline and does not run it",
                    self.id
                ));
                if conn
                    .write(&answer("503 Service Unavailable", &ids, b""))
                    .is_err()
                {
                    return;
                }
                continue;
            }
            self.record.run(&id, &self.id);
            thread::sleep(self.work);
            let headers = [
                ids[0],
                ("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ];
            if conn.write(&answer("200 OK", &headers, b"done")).is_err() {
                return;
            }
        }
    }
}

/// Requests whose connection ended without an answer: their instance, id and place on the connection.
type Unanswered = Arc<Mutex<Vec<(usize, String, u32)>>>;

/// Sends small requests on a kept connection, until the instance does not answer any more.
fn look(
    n: usize,
    client: usize,
    to: SocketAddr,
    record: Record,
    over: Arc<AtomicBool>,
    unanswered: Unanswered,
    answered: Arc<AtomicU32>,
) {
    let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut conn = Conn::new(stream);
    let mut place = 0;
    while !over.load(Ordering::Relaxed) {
        place += 1;
        let id = format!("{:04x}{client:04x}{place:08x}", 0xa000 + n);
        let req = format!("GET /leny950/2f HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\r\n");
        let sent = conn.write(req.as_bytes());
        match sent.and_then(|()| conn.read()) {
            Ok(Some(_)) => {
                answered.fetch_add(1, Ordering::Relaxed);
            }
            Ok(None) | Err(_) => {
                record.note(format!("client: the connection to instance {} ended without an answer to {id}, its request {place}", n + 1));
                unanswered.lock().unwrap().push((n, id, place));
                return;
            }
        }
    }
}

/// An upload: its length, and whether it is sent in chunks and slowly.
#[derive(Clone, Copy)]
struct Body {
    bytes: usize,
    chunked: bool,
    period: Duration,
}

fn upload(n: usize, number: u32, to: SocketAddr, body: Body, record: &Record) -> u16 {
    let id = format!("{:04x}{number:012x}", 0xb000 + n);
    let how = if body.chunked {
        "in chunks"
    } else {
        "with a length"
    };
    record.note(format!(
        "client sends upload {id} ({} bytes, {how}) to instance {}",
        body.bytes,
        n + 1
    ));
    let status = (|| {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
        let _ = stream.set_write_timeout(Some(Duration::from_secs(6)));
        let mut conn = Conn::new(stream);
        let framing = if body.chunked {
            "Transfer-Encoding: chunked".to_owned()
        } else {
            format!("Content-Length: {}", body.bytes)
        };
        let head = format!("POST /puka111/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\n{framing}\r\n\r\n");
        conn.write(head.as_bytes()).ok()?;
        let mut part = vec![b'x'; SENT];
        if body.chunked {
            part = [format!("{SENT:x}\r\n").as_bytes(), &part, b"\r\n"].concat();
        }
        for _ in 0..body.bytes / SENT {
            conn.write(&part).ok()?;
            if !body.period.is_zero() {
                thread::sleep(body.period);
            }
        }
        if body.chunked {
            conn.write(b"0\r\n\r\n").ok()?;
        }
        Some(conn.read().ok()??.status())
    })();
    let status = status.unwrap_or(0);
    record.note(format!("client gets {status} for upload {id}"));
    status
}

/// Uploads of [`Kind::Chunks`], group by group, until the instance has ended.
fn send_groups(
    n: usize,
    to: SocketAddr,
    at_once: bool,
    stop: &(dyn Fn() -> bool + Sync),
    done: &(dyn Fn(u16) + Sync),
    record: &Record,
) {
    let mut number = 0;
    while !stop() {
        for (count, mb) in GROUPS {
            if stop() {
                return;
            }
            let (together, in_turn) = if at_once { (count, 1) } else { (1, count) };
            let body = Body {
                bytes: mb * 1_000_000,
                chunked: true,
                period: Duration::from_millis(together as u64),
            };
            if at_once {
                thread::sleep(GROUP_PAUSE);
            }
            for _ in 0..in_turn {
                thread::scope(|scope| {
                    for _ in 0..together {
                        number += 1;
                        let number = number;
                        scope.spawn(move || done(upload(n, number, to, body, record)));
                    }
                });
            }
        }
    }
}

pub fn run(
    kind: Kind,
    root: &Path,
    folder: &Path,
    temporary: &Path,
    trouble: bool,
) -> std::io::Result<Vec<String>> {
    let record = Record::new();
    let store = Store::start("127.0.0.1")?;
    let config = r#"{"version":7,"routes":[{"name":"r-look","host":"hulo84.example","pathPrefix":"/leny950/","kind":"idempotent","timeoutS":3.0,"sloS":1.0,"priority":1,"service":"kafi81c","attempts":2},{"name":"r-upload","host":"jepu9.example","pathPrefix":"/puka111/","kind":"non_idempotent","timeoutS":2.0,"sloS":1.5,"priority":2,"service":"wuno96b","attempts":2}],"services":[{"name":"kafi81c","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false},{"name":"wuno96b","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}"#;
    // Uploads of 60 MB take over a second to arrive.
    let timeout = if kind == Kind::Chunks {
        "\"timeoutS\":4.0"
    } else {
        "\"timeoutS\":2.0"
    };
    store.put("op", "config", &config.replace("\"timeoutS\":2.0", timeout));
    let pause = if trouble && kind == Kind::SlowUpstreams {
        PAUSE
    } else {
        Duration::ZERO
    };
    for n in 0..3 {
        let slow = Upstream::start(
            &format!("i-5101{n:04x}"),
            pause,
            Duration::from_millis(40),
            &record,
        )?;
        slow.register(&store, "wuno96b");
        let sound = Upstream::start(&format!("i-50fd{n:04x}"), Duration::ZERO, WORK, &record)?;
        sound.register(&store, "kafi81c");
    }
    let mut instances = Vec::new();
    for n in 1..=2 {
        instances.push(Instance::start(n, root, temporary, store.address)?);
    }
    for instance in &mut instances {
        if !instance.wait_until_ready(Duration::from_secs(15)) {
            return Err(std::io::Error::other("an instance is not ready"));
        }
    }
    thread::sleep(Duration::from_secs(2));
    record.note(format!("all instances are ready; memoryMb is {MEMORY_MB}"));

    let over = Arc::new(AtomicBool::new(false));
    let unanswered = Unanswered::default();
    let answered = Arc::new(AtomicU32::new(0));
    let statuses: Arc<Mutex<BTreeMap<u16, u32>>> = Arc::default();
    let mut threads = Vec::new();
    let ended: Vec<_> = instances
        .iter()
        .map(|_| Arc::new(AtomicBool::new(false)))
        .collect();
    for (n, instance) in instances.iter().enumerate() {
        for client in 0..CLIENTS {
            let (record, over, unanswered, answered) = (
                record.clone(),
                Arc::clone(&over),
                Arc::clone(&unanswered),
                Arc::clone(&answered),
            );
            let to = instance.callers;
            threads.push(thread::spawn(move || {
                look(n, client, to, record, over, unanswered, answered)
            }));
        }
        let (record, over, ended, statuses) = (
            record.clone(),
            Arc::clone(&over),
            Arc::clone(&ended[n]),
            Arc::clone(&statuses),
        );
        let to = instance.callers;
        threads.push(thread::spawn(move || {
            if kind == Kind::Chunks {
                let stop = || over.load(Ordering::Relaxed) || ended.load(Ordering::Relaxed);
                let done = |status| *statuses.lock().unwrap().entry(status).or_default() += 1;
                send_groups(n, to, trouble, &stop, &done, &record);
                return;
            }
            let body = Body {
                bytes: UPLOAD_BYTES,
                chunked: false,
                period: Duration::ZERO,
            };
            let mut uploads = Vec::new();
            for number in 1_u32.. {
                if over.load(Ordering::Relaxed) || ended.load(Ordering::Relaxed) {
                    break;
                }
                let (record, statuses) = (record.clone(), Arc::clone(&statuses));
                uploads.push(thread::spawn(move || {
                    let status = upload(n, number, to, body, &record);
                    *statuses.lock().unwrap().entry(status).or_default() += 1;
                }));
                thread::sleep(UPLOAD_PERIOD);
            }
            for upload in uploads {
                let _ = upload.join();
            }
        }));
    }

    // The platform ends a process that uses more memory than it has.
    let began = Instant::now();
    let mut most = vec![0; instances.len()];
    let mut shown = vec![0; instances.len()];
    while began.elapsed() < LASTS && !ended.iter().all(|ended| ended.load(Ordering::Relaxed)) {
        for (n, instance) in instances.iter_mut().enumerate() {
            let mb = instance.resident_mb();
            if ended[n].load(Ordering::Relaxed) {
                continue;
            }
            most[n] = mb.max(most[n]);
            if mb >= shown[n] + 20 {
                shown[n] = mb;
                record.note(format!("platform: instance {} uses {mb} MB", n + 1));
            }
            if mb > MEMORY_MB {
                ended[n].store(true, Ordering::Relaxed);
                record.note(format!(
                    "platform: instance {} uses {mb} MB of {MEMORY_MB} and is killed",
                    n + 1
                ));
                instance.kill();
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }

    println!("{} small requests answered; uploads by status: {:?}; most memory: {most:?} MB of {MEMORY_MB}", answered.load(Ordering::Relaxed), statuses.lock().unwrap());
    let mut broken = Vec::new();
    for n in 0..instances.len() {
        let unanswered = unanswered.lock().unwrap();
        let of_instance = unanswered.iter().filter(|(of, _, _)| *of == n);
        // Passed on to a sound upstream, from a connection that had an answer before.
        let lost: Vec<_> = of_instance
            .filter(|(_, id, place)| *place > 1 && !record.runs_of(id).is_empty())
            .map(|(_, id, _)| id.clone())
            .collect();
        if lost.len() > EXCUSED {
            let state = if ended[n].load(Ordering::Relaxed) {
                format!("it used more than {MEMORY_MB} MB and was killed")
            } else {
                "it runs".to_owned()
            };
            broken.push(format!("LOST: {} requests of kept connections to instance {} were at sound upstreams and got no answer ({state}): {}", lost.len(), n + 1, lost.join(" ")));
        }
    }
    for line in &broken {
        record.note(line.clone());
    }
    record.write(&folder.join("record.txt"))?;
    Ok(broken)
}
