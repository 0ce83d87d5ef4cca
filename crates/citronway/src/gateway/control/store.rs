//! Client of the store: a long poll for each table, and conditional writes of own rows.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use citronway_core::gateway::rows::{Relay, Row, Table};
use citronway_core::gateway::version::{Era, RowVersion};
use citronway_platform::store::{self, ConditionalWrite, StoreRefusal};
use futures::FutureExt as _;
use http::Request;
use tokio::sync::{Notify, mpsc};

use super::Event;
use super::store_era::{AnswerEraError, StoreAccess};
use crate::clock;
use crate::gateway::http_link::{Answer, BodyBounds, CallError, ConnectMode, Dialer, Link};

/// Timeout of a call, in addition to the time that the store is asked to wait.
///
/// The store answers within 5 ms; slowed sixtyfold it still answers in time.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Wait of a long poll of an instance that does not lead, in milliseconds.
///
/// An outage may leave a poll hanging. This wait and the timeout of a call limit how long
/// the instance then misses changes after the store is back.
pub(super) const IDLE_WAIT_MS: u64 = 5_000;

/// Wait of a long poll of the leader, in milliseconds.
///
/// Each answer confirms the leader. The others learn of changes from the leader, and
/// changes must reach them within two seconds. When the store falls silent for the leader
/// alone, this wait and [`CALL_TIMEOUT`] pass before they poll the store themselves.
pub(super) const LEADER_WAIT_MS: u64 = 1_000;

/// First and longest pause after a call that failed, in milliseconds.
const RETRY_PAUSE_MS: (u64, u64) = (100, 1_000);

/// Pause after a failed call on a passive instance, which another instance tells when the
/// store is back, in milliseconds.
const PASSIVE_PAUSE_MS: u64 = 5_000;

/// Pause from an answer to the next poll of the endpoints' entries, in milliseconds.
/// Draining endpoints get no new work in time if the drain is known within 1.5 s.
///
/// Load: 395 endpoints list themselves or leave within a few seconds. Each change was
/// answered separately, which made 250 calls before the first request.
pub(super) const ENTRIES_BATCH_MS: u64 = 150;

/// Pause from an answer to the next poll of the leader's own table, in milliseconds.
///
/// Load: each write of an assignment was also returned by the leader's own poll, which made
/// a quarter of all calls while ranges moved. The leader knows what it wrote by the answer
/// to the write.
pub(super) const OWN_BATCH_MS: u64 = 250;

