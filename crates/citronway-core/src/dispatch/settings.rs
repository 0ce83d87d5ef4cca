//! Limits and times of a dispatcher.

use serde::{Deserialize, Serialize};

/// Limits and times that one dispatcher works by.
///
/// All instances must use the same `max_grant_ms`, `max_order_ms` and
/// `skew_ms`: a dispatcher that takes over goes by them for what its
/// predecessor may have left at the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DispatchSettings {
    /// Most requests that wait.
    pub queue_max: usize,
    /// Most hundredths of queue and slots that one key takes while others wait.
    pub key_share: u8,
    /// Length of a grant, in milliseconds.
    pub grant_ms: u64,
    /// Time between two renewals, in milliseconds.
    pub renew_ms: u64,
    /// Longest grant that any dispatcher gives, in milliseconds.
    pub max_grant_ms: u64,
    /// Longest time to its deadline that any order is sent with, in milliseconds.
    pub max_order_ms: u64,
    /// Bound on the difference of two wall clocks, in milliseconds.
    pub skew_ms: u64,
    /// Bound on how far in the future an id may have been created, in milliseconds.
    pub id_ahead_ms: u64,
    /// Ids are remembered this long after their creation, in milliseconds.
    pub id_window_ms: u64,
    /// The window never shrinks below this for lack of room, in milliseconds.
    pub id_window_min_ms: u64,
    /// Most ids that are remembered.
    pub max_ids: usize,
    /// Most bytes of answers that are kept for duplicates.
    pub answer_bytes: usize,
    /// Most duplicates that wait for the answer of one request.
    pub max_waiters: usize,
    /// Time without an answer after which the endpoint is unreachable, in milliseconds.
    pub lost_after_ms: u64,
    /// Probes that must have failed in a row before the endpoint is unreachable.
    pub lost_after_fails: u32,
    /// Service time to go by before the first answer, in milliseconds.
    pub first_service_ms: u64,
    /// How long requests wait for a lapsed hold to come back, in milliseconds.
    pub hold_grace_ms: u64,
    /// Time between two repetitions of a report to the planner, in milliseconds.
    pub report_ms: u64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            queue_max: 256,
            key_share: 50,
            grant_ms: 1_000,
            renew_ms: 300,
            max_grant_ms: 1_000,
            max_order_ms: 30_000,
            skew_ms: 100,
            id_ahead_ms: 1_000,
            id_window_ms: 600_000,
            id_window_min_ms: 60_000,
            max_ids: 100_000,
            answer_bytes: 16 << 20,
            max_waiters: 16,
            lost_after_ms: 600,
            lost_after_fails: 2,
            first_service_ms: 20,
            hold_grace_ms: 500,
            report_ms: 1_000,
        }
    }
}

impl DispatchSettings {
    /// Length of a grant that every instance allows for, in milliseconds.
    #[must_use]
    pub const fn bounded_grant_ms(&self) -> u64 {
        if self.grant_ms < self.max_grant_ms {
            return self.grant_ms;
        }
        self.max_grant_ms
    }

    /// Starts from the defaults.
    #[must_use]
    pub fn builder() -> DispatchSettingsBuilder {
        DispatchSettingsBuilder::default()
    }
}

/// Builds [`DispatchSettings`]; what is not set keeps its default.
#[derive(Debug, Clone, Default)]
pub struct DispatchSettingsBuilder(DispatchSettings);

macro_rules! setters {
    ($($name:ident: $kind:ty),* $(,)?) => {
        impl DispatchSettingsBuilder {
            $(
                #[doc = concat!("Sets [`DispatchSettings::", stringify!($name), "`].")]
                #[must_use]
                pub const fn $name(mut self, value: $kind) -> Self {
                    self.0.$name = value;
                    self
                }
            )*

            /// The settings.
            #[must_use]
            pub const fn build(self) -> DispatchSettings {
                self.0
            }
        }
    };
}

setters! {
    queue_max: usize,
    key_share: u8,
    grant_ms: u64,
    renew_ms: u64,
    max_grant_ms: u64,
    max_order_ms: u64,
    skew_ms: u64,
    id_ahead_ms: u64,
    id_window_ms: u64,
    id_window_min_ms: u64,
    max_ids: usize,
    answer_bytes: usize,
    max_waiters: usize,
    lost_after_ms: u64,
    lost_after_fails: u32,
    first_service_ms: u64,
    hold_grace_ms: u64,
    report_ms: u64,
}
