//! How far an instance has come in stopping.

/// Whether the instance is to stop, as `control` tells the traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// It goes on.
    No,
    /// It has to have ended when its grace has passed.
    Within {
        /// The grace, in milliseconds, as the settings had it when the signal came.
        grace_ms: u64,
    },
}

/// How far the instance has come in stopping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::gateway::traffic) enum Phase {
    /// It takes requests; it may have been told to stop.
    Serving,
    /// Idle connections end, and no more requests are taken.
    Closing,
    /// Each request that has no answer gets one now.
    Ending,
}