/// Why a call of the store failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum StoreError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error(transparent)]
    Refused(#[from] StoreRefusal),
    #[error(transparent)]
    Era(#[from] AnswerEraError),
}

/// A connection to the store, opened when it is needed.
#[derive(Debug)]
pub(super) struct Store {
    access: StoreAccess,
    link: Option<Link>,
}

impl Store {
    pub(super) const fn new(access: StoreAccess) -> Self {
        Self { access, link: None }
    }

    /// Makes a call; returns the answer and its era. An answer of an earlier era is none.
    async fn call(
        &mut self,
        req: Request<Bytes>,
        timeout: Duration,
    ) -> Result<(Answer, Era), StoreError> {
        let mut link = match self.link.take().filter(Link::is_usable) {
            Some(link) => link,
            None => {
                Link::open(
                    Dialer::default(),
                    self.access.address,
                    ConnectMode::Immediate,
                )
                .await?
            }
        };
        let answer = link.call(req, timeout, BodyBounds::STORE).await?;
        self.link = Some(link);
        let era = self.access.era.observe(answer.status, &answer.headers)?;
        Ok((answer, era))
    }

    async fn page(&mut self, table: Table, after: Option<&str>) -> Result<store::Rows, StoreError> {
        let req = store::get(&self.access.address.to_string(), table, after);
        let (answer, era) = self.call(req, CALL_TIMEOUT).await?;
        Ok(store::read_rows(answer.status, era, &answer.body)?)
    }

    /// Reads all rows of a table, and the version from which to poll it.
    async fn load(&mut self, table: Table) -> Result<Loaded, StoreError> {
        let mut page = self.page(table, None).await?;
        let (version, now_ms) = (page.version, page.now_ms);
        let mut rows = page.rows;
        while page.has_more {
            let Some(last) = rows.last().map(|row| row.key.clone()) else {
                break;
            };
            page = self.page(table, Some(&last)).await?;
            // The store came back from a copy between two pages.
            if page.version.era != version.era {
                return Err(AnswerEraError::Earlier {
                    answer: version.era,
                    known: page.version.era,
                }
                .into());
            }
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
        after: RowVersion,
        wait_ms: u64,
    ) -> Result<store::Rows, StoreError> {
        let req = store::feed(&self.access.address.to_string(), table, after, wait_ms);
        let timeout = CALL_TIMEOUT + Duration::from_millis(wait_ms);
        let (answer, era) = self.call(req, timeout).await?;
        Ok(store::read_rows(answer.status, era, &answer.body)?)
    }

    /// Makes a conditional change; returns the version of the store after it.
    pub(super) async fn change(
        &mut self,
        change: &ConditionalWrite,
    ) -> Result<RowVersion, StoreError> {
        let req = store::change(&self.access.address.to_string(), change)
            .map_err(|e| StoreError::Refused(StoreRefusal::Malformed(e)))?;
        let (answer, era) = self.call(req, CALL_TIMEOUT).await?;
        Ok(store::read_change(answer.status, era, &answer.body)?)
    }
}

/// All rows of a table at the version at which the first of them was read.
#[derive(Debug)]
struct Loaded {
    rows: Vec<Row>,
    version: RowVersion,
    now_ms: u64,
}

/// Result of a poll of a table.
#[derive(Debug)]
pub(super) enum TableUpdate {
    /// All rows of the table.
    Loaded {
        rows: Vec<Row>,
        /// Version of the store when the rows were read.
        version: RowVersion,
        now_ms: u64,
    },
    /// Rows that changed, and the positions in the history between which they did.
    Changed { relay: Relay, now_ms: u64 },
    /// The store does not answer, or refuses this instance; with the cause.
    Lost(String),
}

impl TableUpdate {
    const fn has_rows(&self) -> bool {
        match self {
            Self::Loaded { .. } => true,
            Self::Changed { relay, .. } => !relay.rows.is_empty(),
            Self::Lost(_) => false,
        }
    }
}

/// State that a poller shares with the control task.
#[derive(Debug)]
pub(super) struct PollControl {
    /// Position in the table's history; relayed rows advance it too.
    position: Mutex<RowVersion>,
    /// Another instance relays rows; this one polls only when `refresh` is notified.
    pub passive: AtomicBool,
    /// Time that the store is asked to wait for changes, in milliseconds.
    pub wait_ms: AtomicU64,
    /// Pause from an answer to the next call, in milliseconds, in which changes gather.
    pub batch_ms: AtomicU64,
    /// Factor on the longest pause between calls while the store does not answer.
    pub pause_factor: AtomicU64,
    /// The store is not read yet: another instance is to send a copy first.
    pub awaits_copy: AtomicBool,
    /// Makes the poller read the whole table again.
    pub reload: AtomicBool,
    /// Makes the poller ask the store at once, on a new connection.
    pub refresh: Notify,
}

impl PollControl {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self {
            position: Mutex::default(),
            passive: AtomicBool::new(false),
            wait_ms: AtomicU64::new(IDLE_WAIT_MS),
            batch_ms: AtomicU64::new(0),
            pause_factor: AtomicU64::new(1),
            awaits_copy: AtomicBool::new(false),
            reload: AtomicBool::new(false),
            refresh: Notify::new(),
        })
    }

    pub(super) fn is_passive(&self) -> bool {
        self.passive.load(Ordering::Relaxed)
    }

    /// Position in the table's history.
    pub(super) fn position(&self) -> RowVersion {
        *self.lock_position()
    }

    /// Sets the position after the whole table was read.
    fn set_loaded(&self, version: RowVersion) {
        let mut known = self.lock_position();
        if version.era >= known.era {
            *known = version;
        }
    }

    /// Moves the position forward; an earlier one changes nothing.
    pub(super) fn advance(&self, position: RowVersion) {
        let mut known = self.lock_position();
        *known = position.max(*known);
    }

    fn lock_position(&self) -> std::sync::MutexGuard<'_, RowVersion> {
        self.position.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Clears a refresh that was requested before the answer that just came.
    ///
    /// Rows that the answer lacks show by the next relayed row, or by the versions that
    /// others report.
    fn clear_refresh(&self) {
        let _ = self.refresh.notified().now_or_never();
    }
}

/// Polls one table for as long as the process runs.
#[derive(Debug)]
pub(super) struct TablePoller {
    pub table: Table,
    pub store: StoreAccess,
    pub events: mpsc::Sender<Event>,
    pub control: Arc<PollControl>,
}

