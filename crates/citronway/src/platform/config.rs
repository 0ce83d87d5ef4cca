//! Settings of the platform's duty.

use std::net::SocketAddr;

const DEFAULT_TIMEOUT_MS: u64 = 1_000;
const DEFAULT_POLL_MS: u64 = 500;
const DEFAULT_MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
const DEFAULT_MAX_IN_FLIGHT: usize = 32;

/// Settings of the platform's duty; [`PlatformConfig::builder`] makes them.
#[derive(Debug, Clone)]
pub struct PlatformConfig {
    /// Address of the platform's service.
    pub address: SocketAddr,
    /// Milliseconds for one read or write.
    pub timeout_ms: u64,
    /// Milliseconds between two readings of the instance list.
    pub poll_ms: u64,
    /// Largest answer, in bytes.
    pub max_answer_bytes: usize,
    /// Most reads and writes in progress.
    pub max_in_flight: usize,
}

impl PlatformConfig {
    /// Starts from the defaults for the service at `address`.
    #[must_use]
    pub const fn builder(address: SocketAddr) -> PlatformConfigBuilder {
        PlatformConfigBuilder {
            cfg: Self {
                address,
                timeout_ms: DEFAULT_TIMEOUT_MS,
                poll_ms: DEFAULT_POLL_MS,
                max_answer_bytes: DEFAULT_MAX_ANSWER_BYTES,
                max_in_flight: DEFAULT_MAX_IN_FLIGHT,
            },
        }
    }
}

/// Builder of [`PlatformConfig`].
#[derive(Debug, Clone)]
pub struct PlatformConfigBuilder {
    cfg: PlatformConfig,
}

impl PlatformConfigBuilder {
    /// Sets the time for one read or write, in milliseconds.
    #[must_use]
    pub const fn timeout_ms(mut self, ms: u64) -> Self {
        self.cfg.timeout_ms = ms;
        self
    }

    /// Sets the time between two readings of the instance list, in milliseconds.
    #[must_use]
    pub const fn poll_ms(mut self, ms: u64) -> Self {
        self.cfg.poll_ms = ms;
        self
    }

    /// Sets the largest answer, in bytes.
    #[must_use]
    pub const fn max_answer_bytes(mut self, bytes: usize) -> Self {
        self.cfg.max_answer_bytes = bytes;
        self
    }

    /// Sets the most reads and writes in progress.
    #[must_use]
    pub const fn max_in_flight(mut self, count: usize) -> Self {
        self.cfg.max_in_flight = count;
        self
    }

    /// The settings.
    #[must_use]
    pub const fn build(self) -> PlatformConfig {
        self.cfg
    }
}
