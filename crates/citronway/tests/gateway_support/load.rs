//! Callers that send requests to an instance until they are dropped.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use citronway_standin::shared::SENDER_HEADER;

use super::{Instance, Reply, exchange, head};

/// Callers of an instance, each of which sends one request after the other.
pub const CALLERS: usize = 4;

/// Pause of a caller between two requests.
pub const PAUSE: Duration = Duration::from_millis(40);

/// Time that callers wait, in milliseconds.
const CALLER_WAIT_MS: u64 = 1_500;

/// Time within which each request has an answer, or its connection has ended, far above the time that
/// callers wait.
const ANSWERED_WITHIN: Duration = Duration::from_secs(20);

/// Key of the requests.
pub const KEY: u16 = 7;

/// A request of a caller and its answer.
#[derive(Debug)]
pub struct Tried {
    /// When it was sent.
    pub sent: Instant,
    /// Time until its answer came.
    pub took: Duration,
    /// The answer; `None` if the connection ended without one.
    pub reply: Option<Reply>,
}

impl Tried {
    /// Status of the answer; 0 without one.
    pub fn status(&self) -> u16 {
        self.reply.as_ref().map_or(0, |reply| reply.status)
    }

    /// Whether the instance refused it for this reason.
    pub fn is_refused_as(&self, reason: &str) -> bool {
        self.status() == 503
            && self
                .reply
                .as_ref()
                .is_some_and(|reply| reply.body == reason)
    }
}

/// Callers that send requests to an instance until they are dropped.
pub struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
    tried: Arc<Mutex<Vec<Tried>>>,
}

impl Load {
    pub fn start(instance: &Instance, start: &'static str) -> Self {
        Self::on_keys(instance, start, [KEY; CALLERS], PAUSE)
    }

    /// One caller for each key.
    pub fn on_keys(
        instance: &Instance,
        start: &'static str,
        keys: [u16; CALLERS],
        pause: Duration,
    ) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let tried = Arc::<Mutex<Vec<Tried>>>::default();
        let callers = keys.into_iter().enumerate().map(|(n, key)| {
            let (stop, all) = (Arc::clone(&stop), Arc::clone(&tried));
            let (address, name) = (instance.callers, instance.name().to_owned());
            std::thread::spawn(move || {
                let mut count = 0_u64;
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("{name}-{n}-{count}");
                    let headers = format!(
                        "X-Request-Id: {id}\r\nX-Shard-Key: {key}\r\n{SENDER_HEADER}: {name}\r\n"
                    );
                    let sent = Instant::now();
                    // A stopping instance may take no connection.
                    let reply = exchange(address, &head(start, &headers, CALLER_WAIT_MS, 0), "");
                    all.lock().expect("no panic").push(Tried {
                        sent,
                        took: sent.elapsed(),
                        reply,
                    });
                    count += 1;
                    std::thread::sleep(pause);
                }
            })
        });
        Self {
            callers: callers.collect(),
            stop,
            tried,
        }
    }

    /// Takes what callers tried so far.
    pub fn take(&self) -> Vec<Tried> {
        std::mem::take(&mut *self.tried.lock().expect("no panic"))
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers.drain(..) {
            assert!(caller.join().is_ok(), "a caller panicked");
        }
        let tried = self.tried.lock().expect("no panic");
        let slow = tried.iter().find(|tried| tried.took > ANSWERED_WITHIN);
        assert!(slow.is_none() || std::thread::panicking(), "{slow:?}");
    }
}
