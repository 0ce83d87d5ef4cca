//! Choice of dispatchers and successors among the instances.

use indexmap::IndexMap;

use super::wanted::Candidate;
use crate::ids::{EndpointName, Epoch, InstanceName, Session, ZoneName};
use crate::shard::DispatchRow;
use crate::time::Wall;

/// Successors that an endpoint has besides its dispatcher.
pub const SUCCESSORS: usize = 2;

/// How many roles each session has.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RoleCounts {
    dispatcher: IndexMap<Session, u32>,
    successor: IndexMap<Session, u32>,
}

impl RoleCounts {
    /// Counts the roles in dispatch rows.
    pub fn of<'a>(rows: impl IntoIterator<Item = &'a DispatchRow>) -> Self {
        let mut counts = Self::default();
        for row in rows {
            counts.add(row);
        }
        counts
    }

    /// Counts the roles of one more row.
    pub fn add(&mut self, row: &DispatchRow) {
        *self.dispatcher.entry(row.dispatcher.clone()).or_default() += 1;
        for successor in &row.successors {
            *self.successor.entry(successor.clone()).or_default() += 1;
        }
    }

    fn dispatching(&self, session: &Session) -> u32 {
        self.dispatcher.get(session).copied().unwrap_or(0)
    }

    fn succeeding(&self, session: &Session) -> u32 {
        self.successor.get(session).copied().unwrap_or(0)
    }
}

/// First dispatch row of an endpoint, or `None` if there is no instance.
///
/// The dispatcher stands in the endpoint's zone where possible, successors in
/// zones that the row does not yet use where possible; among equals the one
/// with the fewest roles is taken. Fewer instances give fewer successors.
///
/// `floor` is the present wall time plus the skew bound: the row may have
/// existed before and been removed, so older ids may have been sent.
#[must_use]
pub fn first_row(
    endpoint: &EndpointName,
    zone: &ZoneName,
    candidates: &[Candidate],
    counts: &RoleCounts,
    floor: Wall,
) -> Option<DispatchRow> {
    let dispatcher = candidates.iter().min_by_key(|candidate| {
        (
            candidate.zone != *zone,
            counts.dispatching(&candidate.session),
            &candidate.session,
        )
    })?;
    let mut row = DispatchRow {
        endpoint: endpoint.clone(),
        dispatcher: dispatcher.session.clone(),
        epoch: Epoch(1),
        successors: Vec::with_capacity(SUCCESSORS),
        former: Vec::new(),
        floor,
    };
    for _ in 0..SUCCESSORS {
        let Some(successor) = replacement(&row, candidates, counts) else {
            break;
        };
        row.successors.push(successor);
    }
    Some(row)
}

/// The instance to bring in as a further successor, or `None` if there is none.
///
/// Instances on the row, listed or former, in this or an earlier session, are
/// no candidates: two promises of one instance would be lost together.
#[must_use]
pub fn replacement(
    row: &DispatchRow,
    candidates: &[Candidate],
    counts: &RoleCounts,
) -> Option<Session> {
    let used = used_zones(row, candidates);
    let free = candidates
        .iter()
        .filter(|candidate| !names(row, &candidate.session.instance));
    let best = free.min_by_key(|candidate| {
        (
            used.iter().filter(|zone| **zone == &candidate.zone).count(),
            counts.succeeding(&candidate.session),
            counts.dispatching(&candidate.session),
            &candidate.session,
        )
    })?;
    Some(best.session.clone())
}

fn used_zones<'a>(row: &DispatchRow, candidates: &'a [Candidate]) -> Vec<&'a ZoneName> {
    let mut used = Vec::new();
    for candidate in candidates {
        let listed =
            candidate.session == row.dispatcher || row.successors.contains(&candidate.session);
        if listed {
            used.push(&candidate.zone);
        }
    }
    used
}

fn names(row: &DispatchRow, instance: &InstanceName) -> bool {
    let mut sessions = row.successors.iter().chain(&row.former);
    row.dispatcher.instance == *instance || sessions.any(|session| session.instance == *instance)
}
