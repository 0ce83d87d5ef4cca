//! Copies of rows from one instance to another: whole tables where the store can't be
//! asked, and in large fleets rows that were lost on the way.
//!
//! Each copy uses one connection, on the TCP port of the reports. The requesting side sends
//! the code of a table; if it has rows, it adds [`SINCE_FLAG`], if needed [`ERA_FLAG`], and the
//! version of its newest row. The other side answers with a relay of all rows, or of the newer ones, and
//! closes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use citronway_core::gateway::rows::{Relay, Table};
use citronway_core::gateway::tree::Role;
use citronway_core::gateway::version::{Era, RowVersion};
use citronway_core::time::Mono;
use citronway_wire::report::{self as datagram, Datagram, ReportError};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::timeout;

use super::{Control, Event};
use crate::clock;
use crate::gateway::http_link::CONNECT_TIMEOUT;

/// Timeout of a copy: a configuration of 400 KB takes 0.4 s over a link of 10 Mbit/s, and
/// several instances may request one at the same time.
const COPY_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest copy that is read; a configuration of 10,000 routes has 2 MB.
const MAX_COPY_BYTES: u64 = 8 * 1024 * 1024;

/// Most copies that an instance sends at the same time. Further requests are closed, and
/// the requesting instances try again.
const MAX_CONCURRENT_COPIES: usize = 8;

/// Added to the code of a table: only rows newer than a version are requested.
const SINCE_FLAG: u8 = 0x10;

/// Added to the code of a table: that version is of a later era than the first, and the era comes
/// before its number. Earlier versions of the product do not know it.
const ERA_FLAG: u8 = 0x20;

