//! Calls of the store: one long poll for each table, and changes of own rows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use citronway_core::gateway::rows::{Relay, Row, Table};
use citronway_core::ids::Version;
use citronway_platform::store::{self, ConditionalWrite, StoreRefusal};
use futures::FutureExt as _;
use http::Request;
use tokio::sync::{Notify, mpsc};

use super::Event;
use crate::clock;
use crate::gateway::http_link::{Answer, CallError, ConnectMode, Link};

/// How long a call waits beyond what it asked the store to wait.
///
/// The store answers within 5 ms; slowed sixtyfold it still answers in time.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Long polls of an instance that keeps nothing, in milliseconds.
///
/// An outage may leave a poll hanging; this and the limit of a call bound how long
/// the instance then goes without news after the store is back.
pub(super) const IDLE_WAIT_MS: u64 = 5_000;

/// Long polls of the leader, in milliseconds.
///
/// Each answer confirms it. The others learn of changes from the leader and have two
/// seconds for it; when the store falls silent for the leader alone, this and
/// [`CALL_LIMIT`] pass before they ask for themselves.
pub(super) const LEADER_WAIT_MS: u64 = 1_000;

/// First and longest pause after a call that failed, in milliseconds.
const RETRY_PAUSE_MS: (u64, u64) = (100, 1_000);

/// Pause after a call that failed where another instance tells when the store is back, in
/// milliseconds.
const PASSIVE_PAUSE_MS: u64 = 5_000;

/// Time between two polls of the endpoints' entries, in milliseconds. Endpoints that leave
/// are left alone in time if it is known within 1.5 s.
///
/// Load: 395 endpoints list themselves or leave within a few seconds, and each change was
/// answered by itself: 250 calls before the first request.
pub(super) const ENTRIES_BATCH_MS: u64 = 150;

/// The same of a leader's own table, in milliseconds.
///
/// Load: each write of an assignment was answered to the leader's own poll too, a quarter of
/// all calls while ranges move. What it writes it knows by the answer to the write.
pub(super) const OWN_BATCH_MS: u64 = 250;

/// Why a call of the store brought nothing.
#[derive(Debug, thiserror::Error)]
pub(super) enum StoreError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error(transparent)]
    Refused(#[from] StoreRefusal),
}

/// A connection to the store that is opened when it is needed.
#[derive(Debug)]
pub(super) struct Store {
    address: SocketAddr,
    link: Option<Link>,
}

impl Store {
    pub(super) const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            link: None,
        }
    }

    async fn call(&mut self, req: Request<Bytes>, timeout: Duration) -> Result<Answer, CallError> {
        let mut link = match self.link.take().filter(Link::is_usable) {
            Some(link) => link,
            None => Link::open(self.address, ConnectMode::Immediate).await?,
        };
        let answer = link.call(req, timeout).await?;
        self.link = Some(link);
        Ok(answer)
    }

    async fn page(&mut self, table: Table, after: Option<&str>) -> Result<store::Rows, StoreError> {
        let req = store::get(&self.address.to_string(), table, after);
        let answer = self.call(req, CALL_TIMEOUT).await?;
        Ok(store::read_rows(answer.status, &answer.body)?)
    }

    /// All rows of a table, and the version to follow it from.
    async fn load(&mut self, table: Table) -> Result<Loaded, StoreError> {
        let mut page = self.page(table, None).await?;
        let (version, now_ms) = (page.version, page.now_ms);
        let mut rows = page.rows;
        while page.has_more {
            let Some(last) = rows.last().map(|row| row.key.clone()) else {
                break;
            };
            page = self.page(table, Some(&last)).await?;
            rows.append(&mut page.rows);
        }
        Ok(Loaded {
            rows,
            version,
            now_ms,
        })
    }

    async fn feed(
        &mut self,
        table: Table,
        after: Version,
        wait_ms: u64,
    ) -> Result<store::Rows, StoreError> {
        let req = store::feed(&self.address.to_string(), table, after, wait_ms);
        let timeout = CALL_TIMEOUT + Duration::from_millis(wait_ms);
        let answer = self.call(req, timeout).await?;
        Ok(store::read_rows(answer.status, &answer.body)?)
    }

    /// Makes a change.
    pub(super) async fn change(
        &mut self,
        change: &ConditionalWrite,
    ) -> Result<Version, StoreError> {
        let req = store::change(&self.address.to_string(), change)
            .map_err(|e| StoreError::Refused(Refused::Malformed(e)))?;
        let answer = self.call(req, CALL_TIMEOUT).await?;
        Ok(store::read_change(answer.status, &answer.body)?)
    }
}

