//! Passes reads and writes of the administration API on to the platform's duty.

use citronway_core::node::Event;
use citronway_core::node::events::Ticket;
use citronway_core::platform::{Row, WriteOutcome};
use indexmap::IndexMap;
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;

use crate::operators::store::CONFIG_TABLE;
use crate::operators::{ReadFailed, StoreCommand};
use crate::platform::PlatformCommand;

/// Tickets from here on are the administration API's, not the machine's.
const FIRST_TICKET: Ticket = 1 << 62;

type ReadAnswer = oneshot::Sender<Result<Option<Row>, ReadFailed>>;

/// Commands of the administration API that wait for their answer.
#[derive(Debug)]
pub struct StoreDesk {
    platform: Sender<PlatformCommand>,
    next: Ticket,
    writes: IndexMap<Ticket, oneshot::Sender<WriteOutcome>>,
    reads: IndexMap<Ticket, ReadAnswer>,
}

impl StoreDesk {
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
                if self
                    .platform
                    .try_send(PlatformCommand::Write { ticket, puts })
                    .is_err()
                {
                    let _ = answer.send(WriteOutcome::Refused);
                    return;
                }
                self.writes.insert(ticket, answer);
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

    /// Takes an event out of the stream if it answers a command of the API.
    pub fn intercept(&mut self, event: Event) -> Option<Event> {
        match event {
            Event::WriteDone { ticket, outcome } if ticket >= FIRST_TICKET => {
                self.written(ticket, outcome);
                None
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

    fn written(&mut self, ticket: Ticket, outcome: WriteOutcome) {
        if matches!(outcome, WriteOutcome::Done { .. }) {
            // Read at once what now stands, so that it is in force here soon and
            // heartbeats tell the others; the next poll would find it as well.
            let table = CONFIG_TABLE.to_owned();
            let _ = self.platform.try_send(PlatformCommand::ReadTable { table });
        }
        if let Some(answer) = self.writes.swap_remove(&ticket) {
            let _ = answer.send(outcome);
        }
    }

    fn read(&mut self, ticket: Ticket, result: Result<Option<Row>, ReadFailed>) {
        if let Some(answer) = self.reads.swap_remove(&ticket) {
            let _ = answer.send(result);
        }
    }
}
