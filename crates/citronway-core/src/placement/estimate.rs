//! Load estimated from counts of requests, with the noise of such counts.

/// Time that an estimate reaches back, in milliseconds.
///
/// Longer means fewer moves that chase noise, shorter means that load that has
/// truly become uneven is seen earlier.
pub const AVERAGE_MS: u64 = 30_000;

/// Millionths of a slot in a thousandth.
const MICRO: u64 = 1_000;

/// A load with how sure it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Estimate {
    /// In millionths of a slot, so that rounding does not add up.
    micro: u64,
    /// Mean time of a request, in milliseconds; 0 if the load is exact.
    service_ms: u64,
    /// Time that the estimate reaches back, in milliseconds.
    reach_ms: u64,
}

impl Estimate {
    /// A load that is known without counting, in thousandths of a slot.
    #[must_use]
    pub const fn exact(load: u64) -> Self {
        Self {
            micro: load.saturating_mul(MICRO),
            service_ms: 0,
            reach_ms: AVERAGE_MS,
        }
    }

    /// The load, in thousandths of a slot.
    #[must_use]
    pub const fn load(self) -> u64 {
        self.micro / MICRO
    }

    /// Variance of the load if requests arrive at random, in square thousandths
    /// of a slot: a count of `n` has variance `n`.
    #[must_use]
    pub const fn variance(self) -> u64 {
        if self.reach_ms == 0 {
            return 0;
        }
        self.micro.saturating_mul(self.service_ms) / self.reach_ms
    }

    /// Takes in the requests of a span of time.
    ///
    /// The plain mean until it reaches back [`AVERAGE_MS`], then older spans
    /// fade.
    pub fn learn(&mut self, requests: u64, service_ms: u64, span_ms: u64) {
        let reach = self.reach_ms + span_ms;
        let busy = requests
            .saturating_mul(service_ms)
            .saturating_mul(MICRO * MICRO);
        self.micro = self
            .micro
            .saturating_mul(self.reach_ms)
            .saturating_add(busy)
            / reach.max(1);
        self.reach_ms = reach.min(AVERAGE_MS);
        self.service_ms = service_ms;
    }

    /// Counts another load in, as that of keys that come to a shard.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            micro: self.micro.saturating_add(other.micro),
            ..self
        }
    }

    /// Counts a part of the load off, as that of keys that leave a shard.
    #[must_use]
    pub const fn less(self, other: Self) -> Self {
        Self {
            micro: self.micro.saturating_sub(other.micro),
            ..self
        }
    }
}
