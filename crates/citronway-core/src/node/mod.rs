//! The machine of one entry instance: every decision the process makes.
//!
//! The process feeds it [`Event`]s with the present time and carries out the
//! [`Action`]s it returns. It owns the configuration in force, the assignment
//! and dispatch rows, the holds, the dispatch queues and the planners.
//!
//! | module | job |
//! |---|---|
//! | `view` | stored rows as this instance knows them |
//! | `members` | other instances |
//! | `entry` | callers' requests |
//! | `seats` | what this instance has to do with each endpoint |
//! | `holds`, `dispatchers`, `leaving` | its holds, its dispatchers, and how it gives them up |
//! | `shards` | which shards an endpoint has |
//! | `planners` | the planner of each service |
//! | `status` | what operators are shown |
//! | `store` | reads and writes of the platform's tables |
//! | `probes` | whether successors reach an endpoint |
//! | `crashes` | work that crashes endpoints |
//! | `tickets` | which answer is for what |
//! | `replay` | recorded events against their outcomes |

mod crashes;
mod dispatchers;
mod entry;
pub mod events;
mod holds;
mod leaving;
mod members;
mod planners;
mod probes;
pub mod replay;
mod seats;
mod settings;
mod shards;
mod status;
mod store;
mod tickets;
mod view;

pub use events::{Action, CallerRequest, Event, OrderReply, ProbeReport, Ticket};
pub use members::Member;
pub use settings::{NodeSettings, SendPolicy};
pub use status::{DispatcherStatus, SeatRole, SeatStatus, ShutdownStep};
pub use store::RefusedConfig;
pub use view::{CONFIG_KEY, CONFIG_TABLE, Indexed, Versioned, View};

use std::sync::Arc;

use crate::config::CompiledConfig;
use crate::config::version::ConfigEvent;
use crate::hold::HoldEvent;
use crate::ids::{Session, ZoneName};
use crate::outcome::NotRunReason;
use crate::peer::{Heartbeat, PeerMessage};
use crate::placement::PlannerEvent;
use crate::time::{Mono, Now};

use crashes::Crashes;
use entry::Entry;
use members::Members;
use planners::Planners;
use seats::Seats;
use tickets::{Purpose, Tickets};

/// How long a leaving instance waits for its roles to be taken, in milliseconds.
const HANDOVER_MS: u64 = 1_500;
/// How long an instance without roles still answers forwards, in milliseconds;
/// longer than the time between two polls of the store.
const LINGER_MS: u64 = 750;

/// Every decision of one entry instance.
#[derive(Debug)]
pub struct Node {
    me: Session,
    settings: NodeSettings,
    view: View,
    members: Members,
    entry: Entry,
    seats: Seats,
    planners: Planners,
    tickets: Tickets,
    crashes: Crashes,
    polled: Option<Mono>,
    greeted: Option<Mono>,
    reported: Option<Mono>,
    /// A stored configuration that could not be used.
    refused: Option<RefusedConfig>,
    /// When the last role was handed over.
    handed_over: Option<Mono>,
    /// When nothing but requests on their way here kept the process any more.
    left: Option<Mono>,
    /// When the process was asked to stop.
    stopped: Option<Mono>,
}

impl Node {
    /// A fresh start of an instance that knows nothing yet.
    #[must_use]
    pub fn new(me: Session, zone: ZoneName, settings: NodeSettings) -> Self {
        Self {
            members: Members::new(me.clone(), zone),
            entry: Entry::new(settings.retry),
            seats: Seats::default(),
            planners: Planners::default(),
            view: View::default(),
            tickets: Tickets::default(),
            crashes: Crashes::new(settings.fingerprint_key, &me),
            polled: None,
            greeted: None,
            reported: None,
            refused: None,
            handed_over: None,
            left: None,
            stopped: None,
            me,
            settings,
        }
    }

