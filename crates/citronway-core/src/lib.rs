//! Decisions of citronway.
//!
//! Everything here is pure: no I/O, no threads, no clock. Each machine takes
//! typed events together with the present time and returns typed actions, so
//! that the same events give the same decisions in a running process, in a
//! test and in a replay.

pub mod config;
pub mod dispatch;
pub mod findings;
pub mod gateway;
pub mod hold;
pub mod hotkeys;
pub mod ids;
pub mod node;
pub mod outcome;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod request;
pub mod retry;
pub mod shard;
pub mod time;
pub mod trace;
