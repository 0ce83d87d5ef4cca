//! The hold of each endpoint: its messages, reads and writes.

use crate::hold::{HoldAction, HoldEvent, ReadOutcome};
use crate::ids::{EndpointName, Session};
use crate::outcome::NotRunReason;
use crate::peer::{HoldMessage, PeerMessage};
use crate::platform::{ConditionalPut, Row, RowKey, WriteOutcome};
use crate::shard::DispatchRow;
use crate::time::Now;

use super::Node;
use super::events::Action;
use super::seats::{FIRST_EPOCH, Role, members_of};
use super::store::{ReadResult, at};
use super::tickets::Purpose;
use super::view::DISPATCH_TABLE;

impl Node {
    pub(super) fn tell_hold_the_known(
        &mut self,
        name: &EndpointName,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        for session in self.members.gone() {
            self.tell_hold(name, &HoldEvent::Gone { session }, now, out);
        }
        self.row_to_hold(name, now, out);
    }

    /// Passes the known dispatch row on to the endpoint's hold.
    pub(super) fn row_to_hold(&mut self, name: &EndpointName, now: Now, out: &mut Vec<Action>) {
        let Some(known) = self.view.dispatch().get(name) else {
            return;
        };
        let event = HoldEvent::Row {
            version: known.version,
            row: known.value.clone(),
        };
        for session in members_of(&known.value) {
            self.members.watch(&session);
        }
        self.tell_hold(name, &event, now, out);
    }

    pub(super) fn tell_hold(
        &mut self,
        name: &EndpointName,
        event: &HoldEvent,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let Some(seat) = self.seats.by_endpoint.get_mut(name) else {
            return;
        };
        for action in seat.hold.apply(event, now) {
            self.do_for_hold(name, action, now, out);
        }
    }

    pub(super) fn hold_message(
        &mut self,
        from: &Session,
        endpoint: &EndpointName,
        message: HoldMessage,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let event = HoldEvent::Message {
            from: from.clone(),
            message,
        };
        self.tell_hold(endpoint, &event, now, out);
    }

    pub(super) fn do_for_hold(
        &mut self,
        name: &EndpointName,
        action: HoldAction,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        match action {
            HoldAction::Send { to, message } => {
                let message = PeerMessage::Hold {
                    endpoint: name.clone(),
                    message,
                };
                out.push(Action::Send { to, message });
            }
            HoldAction::ReadRow { read } => {
                let purpose = Purpose::HoldRead {
                    endpoint: name.clone(),
                    read,
                };
                let ticket = self.tickets.draw(purpose);
                out.push(Action::ReadRow {
                    ticket,
                    at: dispatch_at(name),
                });
            }
            HoldAction::Write {
                write,
                expected,
                row,
            } => {
                self.write_row(name, write, expected, &row, out);
            }
            HoldAction::TookOver {
                epoch,
                floor,
                known,
                ..
            } => {
                // Failure guarded against: the predecessor hands over, and its
                // grants live on at the endpoint, or its orders if it only
                // offered the role because it did not reach the endpoint. A
                // moving shard released before they end has two owners.
                let inherited = epoch > FIRST_EPOCH;
                let role = Role {
                    epoch,
                    floor,
                    inherited,
                    known,
                };
                self.start_dispatcher(name, role, now);
                self.give_shards(name, now, out);
            }
            HoldAction::Lost { .. } => {
                if let Some(seat) = self.seats.by_endpoint.get_mut(name) {
                    seat.waiting_role = None;
                }
                self.retire(name, NotRunReason::NotDispatcher, now, out);
            }
            HoldAction::OfferDeclined { .. } => {}
        }
    }

    pub(super) fn write_row(
        &mut self,
        name: &EndpointName,
        write: u64,
        expected: crate::ids::Version,
        row: &DispatchRow,
        out: &mut Vec<Action>,
    ) {
        let Ok(value) = serde_json::to_string(row) else {
            return;
        };
        let purpose = Purpose::HoldWrite {
            endpoint: name.clone(),
            write,
            value: value.clone(),
        };
        let ticket = self.tickets.draw(purpose);
        let put = ConditionalPut {
            at: dispatch_at(name),
            expected,
            value,
        };
        out.push(Action::Write {
            ticket,
            puts: vec![put],
        });
    }

    pub(super) fn hold_read_done(
        &mut self,
        name: &EndpointName,
        read: u64,
        read_result: ReadResult,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let outcome = match read_result {
            ReadResult::Failed => ReadOutcome::Failed,
            ReadResult::Absent => ReadOutcome::Absent,
            ReadResult::Found(row) => match serde_json::from_str(&row.value) {
                Ok(value) => ReadOutcome::Found {
                    version: row.version,
                    row: value,
                },
                Err(_) => ReadOutcome::Failed,
            },
        };
        self.tell_hold(name, &HoldEvent::ReadDone { read, outcome }, now, out);
    }

    pub(super) fn hold_write_done(
        &mut self,
        name: &EndpointName,
        write: u64,
        value: String,
        outcome: WriteOutcome,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let stands = match &outcome {
            WriteOutcome::Done { versions } => versions.first().copied(),
            _ => None,
        };
        self.tell_hold(name, &HoldEvent::WriteDone { write, outcome }, now, out);
        if let Some(version) = stands {
            let row = Row {
                at: dispatch_at(name),
                version,
                value,
            };
            self.publish(row, now, out);
        }
    }
}

fn dispatch_at(endpoint: &EndpointName) -> RowKey {
    at(DISPATCH_TABLE, endpoint.as_str())
}
