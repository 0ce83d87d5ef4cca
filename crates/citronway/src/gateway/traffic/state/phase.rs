//! Phases of an instance's stop.

/// Whether the instance is to stop; published by `control`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// The instance keeps running.
    No,
    /// The instance has to end within its grace.
    Within {
        /// The grace in the settings when the signal arrived, in milliseconds.
        grace_ms: u64,
    },
}

/// Phase of the instance's stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::gateway::traffic) enum Phase {
    /// Requests are accepted; a stop may have been requested.
    Serving,
    /// Idle connections are closed, and no more requests are accepted.
    Closing,
    /// Each request that has no answer gets one now.
    Ending,
}
