//! Callers that send one request after the other, each on a connection of its own.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::{Random, Record};

/// What a caller sends.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub method: &'static str,
    pub path: &'static str,
    pub wait_ms: u64,
    pub body_bytes: usize,
}

/// Statuses by the id of the attempt; 0 for a connection that ended without an answer.
pub type Answers = Arc<Mutex<HashMap<String, u16>>>;

pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    pub answers: Answers,
}

impl Callers {
    /// Starts `count` callers, each of which sends a request every `every` on average.
    pub fn start(
        count: u64,
        every: Duration,
        kind: Kind,
        instances: &[SocketAddr],
        record: &Arc<Record>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answers = Answers::default();
        let threads = (0..count).map(|n| {
            let (stop, answers) = (Arc::clone(&stop), Arc::clone(&answers));
            let (record, instances) = (Arc::clone(record), instances.to_vec());
            std::thread::spawn(move || {
                let mut random = Random::new(n + 1_000);
                let mut next = Instant::now();
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    call(
                        n,
                        &mut number,
                        kind,
                        &instances,
                        &mut random,
                        &record,
                        &answers,
                    );
                    next += every.mul_f64(0.5 + random.fraction());
                    let now = Instant::now();
                    next = next.max(now);
                    std::thread::sleep(next - now);
                }
            })
        });
        Self {
            threads: threads.collect(),
            stop,
            answers,
        }
    }

    pub fn stop(self) -> Answers {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.answers
    }
}

/// Sends a request, and again after a promise that it has not run, twice at most and within the
/// time of the first attempt. Each attempt has its own id.
fn call(
    caller: u64,
    number: &mut u64,
    kind: Kind,
    instances: &[SocketAddr],
    random: &mut Random,
    record: &Record,
    answers: &Answers,
) {
    let key = random.below(1 << 16);
    let end = Instant::now() + Duration::from_millis(kind.wait_ms);
    for _attempt in 0..3 {
        let left = end.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(50) {
            return;
        }
        *number += 1;
        let id = format!("{caller:x}-{number:x}");
        let to = instances[random.below(instances.len() as u64) as usize];
        let text = format!(
            "{} {}{id} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {}\r\nX-Shard-Key: {key}\r\nContent-Length: {}\r\n\r\n{}",
            kind.method,
            kind.path,
            left.as_millis(),
            kind.body_bytes,
            "b".repeat(kind.body_bytes),
        );
        record.line(&format!("caller sends {id} key {key} to {to}"));
        let answer = http::exchange(to, text.as_bytes(), left);
        let (status, again_s) = match &answer {
            Ok(answer) => {
                let status: u16 = answer.second().parse().unwrap_or(0);
                let again = answer.header("retry-after").and_then(|s| s.parse().ok());
                let is_own = answer.header("x-request-id") == Some(id.as_str());
                if !is_own {
                    record.line(&format!(
                        "caller gets an answer of another request for {id}"
                    ));
                }
                (status, again)
            }
            Err(_) => (0, None),
        };
        record.line(&format!("caller gets {status} for {id}"));
        answers.lock().expect("no panic").insert(id, status);
        if !matches!(status, 429 | 503) {
            return;
        }
        let pause: f64 = again_s.unwrap_or(0.1);
        std::thread::sleep(Duration::from_secs_f64(pause).min(left / 3));
    }
}
