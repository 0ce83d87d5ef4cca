//! Placement: which endpoint owns which shard, and how that changes.
//!
//! [`plan`] decides what should change, [`moves`] and [`partition`] turn an
//! [`Assignment`](crate::shard::Assignment) into the next one without ever
//! giving a key two owners, and [`planner`] gets the result written.

mod balance;
pub mod burden;
pub mod check;
mod counts;
pub mod dispatchers;
pub mod estimate;
pub mod gain;
pub mod hot;
mod keys;
pub mod loads;
pub mod lookup;
pub mod measures;
pub mod members;
pub mod moves;
pub mod partition;
pub mod plan;
pub mod planner;
pub mod propose;
pub mod ranges;
pub mod replay;
pub mod tally;
pub mod wanted;

pub use check::{Finding, Findings, check};
pub use lookup::Lookup;
pub use plan::{Cause, Limits, Move, Plan, PlanInput, plan};
pub use planner::{Planner, PlannerAction, PlannerEvent, PlannerSettings};
pub use wanted::{Candidate, Member, MemberState, Wanted, WantedGroup};
