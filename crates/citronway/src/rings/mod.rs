//! The bounded rings between the deciding thread and the duties.
//!
//! The deciding thread never waits for a ring. What a full ring does not take
//! comes back as the event that says it was not done, so that no machine waits
//! for an answer that cannot come.

mod drops;

use citronway_core::node::Action;
use citronway_core::node::events::{Event, OrderReply, ProbeReport};
use citronway_core::outcome::{NotRun, NotRunReason, Outcome};
use citronway_core::platform::WriteOutcome;
use tokio::sync::mpsc::Sender;

use crate::callers::CallerReply;
use crate::endpoints::{EndpointCommand, Target};
use crate::peers::{PEER_TICKET_BASE, PeerCommand};
use crate::platform::PlatformCommand;

pub use drops::Drops;

/// Places in the ring of events.
pub const EVENTS: usize = 8_192;
/// Places in each ring of commands.
pub const COMMANDS: usize = 8_192;

/// When to come back after a full ring, in milliseconds.
const FULL_RETRY_MS: u64 = 1_000;

/// A ring with its name.
type Ring<'a, T> = (&'static str, &'a Sender<T>);

/// Sending ends of the rings of commands.
#[derive(Debug)]
pub struct Rings {
    /// To callers.
    pub callers: Sender<CallerReply>,
    /// To endpoints.
    pub endpoints: Sender<EndpointCommand>,
    /// To other instances.
    pub peers: Sender<PeerCommand>,
    /// To the platform.
    pub platform: Sender<PlatformCommand>,
    /// What they did not take.
    pub drops: Drops,
}

impl Rings {
    /// Hands an action to its duty; returns the event to feed back if its ring is full.
    pub fn carry_out(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Reply { ticket, outcome } if ticket >= PEER_TICKET_BASE => self.drops.put(
                &("peers", &self.peers),
                PeerCommand::Reply { ticket, outcome },
                None,
            ),
            Action::Reply { ticket, outcome } => self.drops.put(
                &("callers", &self.callers),
                CallerReply { ticket, outcome },
                None,
            ),
            Action::Forward {
                ticket,
                to,
                endpoint,
                dispatch_epoch,
                request,
            } => {
                let command = PeerCommand::Forward {
                    ticket,
                    to,
                    endpoint,
                    dispatch_epoch,
                    request,
                };
                let not_run = NotRun::new(NotRunReason::Overloaded, FULL_RETRY_MS);
                let outcome = Outcome::NotRun(not_run);
                self.drops.put(
                    &("peers", &self.peers),
                    command,
                    Some(Event::ForwardDone { ticket, outcome }),
                )
            }
            Action::Send { to, message } => self.drops.put(
                &("peers", &self.peers),
                PeerCommand::Send { to, message },
                None,
            ),
            Action::Broadcast { message } => self.drops.put(
                &("peers", &self.peers),
                PeerCommand::Broadcast { message },
                None,
            ),
            Action::ReadTable { .. } | Action::ReadRow { .. } | Action::Write { .. } => {
                self.put_platform(action)
            }
            Action::SendOrder { .. }
            | Action::Cancel { .. }
            | Action::Grant { .. }
            | Action::Revoke { .. } => self.put_endpoint(action),
            Action::Exit => None,
        }
    }

    fn put_platform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::ReadTable { table } => {
                let failed = Event::ReadFailed { ticket: 0 };
                self.drops.put(
                    &("platform", &self.platform),
                    PlatformCommand::ReadTable { table },
                    Some(failed),
                )
            }
            Action::ReadRow { ticket, at } => {
                let failed = Event::ReadFailed { ticket };
                self.drops.put(
                    &("platform", &self.platform),
                    PlatformCommand::ReadRow { ticket, at },
                    Some(failed),
                )
            }
            Action::Write { ticket, puts } => {
                let refused = Event::WriteDone {
                    ticket,
                    outcome: WriteOutcome::Refused,
                };
                self.drops.put(
                    &("platform", &self.platform),
                    PlatformCommand::Write { ticket, puts },
                    Some(refused),
                )
            }
            _ => None,
        }
    }

    fn put_endpoint(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::SendOrder {
                ticket,
                endpoint,
                address,
                connections,
                fence,
                held_until,
                request,
            } => {
                let to = Target { endpoint, address };
                let command = EndpointCommand::SendOrder {
                    ticket,
                    to,
                    connections,
                    fence,
                    held_until,
                    request: Box::new(request),
                };
                let not_sent = Event::OrderDone {
                    ticket,
                    reply: OrderReply::NotSent,
                };
                self.drops
                    .put(&("endpoints", &self.endpoints), command, Some(not_sent))
            }
            Action::Cancel {
                endpoint,
                address,
                id,
            } => {
                let to = Target {
                    endpoint: endpoint.clone(),
                    address,
                };
                let failed = Event::CancelDone {
                    endpoint,
                    id,
                    confirmed: false,
                };
                self.drops.put(
                    &("endpoints", &self.endpoints),
                    EndpointCommand::Cancel { to, id },
                    Some(failed),
                )
            }
            Action::Grant {
                ticket,
                endpoint,
                address,
                grant,
            } => {
                let to = Target {
                    endpoint: endpoint.clone(),
                    address,
                };
                let report = ProbeReport::Failed;
                let failed = Event::GrantDone {
                    endpoint,
                    ticket,
                    report,
                };
                self.drops.put(
                    &("endpoints", &self.endpoints),
                    EndpointCommand::Grant { ticket, to, grant },
                    Some(failed),
                )
            }
            Action::Revoke {
                ticket,
                endpoint,
                address,
                grant,
            } => {
                let to = Target {
                    endpoint: endpoint.clone(),
                    address,
                };
                let report = ProbeReport::Failed;
                let failed = Event::GrantDone {
                    endpoint,
                    ticket,
                    report,
                };
                self.drops.put(
                    &("endpoints", &self.endpoints),
                    EndpointCommand::Revoke { ticket, to, grant },
                    Some(failed),
                )
            }
            _ => None,
        }
    }
}

impl Drops {
    /// Puts a command into a ring; if it is full, returns what says so.
    fn put<T>(&mut self, ring: &Ring<'_, T>, command: T, if_full: Option<Event>) -> Option<Event> {
        if ring.1.try_send(command).is_ok() {
            return None;
        }
        self.count(ring.0);
        if_full
    }
}
