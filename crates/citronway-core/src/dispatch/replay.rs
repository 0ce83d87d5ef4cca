//! Replay of the recorded events of a dispatcher.
//!
//! A trace is in JSON lines: a [`TraceHead`], then a [`TraceStep`] for each event.

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
    /// Initial state of the dispatcher.
    pub start: DispatcherSpec,
    /// Start time.
    pub now: Now,
}

/// Line of a trace after the first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceStep {
    /// Time of the event.
    pub turn: Turn,
    /// The event.
    #[serde(flatten)]
    pub event: DispatchEvent,
}

/// Decision of the dispatcher, without the content of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum Decision {
    /// A final outcome.
    Reply {
        /// Ticket of the submission.
        origin: Ticket,
        /// The outcome.
        outcome: Outcome,
    },
    /// A final refusal of an invalid request.
    Reject {
        /// Ticket of the submission.
        origin: Ticket,
        /// Fault of the request.
        fault: RequestFault,
    },
    /// An order.
    Order {
        /// Ticket of the order.
        ticket: Ticket,
        /// Id of the request.
        id: RequestId,
        /// Deadline of the order.
        deadline: Wall,
    },
    /// A cancellation.
    Cancel {
        /// Id of the request.
        id: RequestId,
    },
    /// A grant, a renewal, or a probe if there are no shards.
    Grant {
        /// Ticket of the message.
        ticket: Ticket,
        /// End of the grant.
        end: Wall,
        /// Granted shards.
        shards: Vec<ShardEpoch>,
    },
    /// A revocation.
    Revoke {
        /// Ticket of the message.
        ticket: Ticket,
        /// Revoked shards.
        shards: Vec<ShardEpoch>,
    },
    /// A report that a shard is released.
    Released(ShardEpoch),
    /// A report that the endpoint is lost.
    Lost {
        /// Whether no grant of the endpoint is live any more.
        quiet: bool,
    },
    /// A report that the endpoint answers again.
    Back,
    /// A report that the endpoint knows a higher epoch.
    Superseded,
}

/// A decision with its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decided {
    /// Wall time of the decision.
    pub time: Wall,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
}

/// Replays a trace and returns the decisions of the dispatcher.
///
/// # Errors
///
/// Returns all lines that cannot be read.
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
                shards: shard_epochs(&grant.shards),
            },
            DispatchAction::Revoke { ticket, grant } => Self::Revoke {
                ticket,
                shards: shard_epochs(&grant.shards),
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

fn shard_epochs(shards: &[GrantedShard]) -> Vec<ShardEpoch> {
    shards.iter().map(shard_epoch).collect()
}
