//! Settings of the endpoints' duty.

use std::time::Duration;

/// Settings of the endpoints' duty; [`EndpointsConfig::builder`] makes them.
#[derive(Debug, Clone)]
pub struct EndpointsConfig {
    /// Milliseconds for a grant, a revocation or a cancellation.
    pub probe_timeout_ms: u64,
    /// Most milliseconds to wait for a new connection.
    pub connect_timeout_ms: u64,
    /// Milliseconds after which an idle connection is closed.
    pub idle_ms: u64,
    /// Largest answer of an endpoint, in bytes.
    pub max_answer_bytes: usize,
    /// Connections per endpoint kept aside for control requests.
    pub control_connections: u32,
}

impl Default for EndpointsConfig {
    fn default() -> Self {
        Self {
            probe_timeout_ms: 500,
            connect_timeout_ms: 250,
            idle_ms: 4_000,
            max_answer_bytes: 16 * 1024 * 1024,
            control_connections: 2,
        }
    }
}

impl EndpointsConfig {
    /// Starts from the defaults.
    #[must_use]
    pub fn builder() -> EndpointsConfigBuilder {
        EndpointsConfigBuilder::default()
    }

    pub(super) const fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }

    pub(super) const fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// Connections left for orders of an endpoint that takes `connections`.
    pub(super) fn data_connections(&self, connections: u32) -> u32 {
        connections.saturating_sub(self.control_connections).max(1)
    }
}

/// Builder of [`EndpointsConfig`].
#[derive(Debug, Clone, Default)]
pub struct EndpointsConfigBuilder {
    cfg: EndpointsConfig,
}

impl EndpointsConfigBuilder {
    /// Sets the time for a control request, in milliseconds.
    #[must_use]
    pub const fn probe_timeout_ms(mut self, ms: u64) -> Self {
        self.cfg.probe_timeout_ms = ms;
        self
    }

    /// Sets the longest wait for a new connection, in milliseconds.
    #[must_use]
    pub const fn connect_timeout_ms(mut self, ms: u64) -> Self {
        self.cfg.connect_timeout_ms = ms;
        self
    }

    /// Sets the time after which an idle connection is closed, in milliseconds.
    #[must_use]
    pub const fn idle_ms(mut self, ms: u64) -> Self {
        self.cfg.idle_ms = ms;
        self
    }

    /// Sets the largest answer, in bytes.
    #[must_use]
    pub const fn max_answer_bytes(mut self, bytes: usize) -> Self {
        self.cfg.max_answer_bytes = bytes;
        self
    }

    /// Sets how many connections per endpoint are kept for control requests.
    #[must_use]
    pub const fn control_connections(mut self, count: u32) -> Self {
        self.cfg.control_connections = count;
        self
    }

    /// The settings.
    #[must_use]
    pub const fn build(self) -> EndpointsConfig {
        self.cfg
    }
}
