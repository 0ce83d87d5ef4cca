//! Count of open connections against a limit that may change.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::Notify;

/// Counts open connections; clones share the count.
#[derive(Debug, Clone)]
pub struct Slots {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    open: AtomicU32,
    limit: AtomicU32,
    freed: Notify,
}

/// One counted connection; dropped once its socket is closed.
#[derive(Debug)]
pub struct Slot {
    inner: Arc<Inner>,
}

impl Slots {
    /// Allows `limit` connections.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        let inner = Inner {
            open: AtomicU32::new(0),
            limit: AtomicU32::new(limit),
            freed: Notify::new(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Sets another limit; connections over it stay open until they are closed.
    pub fn set_limit(&self, limit: u32) {
        self.inner.limit.store(limit, Ordering::SeqCst);
    }

    /// Open connections.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.inner.open.load(Ordering::SeqCst)
    }

    /// Whether more connections are open than allowed.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.open() > self.inner.limit.load(Ordering::SeqCst)
    }

    /// Counts one connection more, if the limit allows.
    #[must_use]
    pub fn take(&self) -> Option<Slot> {
        let limit = self.inner.limit.load(Ordering::SeqCst);
        let count = |open: u32| (open < limit).then_some(open + 1);
        self.inner
            .open
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, count)
            .ok()?;
        Some(Slot {
            inner: Arc::clone(&self.inner),
        })
    }

    /// Waits until a connection may have been closed.
    pub async fn freed(&self) {
        self.inner.freed.notified().await;
    }

    /// Tells one waiter that a connection has become idle.
    pub fn wake(&self) {
        self.inner.freed.notify_one();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.inner.open.fetch_sub(1, Ordering::SeqCst);
        self.inner.freed.notify_one();
    }
}
