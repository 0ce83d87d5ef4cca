//! Durations that the hold goes by.

use serde::{Deserialize, Serialize};

/// Parts in a million.
const MILLION: u64 = 1_000_000;

/// Clocks are read in whole milliseconds, so a reading may be short by one.
const READING_ERROR_MS: u64 = 1;

/// Settings of every hold of an instance; made by [`HoldSettings::builder`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HoldSettings {
    /// How long a promise lasts, in milliseconds.
    pub promise_ms: u64,
    /// How often a dispatcher asks for promises, in milliseconds.
    pub ask_interval_ms: u64,
    /// Silence after which a dispatcher or a successor is taken for lost, in milliseconds.
    pub suspicion_ms: u64,
    /// Most by which the rates of two monotonic clocks differ, in parts per million.
    pub clock_rate_error_ppm: u64,
    /// Most by which two wall clocks differ, in milliseconds.
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
    /// Starts from the defaults.
    #[must_use]
    pub fn builder() -> HoldSettingsBuilder {
        HoldSettingsBuilder::default()
    }

    /// How long the giver of a promise of `duration_ms` keeps it on its own clock.
    ///
    /// Failure guarded against: the giver's clock runs faster than the
    /// dispatcher's, so it would take over while the dispatcher still counts the
    /// promise. The giver waits longer by the most that the rates can differ, and
    /// by what a reading in whole milliseconds hides.
    pub(super) const fn kept_ms(&self, duration_ms: u64) -> u64 {
        let error_ms = (duration_ms * self.clock_rate_error_ppm).div_ceil(MILLION);
        duration_ms + error_ms + READING_ERROR_MS
    }
}

/// Sets single values of [`HoldSettings`].
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

    /// Sets how often a dispatcher asks for promises, in milliseconds.
    #[must_use]
    pub const fn ask_interval_ms(mut self, ms: u64) -> Self {
        self.settings.ask_interval_ms = ms;
        self
    }

    /// Sets the silence after which a peer is taken for lost, in milliseconds.
    #[must_use]
    pub const fn suspicion_ms(mut self, ms: u64) -> Self {
        self.settings.suspicion_ms = ms;
        self
    }

    /// Sets the most by which clock rates differ, in parts per million.
    #[must_use]
    pub const fn clock_rate_error_ppm(mut self, ppm: u64) -> Self {
        self.settings.clock_rate_error_ppm = ppm;
        self
    }

    /// Sets the most by which wall clocks differ, in milliseconds.
    #[must_use]
    pub const fn skew_bound_ms(mut self, ms: u64) -> Self {
        self.settings.skew_bound_ms = ms;
        self
    }

    /// The settings.
    #[must_use]
    pub fn build(self) -> HoldSettings {
        self.settings
    }
}
