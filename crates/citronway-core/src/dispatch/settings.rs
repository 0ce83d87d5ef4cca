//! Settings of a dispatcher.

use serde::{Deserialize, Serialize};

/// Limits and times of a dispatcher.
///
/// All instances must use the same `max_grant_ms`, `max_order_ms` and
/// `skew_ms`: a dispatcher that takes over uses them to bound how long its
/// predecessor's grants and orders may be live at the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DispatchSettings {
    /// Maximum number of queued requests.
    pub queue_max: usize,
    /// Maximum share of the queue and of the slots for one key, in hundredths.
    /// A key may use more slots while no other key's requests can be sent.
    pub key_share: u8,
    /// Length of a grant, in milliseconds.
    pub grant_ms: u64,
    /// Interval of renewals, in milliseconds.
    pub renew_ms: u64,
    /// Longest grant that any dispatcher gives, in milliseconds.
    pub max_grant_ms: u64,
    /// Longest time from sending to deadline of any order, in milliseconds.
    pub max_order_ms: u64,
    /// Bound on the difference of two wall clocks, in milliseconds.
    pub skew_ms: u64,
    /// Maximum time that an id may have been created in the future, in milliseconds.
    pub id_ahead_ms: u64,
    /// Time that ids are kept after their creation, in milliseconds.
    pub id_window_ms: u64,
    /// Lower bound on the window when there are more than `max_ids`, in
    /// milliseconds.
    pub id_window_min_ms: u64,
    /// Maximum number of ids that are kept.
    pub max_ids: usize,
    /// Maximum size of the answers kept for duplicates, in bytes.
    pub answer_bytes: usize,
    /// Maximum number of duplicates that wait for the answer of one request.
    pub max_waiters: usize,
    /// Time without an answer after which the endpoint is unreachable, in milliseconds.
    pub lost_after_ms: u64,
    /// Consecutive failed probes required before the endpoint is unreachable.
    pub lost_after_fails: u32,
    /// Estimated service time before the first answer, in milliseconds.
    pub first_service_ms: u64,
    /// Time that queued requests wait for a lapsed hold to be regained, in
    /// milliseconds.
    pub hold_grace_ms: u64,
    /// Interval at which reports to the planner are repeated, in milliseconds.
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
    /// Length of a grant, limited to `max_grant_ms`, in milliseconds.
    #[must_use]
    pub const fn bounded_grant_ms(&self) -> u64 {
        if self.grant_ms < self.max_grant_ms {
            return self.grant_ms;
        }
        self.max_grant_ms
    }

    /// Returns a builder with the defaults.
    #[must_use]
    pub fn builder() -> DispatchSettingsBuilder {
        DispatchSettingsBuilder::default()
    }
}

/// Builds [`DispatchSettings`]; settings that are not set keep their defaults.
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