    /// What the instance knows of configuration, assignments and dispatchers.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// Whether the balancer may send callers here.
    #[must_use]
    pub fn ready(&self, now: Now) -> bool {
        self.stopped.is_none() && self.servable(now).is_ok()
    }

    /// The configuration to serve by.
    ///
    /// Failure guarded against: an instance that starts while the platform is down
    /// gets all rows from its peers, but no list of instances and so no links of
    /// its own; most of what it takes would end as `dispatcher unreachable`.
    fn servable(&self, now: Now) -> Result<&Arc<CompiledConfig>, NotRunReason> {
        if !self.members.is_listed() {
            return Err(NotRunReason::StaleConfig);
        }
        self.view.servable(now.mono)
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, event: Event, now: Now) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Caller { ticket, request } => self.caller(ticket, request, now, &mut out),
            Event::CallerGone { ticket } => self.caller_gone(ticket, now, &mut out),
            Event::Forwarded {
                ticket,
                endpoint,
                dispatch_epoch,
                request,
            } => {
                self.forwarded(ticket, &endpoint, dispatch_epoch, request, now, &mut out);
            }
            Event::ForwardDone { ticket, outcome } => {
                if let Some(Purpose::Forward { caller }) = self.tickets.take(ticket) {
                    self.settle(caller, outcome, now, &mut out);
                }
            }
            Event::OrderDone { .. } | Event::CancelDone { .. } | Event::GrantDone { .. } => {
                self.endpoint_event(event, now, &mut out);
            }
            Event::Peer { from, message } => self.peer(&from, message, now, &mut out),
            Event::PeerUp {
                session,
                at_its_address,
            } => {
                if at_its_address && !self.members.is_connected(&session) {
                    self.tell_rows(&session, &mut out);
                    self.crashes.tell_all_again();
                }
                let gone = self.members.up(&session, at_its_address, now.mono);
                self.bury(&gone, now, &mut out);
            }
            Event::PeerDown { instance } => self.members.down(&instance),
            Event::RowsRead { table, rows, asked } => {
                self.table_read(&table, rows, asked.mono, now, &mut out);
            }
            Event::RowRead { ticket, row } => self.row_read(ticket, row, now, &mut out),
            Event::ReadFailed { ticket } => self.read_failed(ticket, now, &mut out),
            Event::WriteDone { ticket, outcome } => {
                self.write_done(ticket, outcome, now, &mut out);
            }
            Event::EndpointLives { endpoint } => self.crashes.lives(&endpoint),
            Event::Instances { list, asked } => {
                let gone = self.members.listed(list, asked);
                self.bury(&gone, now, &mut out);
            }
            Event::Stop => self.stopped = Some(now.mono),
        }
        out
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Action>) {
        self.config_event(&ConfigEvent::Tick, now, out);
        self.poll_store(now, out);
        self.crashes.tick(now.mono);
        self.send_heartbeat(now, out);
        if self.is_leaving(now) && self.entry_is_done(now) {
            self.leave_seats(now, out);
        }
        self.tick_seats(now, out);
        self.ask_successors(now, out);
        self.tick_planners(now, out);
        self.tick_entry(now, out);
        self.send_loads(now, out);
        if self.is_leaving(now) && self.entry_is_done(now) && self.seats_are_left(now) {
            self.exit_after_linger(now, out);
        }
    }

    /// Failure guarded against: another entry has not heard yet who dispatches
    /// next, and its request reaches a process that has just exited, so that its
    /// caller is told it may have run. Until the others have read the new rows,
    /// such requests are still answered as not run, and find their way.
    fn exit_after_linger(&mut self, now: Now, out: &mut Vec<Action>) {
        let since = *self.left.get_or_insert(now.mono);
        if now.mono.since(since) >= LINGER_MS || self.grace_is_over(now) {
            out.push(Action::Exit);
        }
    }

    /// Whether the instance takes no new work any more.
    fn is_leaving(&self, now: Now) -> bool {
        self.stopped
            .is_some_and(|at| now.mono.since(at) >= self.settings.lame_duck_ms)
    }

    fn entry_is_done(&self, now: Now) -> bool {
        self.entry.is_idle() || self.grace_is_over(now)
    }

    /// Whether nothing keeps this process any more.
    ///
    /// An offered role is waited for only so long: when the store does not
    /// answer, or all others leave as well, nobody takes it, and a successor that
    /// has the offer can take it without us.
    fn seats_are_left(&mut self, now: Now) -> bool {
        if self.grace_is_over(now) {
            return true;
        }
        if !self.seats.is_idle() || !self.seats.all_handed_over() {
            return false;
        }
        let since = *self.handed_over.get_or_insert(now.mono);
        self.seats.roles_are_gone() || now.mono.since(since) >= HANDOVER_MS
    }

    fn grace_is_over(&self, now: Now) -> bool {
        self.stopped
            .is_some_and(|at| now.mono.since(at) >= self.settings.grace_ms)
    }

    fn send_heartbeat(&mut self, now: Now, out: &mut Vec<Action>) {
        if self.crashes.has_news() {
            self.greeted = None;
        }
        if !is_due(&mut self.greeted, self.settings.heartbeat_ms, now.mono) {
            return;
        }
        let (first_sign, signs) = self.crashes.take_signs();
        out.push(Action::Broadcast {
            message: PeerMessage::Heartbeat(Heartbeat {
                config: self.view.config_version(),
                store_age_ms: self.view.store_age_ms(now.mono),
                leaving: self.stopped.is_some(),
                first_sign,
                signs,
            }),
        });
    }

    fn send_loads(&mut self, now: Now, out: &mut Vec<Action>) {
        if is_due(&mut self.reported, self.settings.load_every_ms, now.mono) {
            self.report_loads(now, out);
        }
    }

    fn peer(&mut self, from: &Session, message: PeerMessage, now: Now, out: &mut Vec<Action>) {
        match message {
            PeerMessage::Heartbeat(beat) => {
                self.members.heartbeat(from, &beat, now.mono);
                self.crashes.heard(now.mono, from, &beat);
                let event = ConfigEvent::Heartbeat {
                    peer: from.instance.clone(),
                    version: beat.config,
                };
                self.config_event(&event, now, out);
                if !beat.leaving {
                    let heard = PlannerEvent::Heard {
                        session: from.clone(),
                    };
                    self.tell_planners(&heard, now, out);
                }
            }
            PeerMessage::Rows { rows } => {
                for row in rows {
                    self.peer_row(from, row, now, out);
                }
            }
            PeerMessage::Hold { endpoint, message } => {
                self.hold_message(from, &endpoint, message, now, out);
            }
            PeerMessage::EndpointLost(_) | PeerMessage::ShardReleased(_) | PeerMessage::Load(_) => {
                self.report(message, now, out);
            }
            PeerMessage::Probe { endpoint } => self.asked_to_probe(from, &endpoint, out),
            PeerMessage::Probed { endpoint, reached } => {
                self.seats.probed(&endpoint, reached, now.mono);
            }
        }
    }

    /// Sessions that are gone for good cannot act or write any more.
    fn bury(&mut self, gone: &[Session], now: Now, out: &mut Vec<Action>) {
        for session in gone {
            let event = HoldEvent::Gone {
                session: session.clone(),
            };
            for endpoint in self.seats.endpoints() {
                self.tell_hold(&endpoint, &event, now, out);
            }
            self.tell_planners(
                &PlannerEvent::Gone {
                    session: session.clone(),
                },
                now,
                out,
            );
        }
    }
}

/// Whether `every_ms` have passed since `last`, which is then set anew.
fn is_due(last: &mut Option<Mono>, every_ms: u64, now: Mono) -> bool {
    let due = last.is_none_or(|at| now.since(at) >= every_ms);
    if due {
        *last = Some(now);
    }
    due
}
