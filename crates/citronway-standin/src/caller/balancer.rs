//! The platform's balancer: sends callers to entries that say they are healthy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::task::JoinSet;

use crate::http::Client;

const CHECK_INTERVAL: Duration = Duration::from_millis(100);
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Chooses an entry for each call; checks their health until dropped.
#[derive(Debug)]
pub struct Balancer {
    targets: Arc<[Target]>,
    next: AtomicUsize,
    _checks: JoinSet<()>,
}

#[derive(Debug)]
struct Target {
    entry: SocketAddr,
    healthy: AtomicBool,
}

impl Balancer {
    /// Balances over the given callers' addresses of entries.
    ///
    /// # Panics
    ///
    /// If there are none.
    #[must_use]
    pub fn start(entries: &[SocketAddr]) -> Self {
        assert!(!entries.is_empty(), "nothing to balance over");
        let targets = entries.iter().map(|entry| Target {
            entry: *entry,
            healthy: AtomicBool::new(true),
        });
        let targets = targets.collect::<Arc<[_]>>();
        let mut checks = JoinSet::new();
        for index in 0..targets.len() {
            checks.spawn(check(Arc::clone(&targets), index));
        }
        Self {
            targets,
            next: AtomicUsize::new(0),
            _checks: checks,
        }
    }

    /// The next healthy entry in turn, or just the next one if none is.
    #[must_use]
    pub fn pick(&self) -> SocketAddr {
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        let count = self.targets.len();
        for offset in 0..count {
            let target = &self.targets[first.wrapping_add(offset) % count];
            if target.healthy.load(Ordering::Relaxed) {
                return target.entry;
            }
        }
        self.targets[first % count].entry
    }

    /// Entries that it balances over.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.targets.len()
    }
}

async fn check(targets: Arc<[Target]>, index: usize) {
    let client = Client::default();
    let target = &targets[index];
    loop {
        let healthy = is_healthy(&client, target.entry).await;
        target.healthy.store(healthy, Ordering::Relaxed);
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn is_healthy(client: &Client, entry: SocketAddr) -> bool {
    let req = Request::get(format!("http://{entry}/healthz")).body(Bytes::new());
    let Ok(req) = req else {
        return false;
    };
    let answer = client.send(req, CHECK_TIMEOUT).await;
    answer.is_ok_and(|rsp| rsp.status().is_success())
}
