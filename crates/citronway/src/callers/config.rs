//! Settings of the callers' duty.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the callers' duty; [`CallersConfig::builder`] makes them.
#[derive(Debug, Clone)]
pub struct CallersConfig {
    /// Address to listen on; port 0 takes any.
    pub listen: SocketAddr,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Most bytes of bodies of all requests that are not answered yet.
    pub max_held_bytes: usize,
    /// Milliseconds for the head of a request, idle time before it included.
    pub header_timeout_ms: u64,
    /// Milliseconds for the body of a request.
    pub body_timeout_ms: u64,
    /// Milliseconds for which a caller may take no byte of an answer.
    pub write_timeout_ms: u64,
    /// Milliseconds to the deadline of a request that states none.
    pub default_timeout_ms: u64,
    /// Most milliseconds to a deadline; longer ones are cut to it.
    pub max_timeout_ms: u64,
    /// Milliseconds after the deadline at which an outcome is no longer awaited.
    pub reply_grace_ms: u64,
    /// Most milliseconds that an idempotency key may lie in the future.
    pub max_id_ahead_ms: u64,
    /// Most requests that wait for an outcome.
    pub max_in_flight: usize,
    /// Most connections of callers.
    pub max_connections: usize,
}

impl CallersConfig {
    /// Starts from the defaults for a listener at `listen`.
    #[must_use]
    pub const fn builder(listen: SocketAddr) -> CallersConfigBuilder {
        CallersConfigBuilder {
            cfg: Self {
                listen,
                max_body_bytes: 1024 * 1024,
                max_held_bytes: 128 * 1024 * 1024,
                header_timeout_ms: 30_000,
                body_timeout_ms: 10_000,
                write_timeout_ms: 10_000,
                default_timeout_ms: 10_000,
                max_timeout_ms: 60_000,
                reply_grace_ms: 1_000,
                max_id_ahead_ms: 1_000,
                max_in_flight: 2_000,
                max_connections: 4_000,
            },
        }
    }

    pub(super) const fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    pub(super) const fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.write_timeout_ms)
    }
}

/// Builder of [`CallersConfig`].
#[derive(Debug, Clone)]
pub struct CallersConfigBuilder {
    cfg: CallersConfig,
}

impl CallersConfigBuilder {
    /// Sets the largest body, in bytes.
    #[must_use]
    pub const fn max_body_bytes(mut self, bytes: usize) -> Self {
        self.cfg.max_body_bytes = bytes;
        self
    }

    /// Sets the most bytes of bodies of all requests that are not answered yet.
    #[must_use]
    pub const fn max_held_bytes(mut self, bytes: usize) -> Self {
        self.cfg.max_held_bytes = bytes;
        self
    }

    /// Sets the time for the head of a request, in milliseconds.
    #[must_use]
    pub const fn header_timeout_ms(mut self, ms: u64) -> Self {
        self.cfg.header_timeout_ms = ms;
        self
    }

    /// Sets the time for the body of a request, in milliseconds.
    #[must_use]
    pub const fn body_timeout_ms(mut self, ms: u64) -> Self {
        self.cfg.body_timeout_ms = ms;
        self
    }

    /// Sets the time for which a caller may take no byte, in milliseconds.
    #[must_use]
    pub const fn write_timeout_ms(mut self, ms: u64) -> Self {
        self.cfg.write_timeout_ms = ms;
        self
    }

    /// Sets the time to the deadline of a request that states none, in milliseconds.
    #[must_use]
    pub const fn default_timeout_ms(mut self, ms: u64) -> Self {
        self.cfg.default_timeout_ms = ms;
        self
    }

    /// Sets the most time to a deadline, in milliseconds.
    #[must_use]
    pub const fn max_timeout_ms(mut self, ms: u64) -> Self {
        self.cfg.max_timeout_ms = ms;
        self
    }

    /// Sets how long an outcome is awaited after the deadline, in milliseconds.
    #[must_use]
    pub const fn reply_grace_ms(mut self, ms: u64) -> Self {
        self.cfg.reply_grace_ms = ms;
        self
    }

    /// Sets how far an idempotency key may lie in the future, in milliseconds.
    #[must_use]
    pub const fn max_id_ahead_ms(mut self, ms: u64) -> Self {
        self.cfg.max_id_ahead_ms = ms;
        self
    }

    /// Sets the most requests that wait for an outcome.
    #[must_use]
    pub const fn max_in_flight(mut self, count: usize) -> Self {
        self.cfg.max_in_flight = count;
        self
    }

    /// Sets the most connections of callers.
    #[must_use]
    pub const fn max_connections(mut self, count: usize) -> Self {
        self.cfg.max_connections = count;
        self
    }

    /// The settings.
    #[must_use]
    pub const fn build(self) -> CallersConfig {
        self.cfg
    }
}
