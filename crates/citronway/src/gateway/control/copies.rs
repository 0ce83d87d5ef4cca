//! Rows that one instance gives to another: whole tables where the store cannot be asked,
//! and in large fleets what was lost on the way.
//!
//! One connection a copy, on the TCP port of the reports: the asking side sends the code of
//! a table, with [`SINCE`] and the version of its newest row if it has any; the other answers
//! with a relay of all rows, or of the newer ones, and closes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use citronway_core::gateway::rows::{Relay, Table};
use citronway_core::gateway::tree::Role;
use citronway_core::ids::Version;
use citronway_core::time::Mono;
use citronway_wire::report::{self as datagram, Datagram, ReportError};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::timeout;

use super::{Control, Event};
use crate::gateway::http_link::CONNECT_TIMEOUT;

/// Longest time for a copy to come: a configuration of 400 KB takes 0.4 s over a link of
/// 10 Mbit/s, and some ask at the same time.
const COPY_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest copy that is read, in bytes; a configuration of 10,000 routes has 2 MB.
const MAX_COPY_BYTES: u64 = 8 * 1024 * 1024;

/// Copies that one instance gives at the same time; whoever finds no place asks again.
const MAX_CONCURRENT_COPIES: usize = 8;

/// Added to the code of a table: only rows after a version are wanted.
const SINCE_FLAG: u8 = 0x10;

/// Why no copy came.
#[derive(Debug, thiserror::Error)]
pub(super) enum CopyError {
    /// The connection was not made or broke.
    #[error("the connection failed: {0}")]
    Connection(#[from] io::Error),
    /// It took too long.
    #[error("no copy in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
    /// What came cannot be read.
    #[error("the copy cannot be read: {0}")]
    Unreadable(#[from] ReportError),
    /// What came is no copy of the table.
    #[error("the answer is no copy of the table")]
    WrongContent,
}

impl Control {
    /// Asks an instance that has newer rows for all of a table.
    ///
    /// Failure: the store turns some instances away. One that missed a change cannot ask for
    /// it and goes on by old owners: one request in ten came to an endpoint that no longer
    /// held its key, and one in twenty was refused when no second send was left. One that
    /// starts meanwhile knows no routes and refuses everybody.
    pub(super) fn request_copy(&mut self, now: Mono, table: Table, events: &mpsc::Sender<Event>) {
        // Hundreds that lack the same rows do not ask the leader, nor the store.
        let address = match self.place.role(now) {
            Role::Member(_) if self.place.is_new(now) => return,
            Role::Member(to) | Role::Delegate(to) => Some(to),
            Role::Alone => self.cluster.peers.with_newest(now, table, &self.cfg.zone),
        };
        let Some(address) = address else { return };
        if self.pending_copies.contains(&table) {
            return;
        }
        self.pending_copies.push(table);
        let lacks_leader = table == Table::Own && self.cluster.lacks_leader(self.leadership.term());
        let after = if lacks_leader {
            Version(0)
        } else {
            Version(self.cluster.seen_versions().of(table))
        };
        let events = events.clone();
        tokio::spawn(async move {
            let copy = fetch_copy(address, table, after).await;
            // Nobody is left to be told when the process ends.
            let _ = events.send(Event::CopyDone { table, copy }).await;
        });
    }

    /// Has rows brought that were lost on the way: by whoever passes them on, or by the store.
    ///
    /// Load: a relay is lost on its way to a delegate, and each of its 17 members asked the
    /// store; after a lost history all of 295 read three tables anew, 2,100 calls.
    pub(super) fn fetch_missed(&mut self, now: Mono, table: Table, events: &mpsc::Sender<Event>) {
        if self.pending_copies.contains(&table) {
            return;
        }
        let by_store = self.cluster.needs_store_read(now, table);
        if by_store || matches!(self.place.role(now), Role::Alone) {
            self.poll_control(table).refresh.notify_one();
        } else {
            self.request_copy(now, table, events);
        }
    }

    /// Takes a copy that came, or why none did.
    pub(super) fn on_copy_done(&mut self, now: Mono, table: Table, copy: Result<Relay, CopyError>) {
        self.pending_copies.retain(|pending| *pending != table);
        let copy = match copy {
            Ok(copy) => copy,
            Err(e) => {
                log::info!(table = table.as_str(), cause = e.to_string(); "table not copied");
                return;
            }
        };
        // The store, or a relay, has brought newer rows meanwhile. Own rows are taken one by
        // one, each if it is newer.
        if table != Table::Own && copy.after.0 < self.cluster.seen_versions().of(table) {
            return;
        }
        self.cluster.apply_copy(now, &copy);
        let position = &self.poll_control(table).position;
        position.fetch_max(copy.position.0, Ordering::Relaxed);
        if table == Table::Own {
            self.leadership.take_relayed_rows(&self.cluster);
        }
    }

    /// Gives another instance a copy, if this one has read the table.
    pub(super) fn send_copy(
        &mut self,
        table: Table,
        after: Version,
        reply: oneshot::Sender<Vec<u8>>,
    ) {
        let Some(copy) = self.cluster.copy_since(table, after) else {
            return;
        };
        // Whoever asked may have left.
        let _ = reply.send(datagram::encode(&Datagram::Relay(copy)));
    }
}

/// Gives copies until the task is dropped.
pub(super) async fn serve(listener: TcpListener, events: mpsc::Sender<Event>) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_COPIES));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!(cause = e.to_string(); "the reports' address took no connection");
                tokio::time::sleep(crate::gateway::traffic::ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let events = events.clone();
        tokio::spawn(async move {
            match timeout(COPY_TIMEOUT, serve_copy(stream, events)).await {
                Ok(Ok(())) => {}
                Ok(Err(e)) => log::debug!(cause = e.to_string(); "a copy was not given"),
                Err(_elapsed) => log::debug!("a copy was not taken in time"),
            }
            drop(permit);
        });
    }
}

async fn serve_copy(mut stream: TcpStream, events: mpsc::Sender<Event>) -> Result<(), CopyError> {
    let code = stream.read_u8().await?;
    let after = if code & SINCE_FLAG == 0 {
        Version(0)
    } else {
        Version(stream.read_u64().await?)
    };
    let table = datagram::table_of(code & !SINCE_FLAG)?;
    let (reply, copied) = oneshot::channel();
    let requested = Event::CopyRequested {
        table,
        after,
        reply,
    };
    // Without an answer the process ends, or has nothing to give.
    if events.send(requested).await.is_err() {
        return Ok(());
    }
    let Ok(copy) = copied.await else {
        return Ok(());
    };
    stream.write_all(&copy).await?;
    stream.shutdown().await?;
    Ok(())
}

/// Asks another instance for the rows of a table after a version.
pub(super) async fn fetch_copy(
    address: SocketAddr,
    table: Table,
    after: Version,
) -> Result<Relay, CopyError> {
    timeout(COPY_TIMEOUT, read_copy(address, table, after)).await?
}

async fn read_copy(address: SocketAddr, table: Table, after: Version) -> Result<Relay, CopyError> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    if after == Version(0) {
        stream.write_u8(datagram::code_of(table)).await?;
    } else {
        stream
            .write_u8(datagram::code_of(table) | SINCE_FLAG)
            .await?;
        stream.write_u64(after.0).await?;
    }
    let mut bytes = Vec::new();
    stream.take(MAX_COPY_BYTES).read_to_end(&mut bytes).await?;
    match datagram::decode(&bytes)? {
        Datagram::Relay(copy) if copy.table == table && copy.patches.is_empty() => {
            Ok(Relay { after, ..copy })
        }
        _ => Err(CopyError::WrongContent),
    }
}
