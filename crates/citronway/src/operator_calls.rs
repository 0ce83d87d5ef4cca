//! Passes reads and writes of the administration API on to the platform's duty.

use citronway_core::ids::Version;
use citronway_core::node::Event;
use citronway_core::node::events::Ticket;
use citronway_core::platform::{ConditionalPut, Row, WriteOutcome};
use citronway_core::time::Now;
use indexmap::IndexMap;
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;

use crate::clock;
use crate::operators::{ReadFailed, StoreCommand};
use crate::platform::PlatformCommand;

/// Tickets from here on are the administration API's, not the machine's.
const FIRST_TICKET: Ticket = 1 << 62;

type ReadAnswer = oneshot::Sender<Result<Option<Row>, ReadFailed>>;

/// Commands of the administration API that wait for their answer.
#[derive(Debug)]
pub struct OperatorCalls {
    platform: Sender<PlatformCommand>,
    next: Ticket,
    writes: IndexMap<Ticket, Written>,
    reads: IndexMap<Ticket, ReadAnswer>,
}

/// A write of the API on its way.
#[derive(Debug)]
struct Written {
    puts: Vec<ConditionalPut>,
    asked: Now,
    answer: oneshot::Sender<WriteOutcome>,
}

impl OperatorCalls {
    /// Sends to the platform's duty.
    pub fn new(platform: Sender<PlatformCommand>) -> Self {
        Self {
            platform,
            next: FIRST_TICKET,
            writes: IndexMap::new(),
            reads: IndexMap::new(),
        }
    }

    /// Takes a command. An answer nobody waits for any more is dropped: the API
    /// has given up and told its operator so.
    pub fn take(&mut self, command: StoreCommand) {
        let ticket = self.next;
        self.next += 1;
        match command {
            StoreCommand::Write { puts, answer } => {
                let command = PlatformCommand::Write {
                    ticket,
                    puts: puts.clone(),
                };
                if self.platform.try_send(command).is_err() {
                    let _ = answer.send(WriteOutcome::Refused);
                    return;
                }
                let asked = clock::now();
                self.writes.insert(
                    ticket,
                    Written {
                        puts,
                        asked,
                        answer,
                    },
                );
            }
            StoreCommand::ReadRow { at, answer } => {
                if self
                    .platform
                    .try_send(PlatformCommand::ReadRow { ticket, at })
                    .is_err()
                {
                    let _ = answer.send(Err(ReadFailed));
                    return;
                }
                self.reads.insert(ticket, answer);
            }
        }
    }

    /// Takes an event out of the stream if it answers a command of the API;
    /// returns what the machine shall take instead, if anything.
    pub fn intercept(&mut self, event: Event) -> Option<Event> {
        match event {
            Event::WriteDone { ticket, outcome } if ticket >= FIRST_TICKET => {
                self.written(ticket, outcome)
            }
            Event::RowRead { ticket, row } if ticket >= FIRST_TICKET => {
                self.read(ticket, Ok(row));
                None
            }
            Event::ReadFailed { ticket } if ticket >= FIRST_TICKET => {
                self.read(ticket, Err(ReadFailed));
                None
            }
            event => Some(event),
        }
    }

    /// Failure guarded against: the store goes down right after it has accepted
    /// a configuration, and nobody knows the new one until it is back. So the
    /// machine gets the row itself, from where it spreads to the peers.
    fn written(&mut self, ticket: Ticket, outcome: WriteOutcome) -> Option<Event> {
        let written = self.writes.swap_remove(&ticket)?;
        let accepted = match &outcome {
            WriteOutcome::Done { versions } => written.rows(versions),
            _ => None,
        };
        let _ = written.answer.send(outcome);
        accepted
    }

    fn read(&mut self, ticket: Ticket, result: Result<Option<Row>, ReadFailed>) {
        if let Some(answer) = self.reads.swap_remove(&ticket) {
            let _ = answer.send(result);
        }
    }
}

impl Written {
    /// The row that now stands, as a read would show it.
    fn rows(&self, versions: &[Version]) -> Option<Event> {
        let (put, version) = (self.puts.first()?, versions.first()?);
        let row = Row {
            at: put.at.clone(),
            version: *version,
            value: put.value.clone(),
        };
        Some(Event::RowsRead {
            table: put.at.table.clone(),
            rows: vec![row],
            asked: self.asked,
        })
    }
}
