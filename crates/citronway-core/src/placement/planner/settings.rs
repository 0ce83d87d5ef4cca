//! Settings of a planner.

use serde::{Deserialize, Serialize};

use crate::placement::plan::Limits;

/// Settings of a planner; see [`PlannerSettings::default`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerSettings {
    /// An elected planner that was not heard of for this long is replaced, in milliseconds.
    pub silence_ms: u64,
    /// Most that the wall clocks of two processes differ, in milliseconds.
    pub skew_ms: u64,
    /// Time between two plans when nothing has happened, in milliseconds.
    pub plan_every_ms: u64,
    /// A shard is not moved for balance again within this time, in milliseconds.
    pub rest_ms: u64,
    /// A read that is not answered is asked again after this time, in milliseconds.
    pub read_again_ms: u64,
    /// Bounds of a plan.
    pub limits: Limits,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            silence_ms: 2_000,
            skew_ms: 500,
            plan_every_ms: 250,
            rest_ms: 60_000,
            read_again_ms: 1_000,
            limits: Limits::default(),
        }
    }
}

impl PlannerSettings {
    /// Sets how long an elected planner may be silent, in milliseconds.
    #[must_use]
    pub const fn with_silence_ms(mut self, ms: u64) -> Self {
        self.silence_ms = ms;
        self
    }

    /// Sets the bound on clock skew, in milliseconds.
    #[must_use]
    pub const fn with_skew_ms(mut self, ms: u64) -> Self {
        self.skew_ms = ms;
        self
    }

    /// Sets the bounds of a plan.
    #[must_use]
    pub const fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }
}