/// Why a copy failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CopyError {
    /// The connection could not be opened, or it broke.
    #[error("the connection failed: {0}")]
    Connection(#[from] io::Error),
    /// The copy did not come within [`COPY_TIMEOUT`].
    #[error("copy did not come in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
    /// The answer is malformed.
    #[error("malformed copy: {0}")]
    Unreadable(#[from] ReportError),
    /// The answer is not a copy of the requested table.
    #[error("the answer is not a copy of the requested table")]
    WrongContent,
}

impl Control {
    /// Requests a copy of a table, or of its newer rows, from an instance that has them.
    ///
    /// Failure: the store refuses some instances. One that missed a change can't read it
    /// and goes on with old owners: one request in ten went to an endpoint that no longer
    /// held its key, and one in twenty was refused when no second send was left. An
    /// instance that starts meanwhile knows no routes and refuses all callers.
    pub(super) fn request_copy(&mut self, now: Mono, table: Table, events: &mpsc::Sender<Event>) {
        // Hundreds of instances that lack the same rows must ask neither the leader nor the
        // store.
        let address = match self.tree_position.role(now) {
            Role::Member(_) if self.tree_position.is_new(now) => return,
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
            RowVersion::NONE
        } else {
            self.cluster.seen_versions().of(table)
        };
        spawn_copy(address, table, after, events.clone());
    }

    /// Fetches rows that were lost on the way, from the instance that relays them or from
    /// the store.
    ///
    /// Load: a relay was lost on its way to a delegate, and each of its 17 members asked
    /// the store. After the store dropped its history, all of 295 instances read three
    /// tables again, 2,100 calls.
    pub(super) fn fetch_missed(&mut self, now: Mono, table: Table, events: &mpsc::Sender<Event>) {
        if self.pending_copies.contains(&table) {
            return;
        }
        let by_store = self.cluster.needs_store_read(now, table);
        if by_store || matches!(self.tree_position.role(now), Role::Alone) {
            self.poll_control(table).refresh.notify_one();
        } else {
            self.request_copy(now, table, events);
        }
    }

    /// Applies a copy that came, or logs why it failed.
    pub(super) fn on_copy_done(
        &mut self,
        now: Mono,
        socket: &UdpSocket,
        table: Table,
        requested_at: Mono,
        copy: Result<Relay, CopyError>,
    ) {
        self.pending_copies.retain(|pending| *pending != table);
        let copy = match copy {
            Ok(copy) => copy,
            Err(e) => {
                log::info!(table = table.as_str(), cause = e.to_string(); "table not copied");
                return;
            }
        };
        self.hear_era(now, copy.position.era, "copy");
        // Meanwhile the store or a relay has brought newer rows. Own rows are applied one
        // by one, each if it is newer.
        if table != Table::Own && copy.after < self.cluster.seen_versions().of(table) {
            return;
        }
        if table == Table::Config && !copy.rows.is_empty() {
            // A leader that cannot read the store itself still passes on what it hears.
            self.relay_rows(now, socket, &copy);
        }
        self.cluster.apply_copy(now, &copy);
        self.hear_copied_confirmation(now, requested_at, &copy);
        self.poll_control(table).advance(copy.position);
        if table == Table::Own {
            self.leadership.apply_relayed_rows(&self.cluster);
        }
    }

    /// Sends a copy to another instance, if this one has read the table.
    pub(super) fn send_copy(
        &mut self,
        table: Table,
        after: RowVersion,
        reply: oneshot::Sender<Vec<u8>>,
    ) {
        let Some(copy) = self.cluster.copy_since(clock::mono(), table, after) else {
            return;
        };
        // The requesting instance may have left.
        let _ = reply.send(datagram::encode(&Datagram::Relay(copy)));
    }
}

/// Requests a copy of a table, which is reported as an event.
pub(super) fn spawn_copy(
    address: SocketAddr,
    table: Table,
    after: RowVersion,
    events: mpsc::Sender<Event>,
) {
    let requested_at = clock::mono();
    tokio::spawn(async move {
        let copy = fetch_copy(address, table, after).await;
        let done = Event::CopyDone {
            table,
            requested_at,
            copy,
        };
        // The receiver is gone when the process ends.
        let _ = events.send(done).await;
    });
}

/// Serves copies until the task is dropped.
pub(super) async fn serve(listener: TcpListener, events: mpsc::Sender<Event>) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_COPIES));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!(cause = e.to_string(); "connection for a copy not accepted");
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
                Ok(Err(e)) => log::debug!(cause = e.to_string(); "copy not sent"),
                Err(_elapsed) => log::debug!("copy not sent in time"),
            }
            drop(permit);
        });
    }
}

async fn serve_copy(mut stream: TcpStream, events: mpsc::Sender<Event>) -> Result<(), CopyError> {
    let code = stream.read_u8().await?;
    let era = if code & ERA_FLAG == 0 {
        Era::FIRST
    } else {
        Era(stream.read_u32().await?)
    };
    let number = if code & SINCE_FLAG == 0 {
        0
    } else {
        stream.read_u64().await?
    };
    let after = RowVersion { era, number };
    let table = datagram::table_of(code & !(SINCE_FLAG | ERA_FLAG))?;
    let (reply, copied) = oneshot::channel();
    let requested = Event::CopyRequested {
        table,
        after,
        reply,
    };
    // No copy comes if the process ends or the table was never read.
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

/// Fetches the rows of a table that are newer than a version from another instance.
pub(super) async fn fetch_copy(
    address: SocketAddr,
    table: Table,
    after: RowVersion,
) -> Result<Relay, CopyError> {
    timeout(COPY_TIMEOUT, read_copy(address, table, after)).await?
}

async fn read_copy(
    address: SocketAddr,
    table: Table,
    after: RowVersion,
) -> Result<Relay, CopyError> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    let code = datagram::code_of(table);
    if after == RowVersion::NONE {
        stream.write_u8(code).await?;
    } else if after.era == Era::FIRST {
        stream.write_u8(code | SINCE_FLAG).await?;
        stream.write_u64(after.number).await?;
    } else {
        stream.write_u8(code | SINCE_FLAG | ERA_FLAG).await?;
        stream.write_u32(after.era.0).await?;
        stream.write_u64(after.number).await?;
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
