//! The machine of one entry instance: every decision the process makes.
//!
//! The process feeds it [`Event`]s with the present time and carries out the
//! [`Action`]s it returns. It owns the configuration in force, the assignment
//! and dispatch rows, the holds, the dispatch queues and the planner.

mod dispatching;
mod entry;
pub mod events;
mod members;
mod planning;
mod settings;
mod view;

pub use events::{Action, CallerRequest, Event, OrderReply, ProbeReport, Ticket};
pub use settings::NodeSettings;
pub use view::View;

use crate::ids::{Session, ZoneName};
use crate::peer::{Heartbeat, PeerMessage};
use crate::time::{Mono, Now};

use dispatching::Dispatching;
use entry::Entry;
use members::Members;
use planning::Planning;

/// Every decision of one entry instance.
#[derive(Debug)]
pub struct Node {
    me: Session,
    settings: NodeSettings,
    view: View,
    members: Members,
    entry: Entry,
    dispatching: Dispatching,
    planning: Planning,
    tickets: Tickets,
    polled: Option<Mono>,
    greeted: Option<Mono>,
    stopping: bool,
}

/// Draws ticket numbers.
#[derive(Debug, Default)]
struct Tickets {
    last: Ticket,
}

impl Tickets {
    fn draw(&mut self) -> Ticket {
        self.last += 1;
        self.last
    }
}

impl Node {
    /// A fresh start of an instance that knows nothing yet.
    #[must_use]
    pub fn new(me: Session, zone: ZoneName, settings: NodeSettings) -> Self {
        Self {
            members: Members::new(me.clone(), zone),
            entry: Entry::default(),
            dispatching: Dispatching::default(),
            planning: Planning::default(),
            view: View::default(),
            tickets: Tickets::default(),
            polled: None,
            greeted: None,
            stopping: false,
            me,
            settings,
        }
    }

    /// What the instance knows of configuration, assignments and dispatchers.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn ready(&self, now: Now) -> bool {
        !self.stopping && self.view.fresh(now.mono, self.settings.stale_after_ms)
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, event: Event, now: Now) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Caller { ticket, request } => self.caller(ticket, request, now, &mut out),
            Event::CallerGone { ticket } => self.entry.forget(ticket),
            Event::Forwarded {
                ticket,
                endpoint,
                dispatch_epoch,
                request,
            } => {
                let origin = dispatching::Origin::Peer(ticket);
                self.dispatch(origin, &endpoint, dispatch_epoch, request, now, &mut out);
            }
            Event::ForwardDone { ticket, outcome } => {
                self.entry_outcome(ticket, outcome, now, &mut out);
            }
            Event::OrderDone { ticket, reply } => self.order_done(ticket, reply, now, &mut out),
            Event::CancelDone { .. } | Event::GrantDone { .. } => {}
            Event::Peer { from, message } => self.peer(&from, message, now, &mut out),
            Event::PeerUp { session } => self.members.up(session, now.mono),
            Event::PeerDown { instance } => self.members.down(&instance),
            Event::RowsRead { table, rows } => self.view.table_read(&table, rows, now.mono),
            Event::RowRead { row, .. } => self.view.row_read(row, now.mono),
            Event::ReadFailed { .. } => {}
            Event::WriteDone { outcome, .. } => self.planning.write_done(&outcome, &mut out),
            Event::Instances { list } => self.members.listed(list, now.mono),
            Event::Stop => self.stopping = true,
        }
        out
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Action>) {
        self.poll_store(now, out);
        self.send_heartbeat(now, out);
        self.entry_tick(now, out);
        self.plan(now, out);
        if self.stopping && self.entry.is_idle() && self.dispatching.is_idle() {
            out.push(Action::Exit);
        }
    }

    fn poll_store(&mut self, now: Now, out: &mut Vec<Action>) {
        let due = self
            .polled
            .is_none_or(|at| now.mono.since(at) >= self.settings.poll_ms);
        if !due {
            return;
        }
        self.polled = Some(now.mono);
        for table in [
            view::CONFIG_TABLE,
            view::ASSIGNMENT_TABLE,
            view::DISPATCH_TABLE,
        ] {
            out.push(Action::ReadTable {
                table: table.to_owned(),
            });
        }
    }

    fn send_heartbeat(&mut self, now: Now, out: &mut Vec<Action>) {
        let due = self
            .greeted
            .is_none_or(|at| now.mono.since(at) >= self.settings.heartbeat_ms);
        if !due {
            return;
        }
        self.greeted = Some(now.mono);
        out.push(Action::Broadcast {
            message: PeerMessage::Heartbeat(Heartbeat {
                config: self.view.config_version(),
                store_age_ms: self.view.store_age_ms(now.mono),
                leaving: self.stopping,
            }),
        });
    }

    fn peer(&mut self, from: &Session, message: PeerMessage, now: Now, _out: &mut Vec<Action>) {
        match message {
            PeerMessage::Heartbeat(beat) => self.members.heartbeat(from, &beat, now.mono),
            PeerMessage::Rows { rows } => self.view.rows_told(rows),
            PeerMessage::Hold { .. }
            | PeerMessage::EndpointLost(_)
            | PeerMessage::ShardReleased(_)
            | PeerMessage::Load(_) => {}
        }
    }
}
