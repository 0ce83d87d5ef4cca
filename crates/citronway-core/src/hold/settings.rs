//! Durations and clock error bounds of the hold.

use serde::{Deserialize, Serialize};

/// Converts parts per million.
const MILLION: u64 = 1_000_000;

/// Clocks are read in whole milliseconds, so a reading may be up to 1 ms behind.
const READING_ERROR_MS: u64 = 1;

/// Settings of all holds of an instance; created with [`HoldSettings::builder`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HoldSettings {
    /// How long a promise lasts, in milliseconds.
    pub promise_ms: u64,
    /// Interval at which a dispatcher requests promises, in milliseconds.
    pub ask_interval_ms: u64,
    /// Silence after which a dispatcher or a successor is presumed lost, in
    /// milliseconds.
    pub suspicion_ms: u64,
    /// Maximum difference between the rates of two monotonic clocks, in parts per
    /// million.
    pub clock_rate_error_ppm: u64,
    /// Maximum difference between two wall clocks, in milliseconds.
    pub skew_bound_ms: u64,
}

impl Default for HoldSettings {
    fn default() -> Self {
        Self {
            promise_ms: 800,
            ask_interval_ms: 200,
            suspicion_ms: 400,
            clock_rate_error_ppm: 10_000,
            skew_bound_ms: 500,
        }
    }
}

impl HoldSettings {
    /// Returns a builder that starts from the defaults.
    #[must_use]
    pub fn builder() -> HoldSettingsBuilder {
        HoldSettingsBuilder::default()
    }

    /// How long the giver of a promise of `duration_ms` keeps it by its own clock,
    /// in milliseconds.
    ///
    /// Failure guarded against: the giver's clock runs faster than the
    /// dispatcher's, and it takes over while the dispatcher still counts on the
    /// promise. The giver therefore waits longer by the maximum difference of the
    /// clock rates and by the error of a reading in whole milliseconds.
    pub(super) const fn kept_ms(&self, duration_ms: u64) -> u64 {
        let error_ms = (duration_ms * self.clock_rate_error_ppm).div_ceil(MILLION);
        duration_ms + error_ms + READING_ERROR_MS
    }
}

/// Builder of [`HoldSettings`].
#[derive(Debug, Clone, Default)]
pub struct HoldSettingsBuilder {
    settings: HoldSettings,
}

impl HoldSettingsBuilder {
    /// Sets how long a promise lasts, in milliseconds.
    #[must_use]
    pub const fn promise_ms(mut self, ms: u64) -> Self {
        self.settings.promise_ms = ms;
        self
    }

    /// Sets the interval at which a dispatcher requests promises, in milliseconds.
    #[must_use]
    pub const fn ask_interval_ms(mut self, ms: u64) -> Self {
        self.settings.ask_interval_ms = ms;
        self
    }

    /// Sets the silence after which a dispatcher or a successor is presumed lost,
    /// in milliseconds.
    #[must_use]
    pub const fn suspicion_ms(mut self, ms: u64) -> Self {
        self.settings.suspicion_ms = ms;
        self
    }

    /// Sets the maximum difference between the rates of two monotonic clocks, in
    /// parts per million.
    #[must_use]
    pub const fn clock_rate_error_ppm(mut self, ppm: u64) -> Self {
        self.settings.clock_rate_error_ppm = ppm;
        self
    }

    /// Sets the maximum difference between two wall clocks, in milliseconds.
    #[must_use]
    pub const fn skew_bound_ms(mut self, ms: u64) -> Self {
        self.settings.skew_bound_ms = ms;
        self
    }

    /// Returns the settings.
    #[must_use]
    pub fn build(self) -> HoldSettings {
        self.settings
    }
}
