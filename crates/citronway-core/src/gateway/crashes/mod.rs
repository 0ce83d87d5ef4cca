//! Requests that crash the endpoints that run them.
//!
//! Each try of a caller has an id of its own and may come to any instance. What tries of one
//! work have in common is their content; a keyed hash of it is their [`Fingerprint`].
//!
//! Instances tell each other [`Sign`]s of crashes; a [`Ledger`] counts them by work. Work that
//! was at [`HARMFUL_CRASHES`] endpoints when they crashed is refused, for a time that doubles;
//! work that an endpoint runs to its end is cleared at once. Until then it goes out one copy
//! at a time in the whole fleet: the leader grants [`Trials`]. Most work that is at an endpoint
//! that crashes is innocent: it is told from harmful work by that answer, and by crashes of
//! many endpoints at a time, which no request causes.

mod entry;
mod fingerprint;
mod known;
mod ledger;
mod remembered;
mod sign;
mod stored;
mod trials;

pub use fingerprint::{Fingerprint, FingerprintKey, KeyError, Work};
pub use known::CrashSnapshot;
pub use ledger::{CRASH_EXPIRY_MS, HARMFUL_CRASHES, Ledger, MAX_REFUSED, MAX_SUSPECTS, Verdict};
pub use sign::{MAX_SIGNS_PER_REPORT, Sign, SignQueue, SignReceiver};
pub use stored::{RefusedWork, StoredCrashes, StoredSuspect};
pub use trials::{
    InstancePosition, TIME_SLICE_MS, TrialEnd, TrialGrant, TrialId, TrialRequest, Trials,
    copy_retry_after_ms, may_try_without_leader,
};
