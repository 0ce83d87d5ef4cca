//! Admission control across all instances: who gets room while there is too little.
//!
//! Each instance reports the demand that it sees, by queue and rank ([`QueueDemand`], counted by a
//! [`DemandLedger`]). Delegates and the leader only add up. From the sums ([`FleetDemand`]) each
//! instance computes by itself which room a rank may use, how long a request waits and when a
//! refused caller finds room ([`AdmissionShares`]). A queue is that of an endpoint that owns keys,
//! or that of a service without keys.
//!
//! Load: an instance sees one in 80 of the requests of a service. It cannot tell that elsewhere
//! more urgent requests wait for the same endpoint, nor that a hundred refused callers were told
//! to come back at the same time.

mod demand;
mod ledger;
mod shares;
mod sums;

pub use demand::{ARRIVAL_PARTS, MAX_QUEUES, QueueDemand, add_up, largest};
pub use ledger::DemandLedger;
pub use shares::{AdmissionShares, KEPT_PART};
pub use sums::{FleetDemand, InstanceDemand, MAX_AGE_MS, QueueSums};

/// Number of ranks that are counted separately; less urgent ones count with the last.
pub const RANKS: usize = 4;

/// Number of classes of waiting requests. In the order in which they go: those that can still meet
/// their latency objective, by rank, then those that cannot, by rank.
///
/// A late answer is worth less than half of one in time. Without the distinction, requests that were
/// late already took half of the room of the usual rank, and newcomers were late too for it.
pub const CLASSES: usize = 2 * RANKS;

/// Number of steps in which promised returns are counted, and the length of a step in
/// milliseconds. Callers honour a time to retry of up to a third of their time left, which is
/// 2 s where they wait 6 s, and 3.3 s where they wait 10 s.
pub const RETURN_STEPS: usize = 8;
/// See [`RETURN_STEPS`].
pub const RETURN_STEP_MS: u64 = 500;

/// Index of the rank of a priority.
#[must_use]
pub fn rank_index(priority: u8) -> usize {
    usize::from(priority).min(RANKS - 1)
}

/// Index of the class of a request.
#[must_use]
pub fn class_index(priority: u8, is_late: bool) -> usize {
    rank_index(priority) + if is_late { RANKS } else { 0 }
}

/// A count or time as a whole number.
pub(in crate::gateway) fn whole(number: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positive; the cast ends at the bounds"
    )]
    let whole = number.round() as u32;
    whole
}