impl TablePoller {
    pub(super) async fn run(self) {
        let mut store = Store::new(self.store.clone());
        let mut pause = RETRY_PAUSE_MS.0;
        while self.control.awaits_copy.load(Ordering::Relaxed) {
            self.control.refresh.notified().await;
        }
        // A table that another instance copied to this one need not be read again.
        let mut loaded = self.control.position() > RowVersion::NONE;
        let mut skip_wait = false;
        loop {
            if loaded && !skip_wait && self.control.passive.load(Ordering::Relaxed) {
                self.control.refresh.notified().await;
                skip_wait = true;
            }
            let sent_at = clock::mono();
            let wait_ms = if skip_wait {
                0
            } else {
                self.control.wait_ms.load(Ordering::Relaxed)
            };
            loaded &= !self.control.reload.swap(false, Ordering::Relaxed);
            let update = if loaded {
                match self.poll(&mut store, skip_wait, wait_ms).await {
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
            // Failure: a poll that was sent while the store is silent still hangs after the
            // store is back, and meanwhile an old configuration stays in force. Until the
            // store has answered again, calls do not wait.
            skip_wait = lost;
            // The store answers without rows only after it has waited.
            let waited_ms = if update.has_rows() { 0 } else { wait_ms };
            let event = Event::Store {
                table: self.table,
                update,
                sent_at,
                current_at: sent_at.plus(waited_ms).min(clock::mono()),
            };
            if self.events.send(event).await.is_err() {
                return;
            }
            if lost {
                // A poller of another table that gets an answer ends this pause by a
                // refresh.
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
                self.control.set_loaded(loaded.version);
                TableUpdate::Loaded {
                    rows: loaded.rows,
                    version: loaded.version,
                    now_ms: loaded.now_ms,
                }
            }
            Err(e) => TableUpdate::Lost(e.to_string()),
        }
    }

    /// Waits so that several changes at about the same time come with one answer.
    async fn wait_for_batch(&self) {
        let batch_ms = self.control.batch_ms.load(Ordering::Relaxed);
        if batch_ms > 0 {
            tokio::time::sleep(Duration::from_millis(batch_ms)).await;
        }
    }

    /// While the store is lost, the endpoints' entries are polled more often; an answer
    /// makes the pollers of the other tables ask at once.
    const fn longest_pause_ms(&self) -> u64 {
        match self.table {
            Table::Endpoints => RETRY_PAUSE_MS.1 / 2,
            Table::Config | Table::Own => RETRY_PAUSE_MS.1,
        }
    }

    async fn poll(&self, store: &mut Store, skip_wait: bool, wait_ms: u64) -> Polled {
        let after = self.control.position();
        if after.era < self.store.era.get() {
            return Polled::HistoryGone;
        }
        let polled = if skip_wait {
            // Failure: rows change faster than a poll takes, and each row that was missed
            // requests a refresh. If a refresh cancelled this poll too, no poll would ever
            // end.
            let polled = store.feed(self.table, after, 0).await;
            self.control.clear_refresh();
            polled
        } else {
            tokio::select! {
                polled = store.feed(self.table, after, wait_ms) => polled,
                // Failure: an open connection falls silent for good, and the table seems
                // not to change. Versions that others report show it, and a new connection
                // works.
                () = self.control.refresh.notified() => {
                    store.link = None;
                    return Polled::Refresh;
                }
            }
        };
        match polled {
            // The position is none of this era, even if the store has given out its number again.
            Ok(rows) if rows.version.era != after.era => Polled::HistoryGone,
            Ok(rows) => {
                self.control.advance(rows.version);
                let relay = Relay {
                    table: self.table,
                    after,
                    position: rows.version,
                    rows: rows.rows,
                    patches: Vec::new(),
                    confirmed: None,
                };
                let now_ms = rows.now_ms;
                Polled::Update(TableUpdate::Changed { relay, now_ms })
            }
            Err(StoreError::Era(AnswerEraError::Earlier { .. })) => Polled::HistoryGone,
            Err(StoreError::Refused(StoreRefusal::HistoryGone)) => {
                log::info!(table = self.table.as_str(); "table history is gone; reading the whole table");
                Polled::HistoryGone
            }
            Err(e) => Polled::Update(TableUpdate::Lost(e.to_string())),
        }
    }
}

/// Outcome of one poll.
#[derive(Debug)]
enum Polled {
    Update(TableUpdate),
    /// A refresh was requested.
    Refresh,
    HistoryGone,
}
