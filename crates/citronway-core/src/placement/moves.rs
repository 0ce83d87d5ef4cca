//! Steps of a move; each gives a new assignment or an error, never half a step.
//!
//! A move of a shard from A to B goes `owned(A)`, `moving(A, B)`,
//! `owned(B, epoch + 1)`. The middle state is written first; the last one only
//! after A's dispatcher has reported the shard released under its present
//! epoch. `moving(A, A)` releases a shard without a new owner: it becomes
//! unowned.
//!
//! The loss of an endpoint takes the same way. Its dispatcher's report alone
//! names no shard and no shard epoch, so a report that is delivered late, after
//! the endpoint has returned, would take shards from a live owner. The report
//! therefore only begins the moves; [`released`] ends them.

use thiserror::Error;

use super::plan::{Move, Plan};
use super::{hot, hot::HotError};
use crate::ids::{EndpointName, Epoch, ServiceName, ShardId};
use crate::peer::ShardReleased;
use crate::shard::{Assignment, Ownership, Shard};
use crate::time::{Now, Wall};

/// Why a step cannot be taken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MoveError {
    /// The report is about another service.
    #[error("report of service {found} for an assignment of {expected}")]
    WrongService {
        /// Service of the assignment.
        expected: ServiceName,
        /// Service of the report.
        found: ServiceName,
    },
    /// No such shard.
    #[error("no shard {shard}")]
    UnknownShard {
        /// The shard.
        shard: ShardId,
    },
    /// The shard has another epoch than the report.
    #[error("shard {shard} has epoch {expected}, the report is of {found}")]
    WrongEpoch {
        /// The shard.
        shard: ShardId,
        /// Epoch in the assignment.
        expected: Epoch,
        /// Epoch of the report.
        found: Epoch,
    },
    /// The shard is not in the state that the step starts from.
    #[error("shard {shard} is not {expected}")]
    WrongState {
        /// The shard.
        shard: ShardId,
        /// State that the step starts from.
        expected: Expected,
    },
    /// A hot key cannot be split off or folded back.
    #[error(transparent)]
    Hot(#[from] HotError),
}

/// State that a step starts from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expected {
    /// Nobody's.
    Unowned,
    /// Owned by the endpoint and not moving.
    OwnedBy(EndpointName),
    /// Moving away from the endpoint.
    MovingFrom(EndpointName),
}

impl std::fmt::Display for Expected {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unowned => f.write_str("unowned"),
            Self::OwnedBy(owner) => write!(f, "owned by {owner}"),
            Self::MovingFrom(owner) => write!(f, "moving from {owner}"),
        }
    }
}

/// Floor for a new owner: ids created before may have run under the old one.
///
/// The skew bound is added because the creator's clock may be ahead of ours.
#[must_use]
pub const fn floor(now: Now, skew_ms: u64) -> Wall {
    now.wall.plus(skew_ms)
}

/// Begins, redirects or, for an unowned shard, completes a move.
///
/// # Errors
///
/// The shard does not exist or is in another state than the move assumes.
pub fn begin(assignment: &Assignment, step: &Move) -> Result<Assignment, MoveError> {
    let mut next = assignment.clone();
    begin_in(&mut next, step)?;
    Ok(next)
}

/// Gives a released shard to its new owner.
///
/// # Errors
///
/// The report is about another service, shard, epoch or old owner.
pub fn released(
    assignment: &Assignment,
    report: &ShardReleased,
    floor: Wall,
) -> Result<Assignment, MoveError> {
    released_all(assignment, [report], floor)
}

/// Gives several released shards to their new owners.
///
/// # Errors
///
/// The first report that does not fit; no shard changes its owner then.
pub fn released_all<'a>(
    assignment: &Assignment,
    reports: impl IntoIterator<Item = &'a ShardReleased>,
    floor: Wall,
) -> Result<Assignment, MoveError> {
    let mut next = assignment.clone();
    for report in reports {
        release_in(&mut next, report, floor)?;
    }
    Ok(next)
}

fn release_in(
    assignment: &mut Assignment,
    report: &ShardReleased,
    floor: Wall,
) -> Result<(), MoveError> {
    if report.service != assignment.service {
        return Err(MoveError::WrongService {
            expected: assignment.service.clone(),
            found: report.service.clone(),
        });
    }
    let shard = shard_mut(assignment, report.shard)?;
    // Failure: a report of an earlier move of the same shard arrives late and
    // ends the present one while the owner still serves; two endpoints then run
    // work of one key. Guard: the epoch grows with every change of owner, so
    // only a report about the present ownership passes.
    if shard.epoch != report.epoch {
        return Err(MoveError::WrongEpoch {
            shard: report.shard,
            expected: shard.epoch,
            found: report.epoch,
        });
    }
    let ownership = match &shard.ownership {
        Ownership::Moving { from, to } if *from == report.from && from == to => Ownership::Unowned,
        Ownership::Moving { from, to } if *from == report.from => {
            Ownership::Owned { owner: to.clone() }
        }
        Ownership::Unowned | Ownership::Owned { .. } | Ownership::Moving { .. } => {
            return Err(MoveError::WrongState {
                shard: report.shard,
                expected: Expected::MovingFrom(report.from.clone()),
            });
        }
    };
    // The old owner's dispatcher knows what it sent; without its word all that
    // was created until now may have run there.
    let floor = match report.floor {
        Wall(0) => floor,
        told => told,
    };
    change_owner(shard, ownership, floor);
    Ok(())
}

/// Applies a whole plan: folds, splits, then moves.
///
/// # Errors
///
/// The first step that does not fit; nothing of the plan is applied then.
pub fn apply(assignment: &Assignment, plan: &Plan) -> Result<Assignment, MoveError> {
    let mut next = assignment.clone();
    for shard in &plan.folds {
        next = hot::fold(&next, *shard)?;
    }
    for split in &plan.splits {
        next = hot::split(&next, &split.group, split.hash)?;
    }
    for step in &plan.moves {
        begin_in(&mut next, step)?;
    }
    Ok(next)
}

fn begin_in(assignment: &mut Assignment, step: &Move) -> Result<(), MoveError> {
    let shard = shard_mut(assignment, step.shard)?;
    let to = step.to.clone();
    let expected = match &step.from {
        None => Expected::Unowned,
        Some(from) => Expected::OwnedBy(from.clone()),
    };
    match (&shard.ownership, &step.from) {
        // Nobody has served it since it was released or made; its floor stands.
        (Ownership::Unowned, None) => {
            let floor = shard.floor;
            change_owner(shard, Ownership::Owned { owner: to }, floor);
        }
        (Ownership::Owned { owner }, Some(from)) if owner == from => {
            let from = from.clone();
            shard.ownership = Ownership::Moving { from, to };
        }
        // Redirected: the old owner and its epoch stay, so a release that is
        // already under way stays good.
        (Ownership::Moving { from: owner, .. }, Some(from)) if owner == from => {
            let from = from.clone();
            shard.ownership = Ownership::Moving { from, to };
        }
        _ => {
            return Err(MoveError::WrongState {
                shard: step.shard,
                expected,
            });
        }
    }
    Ok(())
}

fn shard_mut(assignment: &mut Assignment, id: ShardId) -> Result<&mut Shard, MoveError> {
    assignment
        .shards
        .get_mut(&id)
        .ok_or(MoveError::UnknownShard { shard: id })
}

/// The only way in which a shard gets another owner.
pub(super) fn change_owner(shard: &mut Shard, ownership: Ownership, floor: Wall) {
    shard.epoch = shard.epoch.next();
    shard.ownership = ownership;
    shard.floor = shard.floor.max(floor);
}
