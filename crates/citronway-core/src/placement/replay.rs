//! Recorded events of planners, and their replay.
//!
//! A trace is JSON lines. The first one names the service and its settings;
//! each further one is an event of one session. The outcome is short enough to
//! be stated by hand: what each line led to, and what each session knew at the
//! end.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::planner::{Planner, PlannerAction, PlannerEvent, PlannerRow, PlannerSettings};
use crate::ids::{Epoch, GroupName, ServiceName, Session, ShardId, Version};
use crate::platform::RowKey;
use crate::shard::{Assignment, Ownership};
use crate::time::{Now, Wall};
use crate::trace::{BadTrace, Numbered, Trace, read};

/// First line of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "machine", rename_all = "snake_case")]
pub enum Header {
    /// The trace is of planners.
    Planner {
        /// Service that is planned for.
        service: ServiceName,
        /// Settings of all sessions.
        settings: PlannerSettings,
    },
}

/// A further line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Session that the event happened to.
    pub at: Session,
    /// Its clocks.
    pub now: Now,
    /// What happened.
    pub event: PlannerEvent,
}

/// A row and its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowVersion {
    /// Table and key, with a slash between them.
    pub row: String,
    /// Version: expected by a write, or published.
    pub version: Version,
}

/// What a session did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "did", rename_all = "snake_case")]
pub enum Did {
    /// It wrote rows in one transaction.
    Write {
        /// Rows with the versions expected.
        rows: Vec<RowVersion>,
    },
    /// It read a row.
    Read {
        /// Table and key.
        row: String,
    },
    /// It told others of a row.
    Publish {
        /// The row with its version.
        row: RowVersion,
    },
}

/// What a session did on one line; lines without action are left out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Line of the trace, from 1.
    pub line: usize,
    /// Session.
    pub at: Session,
    /// What it did.
    pub did: Vec<Did>,
}

/// A shard at the end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndShard {
    /// Its number.
    pub shard: ShardId,
    /// Its group.
    pub group: GroupName,
    /// Its epoch.
    pub epoch: Epoch,
    /// Its floor.
    pub floor: Wall,
    /// Who serves it.
    pub ownership: Ownership,
}

/// What a session knew at the end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Session.
    pub at: Session,
    /// The planner row.
    pub planner: Option<PlannerRow>,
    /// Shards of the assignment by number.
    pub shards: Vec<EndShard>,
}

/// Outcome of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Actions by line.
    pub steps: Vec<Step>,
    /// Sessions in the order in which they first appear.
    pub ends: Vec<End>,
}

/// Runs a trace again.
///
/// # Errors
///
/// All lines that cannot be read; nothing is run then.
pub fn replay(trace: &str) -> Result<Outcome, BadTrace> {
    let Trace { header, records } = read(trace)?;
    Ok(run(&header, records))
}

fn run(header: &Header, records: Vec<Numbered<Record>>) -> Outcome {
    let Header::Planner { service, settings } = header;
    let mut planners: IndexMap<Session, Planner> = IndexMap::new();
    let mut steps = Vec::new();
    for Numbered { line, record } in records {
        let planner = planners
            .entry(record.at.clone())
            .or_insert_with(|| Planner::new(service, &record.at, *settings));
        let actions = planner.apply(record.event, record.now);
        if actions.is_empty() {
            continue;
        }
        steps.push(Step {
            line,
            at: record.at,
            did: actions.iter().map(did).collect(),
        });
    }
    let mut ends = Vec::with_capacity(planners.len());
    for (at, planner) in planners {
        ends.push(End {
            at,
            planner: planner.planner_row().cloned(),
            shards: shards(planner.assignment()),
        });
    }
    Outcome { steps, ends }
}

fn did(action: &PlannerAction) -> Did {
    match action {
        PlannerAction::Write { puts, .. } => Did::Write {
            rows: puts
                .iter()
                .map(|put| row_version(&put.at, put.expected))
                .collect(),
        },
        PlannerAction::ReadRow { at, .. } => Did::Read { row: row(at) },
        PlannerAction::Publish { row } => Did::Publish {
            row: row_version(&row.at, row.version),
        },
    }
}

fn row_version(at: &RowKey, version: Version) -> RowVersion {
    RowVersion {
        row: row(at),
        version,
    }
}

fn row(at: &RowKey) -> String {
    format!("{}/{}", at.table, at.key)
}

fn shards(assignment: Option<&Assignment>) -> Vec<EndShard> {
    let mut shards = Vec::new();
    for shard in assignment
        .into_iter()
        .flat_map(|known| known.shards.values())
    {
        shards.push(EndShard {
            shard: shard.id,
            group: shard.group.clone(),
            epoch: shard.epoch,
            floor: shard.floor,
            ownership: shard.ownership.clone(),
        });
    }
    shards.sort_by_key(|shard| shard.shard);
    shards
}
