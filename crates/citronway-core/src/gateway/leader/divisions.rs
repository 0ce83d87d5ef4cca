//! Times of the steps of a division of a hot range, from the first requests until all instances
//! know the new owners.

use crate::gateway::assignment::Range;
use crate::gateway::hot_range::Division;
use crate::gateway::leader::holds::Holds;
use crate::gateway::leader::moves::MoveState;
use crate::gateway::leader::{Leader, Move};
use crate::gateway::version::RowVersion;
use crate::time::Mono;

/// Time after which a division counts as ended although some of its moves have not, in
/// milliseconds. A release takes up to 4 s, and the end of a hold as long.
const ABANDONED_AFTER_MS: u64 = 10_000;

/// Step that a move of a division has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DivisionStep {
    /// The division is planned.
    Planned,
    /// The stored row says that the keys move.
    Stored,
    /// The old owner has confirmed the seal.
    Sealed,
    /// The old owner holds the keys no more.
    Released,
    /// The new owner holds the keys.
    Granted,
    /// All instances that report to the leader know the new owner.
    Known,
}

impl DivisionStep {
    /// All steps in their order.
    pub const ALL: [Self; 6] = [
        Self::Planned,
        Self::Stored,
        Self::Sealed,
        Self::Released,
        Self::Granted,
        Self::Known,
    ];

    /// Name of the step in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Planned => "planned",
            Self::Stored => "stored",
            Self::Sealed => "sealed",
            Self::Released => "released",
            Self::Granted => "granted",
            Self::Known => "known",
        }
    }
}

/// A division and the times at which all of its moves reached each step.
#[derive(Debug, Clone)]
pub struct DivisionProgress {
    /// What was divided.
    pub division: Division,
    /// Time of each of [`DivisionStep::ALL`]; `None` for those not reached.
    times: [Option<Mono>; DivisionStep::ALL.len()],
    /// Step of each move.
    steps: Vec<DivisionStep>,
    /// Version of the row in which all moves have ended.
    version: RowVersion,
}

impl DivisionProgress {
    fn new(now: Mono, division: Division) -> Self {
        let mut times = [None; DivisionStep::ALL.len()];
        times[0] = Some(now);
        Self {
            steps: vec![DivisionStep::Planned; division.moves.len()],
            division,
            times,
            version: RowVersion::NONE,
        }
    }

    /// Time from the first requests to a step, in milliseconds; `None` if it was not reached.
    ///
    /// The time to the first pass that saw the load is estimated from the number of requests that
    /// were reported by then.
    #[must_use]
    pub fn ms_to(&self, step: DivisionStep) -> Option<u64> {
        let at = self.times[step as usize]?;
        Some(at.since(self.division.seen_at) + self.division.seen_ms)
    }

    /// Whether all moves have ended and are known.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        self.times[DivisionStep::Known as usize].is_some()
    }

    fn reach(&mut self, now: Mono, step: DivisionStep) {
        for time in &mut self.times[..=step as usize] {
            time.get_or_insert(now);
        }
    }

    fn is_abandoned(&self, now: Mono) -> bool {
        self.times[0].is_some_and(|at| now.since(at) >= ABANDONED_AFTER_MS)
    }
}

impl Leader {
    /// Observes the steps of a division whose moves have been started.
    pub fn observe_division(&mut self, now: Mono, division: Division) {
        self.divisions.push(DivisionProgress::new(now, division));
    }

    /// Records which steps the divisions have reached.
    pub(super) fn advance_divisions(&mut self, now: Mono) {
        let mut divisions = std::mem::take(&mut self.divisions);
        for progress in &mut divisions {
            for (i, request) in progress.division.moves.iter().enumerate() {
                progress.steps[i] = progress.steps[i].max(self.step_of(request, progress.steps[i]));
            }
            let Some(step) = progress.steps.iter().min().copied() else {
                continue;
            };
            if step == DivisionStep::Granted && progress.version == RowVersion::NONE {
                progress.version = self.version;
            }
            progress.reach(now, step);
        }
        self.divisions = divisions;
    }

    /// Step of a move that has reached `before`.
    fn step_of(&self, request: &Move, before: DivisionStep) -> DivisionStep {
        let Some(range) = self.row.range_at(request.span.first) else {
            return before;
        };
        match &range.next {
            None if range.holder.endpoint == request.to => {
                if is_granted(&self.holds, range) {
                    DivisionStep::Granted
                } else {
                    DivisionStep::Released
                }
            }
            Some(next) if next.endpoint == request.to => {
                let state = self.moves.get(&next.fence);
                state.map_or(DivisionStep::Stored, MoveState::step)
            }
            // It was begun and then redirected, so this division ends without it.
            _ if before > DivisionStep::Planned => DivisionStep::Granted,
            _ => before,
        }
    }

    /// Divisions that have ended; `knows` says whether all instances know a version of the row.
    pub fn take_ended_divisions(
        &mut self,
        now: Mono,
        knows: impl Fn(RowVersion) -> bool,
    ) -> Vec<DivisionProgress> {
        for progress in &mut self.divisions {
            if progress.version != RowVersion::NONE && knows(progress.version) {
                progress.reach(now, DivisionStep::Known);
            }
        }
        let ended =
            |progress: &mut DivisionProgress| progress.is_whole() || progress.is_abandoned(now);
        self.divisions.extract_if(.., ended).collect()
    }
}

fn is_granted(holds: &Holds, range: &Range) -> bool {
    let status = holds.get(&range.holder.endpoint, range.span(), range.holder.fence);
    status.is_some_and(|status| status.succeeded)
}
