//! Recorded events of a dispatcher, run again.
//!
//! A trace is JSON lines: a [`TraceHead`], then a [`TraceStep`] for each event.

use serde::{Deserialize, Serialize};

use super::machine::Dispatcher;
use super::message::{DispatchAction, DispatchEvent, RequestFault, ShardEpoch, Turn};
use super::sent_grants::shard_epoch;
use super::spec::DispatcherSpec;
use crate::ids::RequestId;
use crate::node::events::{GrantedShard, Ticket};
use crate::outcome::Outcome;
use crate::time::{Now, Wall};
use crate::trace::{BadTrace, Numbered, Trace, read};

/// First line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceHead {
    /// What the dispatcher started from.
    pub start: DispatcherSpec,
    /// When it started.
    pub now: Now,
}

/// Any further line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceStep {
    /// The moment.
    pub turn: Turn,
    /// What happened.
    #[serde(flatten)]
    pub event: DispatchEvent,
}

/// What the dispatcher decided, without the contents of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum Decision {
    /// A final outcome.
    Reply {
        /// Whom it was given to.
        origin: Ticket,
        /// The outcome.
        outcome: Outcome,
    },
    /// A final refusal.
    Reject {
        /// Whom it was given to.
        origin: Ticket,
        /// Why.
        fault: RequestFault,
    },
    /// An order.
    Order {
        /// Its ticket.
        ticket: Ticket,
        /// Its request.
        id: RequestId,
        /// Its deadline.
        deadline: Wall,
    },
    /// A cancellation.
    Cancel {
        /// The request.
        id: RequestId,
    },
    /// A grant, a renewal, or a probe if there are no shards.
    Grant {
        /// Its ticket.
        ticket: Ticket,
        /// Its end.
        end: Wall,
        /// Its shards.
        shards: Vec<ShardEpoch>,
    },
    /// A revocation.
    Revoke {
        /// Its ticket.
        ticket: Ticket,
        /// Its shards.
        shards: Vec<ShardEpoch>,
    },
    /// A report that a shard is released.
    Released(ShardEpoch),
    /// A report that the endpoint is lost.
    Lost {
        /// Nothing can act there any more.
        quiet: bool,
    },
    /// The endpoint is back.
    Back,
    /// The endpoint knows a higher epoch.
    Superseded,
}

/// A decision with its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decided {
    /// When, on the wall clock.
    pub time: Wall,
    /// What.
    #[serde(flatten)]
    pub decision: Decision,
}

/// Runs a recorded trace again.
///
/// # Errors
///
/// All lines that cannot be read.
pub fn replay(text: &str) -> Result<Vec<Decided>, BadTrace> {
    let Trace { header, records } = read::<TraceHead, TraceStep>(text)?;
    let mut dispatcher = Dispatcher::start(header.start, header.now);
    let mut decided = Vec::new();
    for Numbered { record, .. } in records {
        let time = record.turn.now.wall;
        for action in dispatcher.apply(record.event, record.turn) {
            let decision = Decision::from(action);
            decided.push(Decided { time, decision });
        }
    }
    Ok(decided)
}

impl From<DispatchAction> for Decision {
    fn from(action: DispatchAction) -> Self {
        match action {
            DispatchAction::Reply { origin, outcome } => Self::Reply { origin, outcome },
            DispatchAction::Reject { origin, fault } => Self::Reject { origin, fault },
            DispatchAction::SendOrder {
                ticket, request, ..
            } => Self::Order {
                ticket,
                id: request.id,
                deadline: request.deadline,
            },
            DispatchAction::Cancel { id } => Self::Cancel { id },
            DispatchAction::Grant { ticket, grant } => Self::Grant {
                ticket,
                end: grant.end,
                shards: names(&grant.shards),
            },
            DispatchAction::Revoke { ticket, grant } => Self::Revoke {
                ticket,
                shards: names(&grant.shards),
            },
            DispatchAction::ShardReleased { at, epoch, .. } => {
                Self::Released(ShardEpoch { at, epoch })
            }
            DispatchAction::EndpointLost { quiet } => Self::Lost { quiet },
            DispatchAction::EndpointBack => Self::Back,
            DispatchAction::Superseded => Self::Superseded,
        }
    }
}

fn names(shards: &[GrantedShard]) -> Vec<ShardEpoch> {
    shards.iter().map(shard_epoch).collect()
}
