//! Detection and quarantine of requests that crash the endpoints that run them.
//!
//! Work means the content of a request. Each attempt of a caller has a request id of its own and
//! may arrive at any instance, but all attempts at the same work have the same content, and so
//! the same [`Fingerprint`], a keyed hash of it.
//!
//! Instances exchange [`Sign`]s of crashes, and a [`Ledger`] counts them by work. Work that was
//! at [`HARMFUL_CRASHES`] endpoints when they crashed is harmful: it is refused, for a time that
//! grows with each further crash. Work that was at fewer is a suspect: only one copy of it at a
//! time is sent in the whole fleet, as the leader grants [`Trials`]. An answer of an endpoint
//! clears the work at once.
//!
//! Most work that is at an endpoint that crashes is innocent. It is distinguished from harmful
//! work by an answer, or by the loss of many endpoints at the same time, which no request
//! causes.

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
