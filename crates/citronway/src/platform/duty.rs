//! Carries out reads and writes, each in its own task, and polls the instance list.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use citronway_core::node::Event;
use citronway_core::node::events::Ticket;
use citronway_core::platform::{ConditionalPut, Row, RowKey, WriteOutcome};
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use super::command::PlatformCommand;
use super::error::PlatformError;
use super::service::Platform;
use super::versions::Versions;

/// Ticket that stands for the read of a table.
const TABLE_TICKET: Ticket = 0;

/// Bounds of the duty.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bounds {
    /// Time between two readings of the instance list.
    pub poll: Duration,
    /// Most reads and writes in progress.
    pub max_in_flight: usize,
}

/// Carries out commands until [`PlatformCommand::Stop`] or the ring closes.
pub(super) async fn run<P: Platform>(
    platform: P,
    bounds: Bounds,
    mut commands: Receiver<PlatformCommand>,
    events: Sender<Event>,
) {
    let calls = StoreCalls {
        platform: Arc::new(platform),
        versions: Arc::default(),
        events,
    };
    let poll = tokio::spawn(poll(calls.clone(), bounds.poll));
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                None | Some(PlatformCommand::Stop) => break,
                Some(command) if tasks.len() < bounds.max_in_flight => {
                    tasks.spawn(calls.clone().carry_out(command));
                }
                Some(command) => {
                    tasks.spawn(calls.clone().turn_down(command));
                }
            },
            Some(_) = tasks.join_next() => {}
        }
    }
    while tasks.join_next().await.is_some() {}
    poll.abort();
}

async fn poll<P: Platform>(calls: StoreCalls<P>, every: Duration) {
    let mut ticks = interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let asked = crate::clock::now();
        match calls.platform.instances().await {
            Ok(list) => calls.report(Event::Instances { list, asked }).await,
            Err(err) => log::warn!(error:% = err; "instance list not read"),
        }
    }
}

#[derive(Debug)]
struct StoreCalls<P> {
    platform: Arc<P>,
    versions: Arc<Mutex<Versions>>,
    events: Sender<Event>,
}

impl<P> Clone for StoreCalls<P> {
    fn clone(&self) -> Self {
        Self {
            platform: Arc::clone(&self.platform),
            versions: Arc::clone(&self.versions),
            events: self.events.clone(),
        }
    }
}

impl<P: Platform> StoreCalls<P> {
    async fn carry_out(self, command: PlatformCommand) {
        let event = match command {
            PlatformCommand::ReadTable { table } => self.read_table(table).await,
            PlatformCommand::ReadRow { ticket, at } => self.read_row(ticket, at).await,
            PlatformCommand::Write { ticket, puts } => self.write(ticket, puts).await,
            PlatformCommand::Stop => return,
        };
        self.report(event).await;
    }

    // Answered at once, so that a store outage does not fill the ring.
    async fn turn_down(self, command: PlatformCommand) {
        let event = match command {
            PlatformCommand::ReadTable { .. } => Event::ReadFailed {
                ticket: TABLE_TICKET,
            },
            PlatformCommand::ReadRow { ticket, .. } => Event::ReadFailed { ticket },
            PlatformCommand::Write { ticket, .. } => Event::WriteDone {
                ticket,
                outcome: WriteOutcome::Refused,
            },
            PlatformCommand::Stop => return,
        };
        log::warn!("too many requests to the platform in progress");
        self.report(event).await;
    }

    async fn read_table(&self, table: String) -> Event {
        let asked = crate::clock::now();
        let known = self.versions().of_table(&table);
        let read = self.platform.read_table(&table).await;
        match read.and_then(|rows| self.accept(&known, rows)) {
            Ok(rows) => Event::RowsRead { table, rows, asked },
            Err(err) => {
                log::warn!(table = table.as_str(), error:% = err; "table not read");
                Event::ReadFailed {
                    ticket: TABLE_TICKET,
                }
            }
        }
    }

    async fn read_row(&self, ticket: Ticket, at: RowKey) -> Event {
        let known = self.versions().of_table(&at.table);
        let read = self.platform.read_row(&at).await;
        match read.and_then(|row| self.accept(&known, row.into_iter().collect())) {
            Ok(rows) => Event::RowRead {
                ticket,
                row: rows.into_iter().next(),
            },
            Err(err) => {
                let (table, key) = (at.table.as_str(), at.key.as_str());
                log::warn!(table, key, error:% = err; "row not read");
                Event::ReadFailed { ticket }
            }
        }
    }

    async fn write(&self, ticket: Ticket, puts: Vec<ConditionalPut>) -> Event {
        let outcome = self.platform.write(&puts).await;
        if let WriteOutcome::Done { versions } = &outcome {
            for (put, version) in puts.iter().zip(versions) {
                self.versions().note(&put.at, *version);
            }
        }
        Event::WriteDone { ticket, outcome }
    }

    fn accept(&self, known: &Versions, rows: Vec<Row>) -> Result<Vec<Row>, PlatformError> {
        known.check(&rows)?;
        self.versions().note_rows(&rows);
        Ok(rows)
    }

    async fn report(&self, event: Event) {
        if self.events.send(event).await.is_err() {
            log::error!("no one takes events any more");
        }
    }

    fn versions(&self) -> MutexGuard<'_, Versions> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