/// All rows of a table as they stood when the first of them was read.
#[derive(Debug)]
struct Loaded {
    rows: Vec<Row>,
    version: Version,
    now_ms: u64,
}

/// News of a table.
#[derive(Debug)]
pub(super) enum TableUpdate {
    /// All rows.
    Loaded {
        rows: Vec<Row>,
        /// Version of the store when they were read.
        version: Version,
        now_ms: u64,
    },
    /// Rows that changed, and the positions between which they did.
    Changed { relay: Relay, now_ms: u64 },
    /// The store does not answer, or refuses this instance.
    Lost(String),
}

/// What a follower and its owner share.
#[derive(Debug)]
pub(super) struct PollControl {
    /// Position in the table's history; relayed rows move it too.
    pub position: AtomicU64,
    /// Another instance passes the rows on; this one asks only when told to.
    pub passive: AtomicBool,
    /// How long to wait at the store, in milliseconds.
    pub wait_ms: AtomicU64,
    /// Time from an answer to the next call, in milliseconds.
    pub batch_ms: AtomicU64,
    /// Times the usual pause between calls while the store does not answer.
    pub pause_factor: AtomicU64,
    /// Nothing is asked yet: another instance is to give a copy.
    pub awaits_copy: AtomicBool,
    /// Has the whole table read anew.
    pub reload: AtomicBool,
    /// Has the store asked now, on a new connection.
    pub refresh: Notify,
}

impl PollControl {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self {
            position: AtomicU64::new(0),
            passive: AtomicBool::new(false),
            wait_ms: AtomicU64::new(IDLE_WAIT_MS),
            batch_ms: AtomicU64::new(0),
            pause_factor: AtomicU64::new(1),
            awaits_copy: AtomicBool::new(false),
            reload: AtomicBool::new(false),
            refresh: Notify::new(),
        })
    }

    /// Drops a wish to ask now that an answer has just met.
    ///
    /// What the answer lacks shows by the next relayed row or by the versions that
    /// others report.
    fn clear_refresh(&self) {
        let _ = self.refresh.notified().now_or_never();
    }
}

/// Follows one table for as long as the process runs.
#[derive(Debug)]
pub(super) struct TablePoller {
    pub table: Table,
    pub address: SocketAddr,
    pub events: mpsc::Sender<Event>,
    pub control: Arc<PollControl>,
}

