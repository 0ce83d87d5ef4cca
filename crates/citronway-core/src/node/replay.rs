//! Recorded events of an instance, run again.
//!
//! A trace is JSON lines: a [`Header`], then a [`Record`] for each event. The
//! outcome is short enough to be stated by hand, but for the hash, which stands
//! for everything else the instance did.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::events::{Action, Event, Ticket};
use super::{Node, NodeSettings};
use crate::ids::{Session, Version, ZoneName};
use crate::outcome::{MayHaveRunReason, NotRunReason, Outcome};
use crate::platform::RowKey;
use crate::time::Now;
use crate::trace::{BadTrace, Numbered, Trace, read};

/// First line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "machine", rename_all = "snake_case")]
pub enum Header {
    /// The trace is of an entry instance.
    Node {
        /// Session of its process.
        session: Session,
        /// Its availability zone.
        zone: ZoneName,
        /// Its settings.
        #[serde(default)]
        settings: Box<NodeSettings>,
    },
}

/// Any further line of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When it happened.
    pub at: Now,
    /// What happened.
    pub event: Event,
}

/// What somebody was told under a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "told", rename_all = "snake_case")]
pub enum Told {
    /// An answer.
    Answered {
        /// Its HTTP status.
        status: u16,
        /// Bytes of its body.
        bytes: usize,
    },
    /// It did not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
    },
    /// It may have run.
    MayHaveRun {
        /// Why nothing better is known.
        reason: MayHaveRunReason,
    },
}

/// A row that was written, whether or not it came to stand.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// The row.
    pub at: RowKey,
    /// Version that it was expected to have.
    pub expected: Version,
}

/// How often each kind of action was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Outcomes given.
    pub reply: u64,
    /// Requests handed to other instances.
    pub forward: u64,
    /// Orders sent to endpoints.
    pub order: u64,
    /// Cancellations sent to endpoints.
    pub cancel: u64,
    /// Grants, renewals and probes.
    pub grant: u64,
    /// Revocations.
    pub revoke: u64,
    /// Messages to one session.
    pub send: u64,
    /// Messages to all.
    pub broadcast: u64,
    /// Reads of tables and rows.
    pub read: u64,
    /// Transactions.
    pub write: u64,
    /// Word that the process may exit.
    pub exit: u64,
}

/// Outcome of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeOutcome {
    /// What was told under each ticket, in order; more than one is a fault.
    pub replies: IndexMap<Ticket, Vec<Told>>,
    /// Version of the configuration in force at the end.
    pub config: Version,
    /// Writes in order, those of one transaction in a row.
    pub written: Vec<Written>,
    /// Actions by kind.
    pub counts: Counts,
    /// Hash (XXH3, 64 bits, hexadecimal) of all actions as JSON, in order.
    pub actions: String,
}

/// The first line of a trace.
///
/// # Errors
///
/// The settings cannot be written as JSON.
pub fn header_line(
    session: &Session,
    zone: &ZoneName,
    settings: &NodeSettings,
) -> serde_json::Result<String> {
    serde_json::to_string(&Header::Node {
        session: session.clone(),
        zone: zone.clone(),
        settings: Box::new(settings.clone()),
    })
}

/// A further line of a trace, to be written before the event is handled.
///
/// # Errors
///
/// The event cannot be written as JSON.
pub fn event_line(event: &Event, now: Now) -> serde_json::Result<String> {
    #[derive(Serialize)]
    struct Borrowed<'a> {
        at: Now,
        event: &'a Event,
    }
    serde_json::to_string(&Borrowed { at: now, event })
}

/// Runs a recorded trace again.
///
/// # Errors
///
/// All lines that cannot be read; nothing is run then.
pub fn replay(text: &str) -> Result<NodeOutcome, BadTrace> {
    let Trace { header, records } = read::<Header, Record>(text)?;
    let Header::Node {
        session,
        zone,
        settings,
    } = header;
    let mut node = Node::new(session, zone, *settings);
    let mut tally = Tally::default();
    for Numbered { record, .. } in records {
        for action in node.handle(record.event, record.at) {
            tally.add(&action);
        }
    }
    Ok(tally.outcome(node.view().config_version()))
}

#[derive(Default)]
struct Tally {
    replies: IndexMap<Ticket, Vec<Told>>,
    written: Vec<Written>,
    counts: Counts,
    hash: Xxh3,
}

impl Tally {
    fn add(&mut self, action: &Action) {
        self.note(action);
        let counts = &mut self.counts;
        let count = match action {
            Action::Reply { .. } => &mut counts.reply,
            Action::Forward { .. } => &mut counts.forward,
            Action::SendOrder { .. } => &mut counts.order,
            Action::Cancel { .. } => &mut counts.cancel,
            Action::Grant { .. } => &mut counts.grant,
            Action::Revoke { .. } => &mut counts.revoke,
            Action::Send { .. } => &mut counts.send,
            Action::Broadcast { .. } => &mut counts.broadcast,
            Action::ReadTable { .. } | Action::ReadRow { .. } => &mut counts.read,
            Action::Write { .. } => &mut counts.write,
            Action::Exit => &mut counts.exit,
        };
        *count += 1;
        let json = serde_json::to_vec(action).unwrap_or_default();
        self.hash.update(&json);
    }

    fn note(&mut self, action: &Action) {
        match action {
            Action::Reply { ticket, outcome } => {
                self.replies.entry(*ticket).or_default().push(told(outcome));
            }
            Action::Write { puts, .. } => {
                for put in puts {
                    self.written.push(Written {
                        at: put.at.clone(),
                        expected: put.expected,
                    });
                }
            }
            _ => {}
        }
    }

    fn outcome(self, config: Version) -> NodeOutcome {
        NodeOutcome {
            replies: self.replies,
            config,
            written: self.written,
            counts: self.counts,
            actions: format!("{:016x}", self.hash.digest()),
        }
    }
}

const fn told(outcome: &Outcome) -> Told {
    match outcome {
        Outcome::Answered(answer) => Told::Answered {
            status: answer.status,
            bytes: answer.body.len(),
        },
        Outcome::NotRun(not_run) => Told::NotRun {
            reason: not_run.reason,
        },
        Outcome::MayHaveRun(may) => Told::MayHaveRun { reason: may.reason },
    }
}
