//! Calls of the store: one long poll for each table, and changes of own rows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use citronway_core::ids::Version;
use citronway_platform::store::{self, Change, Refused, Row, Table};
use http::Request;
use tokio::sync::{Notify, mpsc};

use super::Event;
use crate::clock;
use crate::gateway::http_link::{Answer, CallError, Link};

/// How long a call waits beyond what it asked the store to wait.
///
/// The store answers within 5 ms; slowed sixtyfold it still answers in time.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);

/// Long polls of an instance that keeps nothing, in milliseconds.
pub(super) const IDLE_WAIT_MS: u64 = 10_000;

/// Long polls of the keeper, in milliseconds: each answer confirms it.
pub(super) const KEEPER_WAIT_MS: u64 = 2_500;

/// First and longest pause after a call that failed, in milliseconds.
const PAUSE_MS: (u64, u64) = (100, 1_000);

/// Why a call of the store brought nothing.
#[derive(Debug, thiserror::Error)]
pub(super) enum StoreError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error(transparent)]
    Refused(#[from] Refused),
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

    async fn call(&mut self, req: Request<Bytes>, limit: Duration) -> Result<Answer, CallError> {
        let mut link = match self.link.take().filter(Link::is_usable) {
            Some(link) => link,
            None => Link::open(self.address).await?,
        };
        let answer = link.call(req, limit).await?;
        self.link = Some(link);
        Ok(answer)
    }

    async fn page(&mut self, table: Table, after: Option<&str>) -> Result<store::Rows, StoreError> {
        let req = store::get(&self.address.to_string(), table, after);
        let answer = self.call(req, CALL_LIMIT).await?;
        Ok(store::read_rows(answer.status, &answer.body)?)
    }

    /// All rows of a table, and the version to follow it from.
    async fn load(&mut self, table: Table) -> Result<(Vec<Row>, Version), StoreError> {
        let mut page = self.page(table, None).await?;
        let version = page.version;
        let mut rows = page.rows;
        while page.more {
            let Some(last) = rows.last().map(|row| row.key.clone()) else {
                break;
            };
            page = self.page(table, Some(&last)).await?;
            rows.append(&mut page.rows);
        }
        Ok((rows, version))
    }

    async fn feed(
        &mut self,
        table: Table,
        after: Version,
        wait_ms: u64,
    ) -> Result<store::Rows, StoreError> {
        let req = store::feed(&self.address.to_string(), table, after, wait_ms);
        let limit = CALL_LIMIT + Duration::from_millis(wait_ms);
        let answer = self.call(req, limit).await?;
        Ok(store::read_rows(answer.status, &answer.body)?)
    }

    /// Makes a change.
    pub(super) async fn change(&mut self, change: &Change) -> Result<Version, StoreError> {
        let req = store::change(&self.address.to_string(), change)
            .map_err(|e| StoreError::Refused(Refused::Malformed(e)))?;
        let answer = self.call(req, CALL_LIMIT).await?;
        Ok(store::read_change(answer.status, &answer.body)?)
    }
}

/// News of a table.
#[derive(Debug)]
pub(super) enum News {
    /// All rows.
    Loaded(Vec<Row>),
    /// Rows that changed; none if the poll ended without a change.
    Changed(Vec<Row>),
    /// The store does not answer, or refuses this instance.
    Lost(String),
}

/// Follows one table for as long as the process runs.
#[derive(Debug)]
pub(super) struct Follower {
    pub table: Table,
    pub address: SocketAddr,
    pub events: mpsc::Sender<Event>,
    pub wait_ms: Arc<AtomicU64>,
    /// Has the poll under way dropped and asked anew.
    pub refresh: Arc<Notify>,
}

impl Follower {
    pub(super) async fn run(self) {
        let mut store = Store::new(self.address);
        let mut pause = PAUSE_MS.0;
        let mut at = None;
        loop {
            let asked = clock::mono();
            let news = match at {
                None => store.load(self.table).await.map(|(rows, version)| {
                    at = Some(version);
                    News::Loaded(rows)
                }),
                Some(version) => {
                    let wait_ms = self.wait_ms.load(Ordering::Relaxed);
                    let feed = store.feed(self.table, version, wait_ms);
                    let fed = tokio::select! {
                        fed = feed => fed,
                        // Failure: an open connection falls silent for good and the
                        // table seems not to change. Others that see newer versions
                        // show it; a new connection works.
                        () = self.refresh.notified() => {
                            store.link = None;
                            continue;
                        }
                    };
                    fed.map(|rows| {
                        at = Some(rows.version);
                        News::Changed(rows.rows)
                    })
                }
            };
            let news = match news {
                Ok(news) => {
                    pause = PAUSE_MS.0;
                    news
                }
                Err(StoreError::Refused(Refused::HistoryGone)) => {
                    log::info!(table = format!("{:?}", self.table); "history gone, table read anew");
                    at = None;
                    continue;
                }
                Err(e) => News::Lost(e.to_string()),
            };
            let lost = matches!(news, News::Lost(_));
            let event = Event::Store {
                table: self.table,
                news,
                asked,
            };
            if self.events.send(event).await.is_err() {
                return;
            }
            if lost {
                tokio::time::sleep(Duration::from_millis(pause)).await;
                pause = (pause * 2).min(PAUSE_MS.1);
            }
        }
    }
}