impl TablePoller {
    pub(super) async fn run(self) {
        let mut store = Store::new(self.address);
        let mut pause = RETRY_PAUSE_MS.0;
        while self.control.awaits_copy.load(Ordering::Relaxed) {
            self.control.refresh.notified().await;
        }
        // What another instance gave as a copy needs not be read again.
        let mut loaded = self.control.position.load(Ordering::Relaxed) > 0;
        let mut skip_wait = false;
        loop {
            if loaded && !skip_wait && self.control.passive.load(Ordering::Relaxed) {
                self.control.refresh.notified().await;
                skip_wait = true;
            }
            let sent_at = clock::mono();
            loaded &= !self.control.reload.swap(false, Ordering::Relaxed);
            let update = if loaded {
                match self.poll(&mut store, skip_wait).await {
                    Polled::Update(update) => update,
                    Polled::Refresh => {
                        skip_wait = true;
                        continue;
                    }
                    Polled::HistoryGone => {
                        loaded = false;
                        continue;
                    }
                }
            } else {
                self.load(&mut store).await
            };
            let lost = matches!(update, TableUpdate::Lost(_));
            loaded |= !lost;
            // Failure: a poll sent while the store is silent hangs beyond its return,
            // and an old configuration stays in force meanwhile. Until the store has
            // answered again, calls do not wait.
            skip_wait = lost;
            let event = Event::Store {
                table: self.table,
                update,
                sent_at,
            };
            if self.events.send(event).await.is_err() {
                return;
            }
            if lost {
                // Another table that is answered again ends the pause.
                let is_passive = loaded && self.control.passive.load(Ordering::Relaxed);
                let pause_ms = if is_passive { PASSIVE_PAUSE_MS } else { pause };
                let pause_over = tokio::time::sleep(Duration::from_millis(pause_ms));
                tokio::select! {
                    () = pause_over => {}
                    () = self.control.refresh.notified() => {}
                }
                let pause_factor = self.control.pause_factor.load(Ordering::Relaxed);
                pause = (pause * 2).min(self.longest_pause_ms() * pause_factor);
            } else {
                pause = RETRY_PAUSE_MS.0;
                self.wait_for_batch().await;
            }
        }
    }

    async fn load(&self, store: &mut Store) -> TableUpdate {
        match store.load(self.table).await {
            Ok(loaded) => {
                self.control
                    .position
                    .store(loaded.version.0, Ordering::Relaxed);
                TableUpdate::Loaded {
                    rows: loaded.rows,
                    version: loaded.version,
                    now_ms: loaded.now_ms,
                }
            }
            Err(e) => TableUpdate::Lost(e.to_string()),
        }
    }

    /// Waits until several rows have changed that change at about the same time.
    async fn wait_for_batch(&self) {
        let batch_ms = self.control.batch_ms.load(Ordering::Relaxed);
        if batch_ms > 0 {
            tokio::time::sleep(Duration::from_millis(batch_ms)).await;
        }
    }

    /// One table is asked for often while the store is lost, the others when it is back.
    const fn longest_pause_ms(&self) -> u64 {
        match self.table {
            Table::Endpoints => RETRY_PAUSE_MS.1 / 2,
            Table::Config | Table::Own => RETRY_PAUSE_MS.1,
        }
    }

    async fn poll(&self, store: &mut Store, skip_wait: bool) -> Polled {
        let after = Version(self.control.position.load(Ordering::Relaxed));
        let wait_ms = self.control.wait_ms.load(Ordering::Relaxed);
        let polled = if skip_wait {
            // Failure: rows change faster than a poll takes, each one that was missed
            // asks for a poll, and polls that give way to the next one never end.
            let polled = store.feed(self.table, after, 0).await;
            self.control.clear_refresh();
            polled
        } else {
            tokio::select! {
                polled = store.feed(self.table, after, wait_ms) => polled,
                // Failure: an open connection falls silent for good and the table seems
                // not to change. Others that see newer versions show it; a new
                // connection works.
                () = self.control.refresh.notified() => {
                    store.link = None;
                    return Polled::Refresh;
                }
            }
        };
        match polled {
            Ok(rows) => {
                self.control
                    .position
                    .fetch_max(rows.version.0, Ordering::Relaxed);
                let relay = Relay {
                    table: self.table,
                    after,
                    position: rows.version,
                    rows: rows.rows,
                    patches: Vec::new(),
                };
                let now_ms = rows.now_ms;
                Polled::Update(TableUpdate::Changed { relay, now_ms })
            }
            Err(StoreError::Refused(StoreRefusal::HistoryGone)) => {
                log::info!(table = self.table.as_str(); "history gone, table read anew");
                Polled::HistoryGone
            }
            Err(e) => Polled::Update(TableUpdate::Lost(e.to_string())),
        }
    }
}

/// Result of one poll.
#[derive(Debug)]
enum Polled {
    Update(TableUpdate),
    /// Told to ask now.
    Refresh,
    HistoryGone,
}
