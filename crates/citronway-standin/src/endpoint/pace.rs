//! How long an endpoint takes.

use std::time::Duration;

use rand::RngExt;

/// Spread of service times around their mean, as factors.
const SPREAD: std::ops::Range<f64> = 0.5..1.5;

/// A cold endpoint takes so many times as long.
const COLD_FACTOR: f64 = 4.0;

/// A probe of a healthy endpoint takes so many milliseconds, as users measured.
const PROBE_MS: f64 = 6.0;

/// What slows an endpoint down at the moment.
#[derive(Debug, Clone, Copy)]
pub struct Strain {
    /// Orders at work, this one included.
    pub running: u32,
    /// Orders that it can run at once without loss of speed.
    pub slots: u32,
    /// Whether it has just started.
    pub cold: bool,
    /// Factor of the fault.
    pub slow_factor: f64,
}

impl Strain {
    /// Time that an order takes. More orders than slots share the slots.
    #[must_use]
    pub fn service_time(&self, mean: Duration) -> Duration {
        let sharing = (f64::from(self.running) / f64::from(self.slots.max(1))).max(1.0);
        let factor = rand::rng().random_range(SPREAD) * sharing * self.factor();
        mean.mul_f64(factor)
    }

    /// Time that a probe takes.
    #[must_use]
    pub fn probe_time(&self) -> Duration {
        Duration::from_secs_f64(PROBE_MS / 1000.0 * self.factor())
    }

    fn factor(&self) -> f64 {
        let cold = if self.cold { COLD_FACTOR } else { 1.0 };
        cold * self.slow_factor.max(0.0)
    }
}
