//! Reads and writes of the platform's tables, and rows that peers tell.

use crate::config::version::{ConfigAction, ConfigEvent};
use crate::ids::{InstanceName, Session, Version};
use crate::peer::PeerMessage;
use crate::placement::PlannerEvent;
use crate::platform::{Row, RowKey, WriteOutcome};
use crate::time::{Mono, Now};

use super::Node;
use super::events::{Action, Ticket};
use super::is_due;
use super::tickets::Purpose;
use super::view::{
    ASSIGNMENT_TABLE, CONFIG_KEY, CONFIG_TABLE, DISPATCH_TABLE, Learnt, PLANNER_TABLE,
};

/// Rows in one message to a peer.
const ROWS_AT_ONCE: usize = 16;

/// Tables that every instance follows.
const FOLLOWED: [&str; 4] = [
    CONFIG_TABLE,
    ASSIGNMENT_TABLE,
    DISPATCH_TABLE,
    PLANNER_TABLE,
];

/// Result of a read of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ReadResult {
    /// No answer.
    Failed,
    /// There is no such row.
    Absent,
    /// The row.
    Found(Row),
}

impl Node {
    pub(super) fn poll_store(&mut self, now: Now, out: &mut Vec<Action>) {
        if !is_due(&mut self.polled, self.settings.poll_ms, now.mono) {
            return;
        }
        for table in FOLLOWED {
            out.push(Action::ReadTable {
                table: table.to_owned(),
            });
        }
    }

    pub(super) fn table_read(
        &mut self,
        table: &str,
        rows: Vec<Row>,
        asked: Mono,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        self.view.heard_store(now.mono);
        if table == CONFIG_TABLE {
            self.config_event(&stored_config(&rows, asked), now, out);
            return;
        }
        for row in &rows {
            self.learn(row, now, out);
        }
        let event = PlannerEvent::Table {
            table: table.to_owned(),
            rows,
        };
        self.tell_planners(&event, now, out);
    }

    /// Takes over a row that a peer told.
    pub(super) fn peer_row(&mut self, from: &Session, row: Row, now: Now, out: &mut Vec<Action>) {
        if row.at.table != CONFIG_TABLE {
            self.learn(&row, now, out);
            return;
        }
        let event = ConfigEvent::PeerRow {
            peer: from.instance.clone(),
            version: row.version,
            value: row.value,
        };
        self.config_event(&event, now, out);
    }

    /// Tells a session that was just connected all rows known here.
    ///
    /// Failure guarded against: an instance starts, or missed the last change,
    /// while the store is down. Without the rows of its peers it would serve
    /// nothing until the store is back.
    pub(super) fn tell_rows(&self, to: &Session, out: &mut Vec<Action>) {
        for rows in self.view.rows().chunks(ROWS_AT_ONCE) {
            let message = PeerMessage::Rows {
                rows: rows.to_vec(),
            };
            out.push(Action::Send {
                to: to.clone(),
                message,
            });
        }
    }

    /// Feeds the machine that keeps the configuration in force.
    pub(super) fn config_event(&mut self, event: &ConfigEvent, now: Now, out: &mut Vec<Action>) {
        for action in self.view.config_event(event, now.mono) {
            match action {
                ConfigAction::Fetch { .. } => {
                    out.push(Action::ReadTable {
                        table: CONFIG_TABLE.to_owned(),
                    });
                }
                ConfigAction::Offer { peer } => self.offer_config(&peer, out),
                ConfigAction::Applied { .. } => self.seat_all(now, out),
                ConfigAction::Refused { version, findings } => {
                    self.refused = Some(RefusedConfig { version, findings });
                }
            }
        }
    }

    /// Sends the configuration to a peer that is behind.
    fn offer_config(&self, peer: &InstanceName, out: &mut Vec<Action>) {
        let member = self.members.known().get(peer);
        let (Some(member), Some(row)) = (member, self.view.config_row()) else {
            return;
        };
        let message = PeerMessage::Rows { rows: vec![row] };
        out.push(Action::Send {
            to: member.session.clone(),
            message,
        });
    }

    /// Takes over a row, whoever told it, and passes it on within the instance.
    pub(super) fn learn(&mut self, row: &Row, now: Now, out: &mut Vec<Action>) {
        match self.view.learn(row) {
            Learnt::Nothing => return,
            Learnt::Assignment(_) => self.give_all_shards(now, out),
            Learnt::Dispatch(endpoint) => self.row_to_hold(&endpoint, now, out),
        }
        self.tell_planners(&PlannerEvent::Row { row: row.clone() }, now, out);
    }

    /// Takes over a row whose write is known to stand and tells all instances.
    pub(super) fn publish(&mut self, row: Row, now: Now, out: &mut Vec<Action>) {
        self.learn(&row, now, out);
        out.push(Action::Broadcast {
            message: PeerMessage::Rows { rows: vec![row] },
        });
    }

    pub(super) fn row_read(
        &mut self,
        ticket: Ticket,
        row: Option<Row>,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        self.view.heard_store(now.mono);
        let Some(row) = row else {
            self.read_ended(ticket, ReadResult::Absent, now, out);
            return;
        };
        self.learn(&row, now, out);
        self.read_ended(ticket, ReadResult::Found(row), now, out);
    }

    pub(super) fn read_failed(&mut self, ticket: Ticket, now: Now, out: &mut Vec<Action>) {
        self.read_ended(ticket, ReadResult::Failed, now, out);
    }

    fn read_ended(&mut self, ticket: Ticket, read: ReadResult, now: Now, out: &mut Vec<Action>) {
        match self.tickets.take(ticket) {
            Some(Purpose::HoldRead {
                endpoint,
                read: number,
            }) => {
                self.hold_read_done(&endpoint, number, read, now, out);
            }
            Some(Purpose::Planner { service, ticket }) => {
                self.planner_read_done(&service, ticket, read, now, out);
            }
            _ => {}
        }
    }

    pub(super) fn write_done(
        &mut self,
        ticket: Ticket,
        outcome: WriteOutcome,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        match self.tickets.take(ticket) {
            Some(Purpose::HoldWrite {
                endpoint,
                write,
                value,
            }) => {
                self.hold_write_done(&endpoint, write, value, outcome, now, out);
            }
            Some(Purpose::Planner { service, ticket }) => {
                let event = PlannerEvent::WriteDone { ticket, outcome };
                self.tell_planner(&service, event, now, out);
            }
            _ => {}
        }
    }
}

/// A stored configuration that cannot be put in force here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedConfig {
    /// Its version.
    pub version: Version,
    /// Everything that is wrong with it, one finding a line.
    pub findings: String,
}

/// What a read of the configuration's table says.
fn stored_config(rows: &[Row], asked: Mono) -> ConfigEvent {
    match rows.iter().find(|row| row.at.key == CONFIG_KEY) {
        None => ConfigEvent::StoreEmpty { asked },
        Some(row) => ConfigEvent::StoreRead {
            asked,
            version: row.version,
            value: row.value.clone(),
        },
    }
}

/// Name of a row.
pub(super) fn at(table: &str, key: &str) -> RowKey {
    RowKey {
        table: table.to_owned(),
        key: key.to_owned(),
    }
}
