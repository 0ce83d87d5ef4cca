//! Settings of the peers duty.

use std::net::SocketAddr;
use std::time::Duration;

use citronway_core::ids::{Session, ZoneName};
use citronway_wire::greeting::SharedKey;

/// Settings of the peers duty; made by [`PeersConfig::builder`].
#[derive(Debug, Clone)]
pub struct PeersConfig {
    /// This start of this instance.
    pub me: Session,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Key that all instances share.
    pub shared_key: SharedKey,
    /// Longest time for connecting and greeting.
    pub connect_timeout: Duration,
    /// Longest time until a peer confirms control messages; then its link is given up.
    pub control_timeout: Duration,
    /// Longest time for a forward, whatever its deadline says.
    pub call_timeout: Duration,
    /// How long an incoming connection may stay silent.
    pub idle_timeout: Duration,
    /// First pause before connecting again.
    pub first_backoff: Duration,
    /// Longest pause before connecting again.
    pub longest_backoff: Duration,
    /// Largest message in bytes, sent or received.
    pub max_message_bytes: usize,
    /// Most forwards under way on one link, in each direction.
    pub max_in_flight: usize,
    /// Most bytes of forwards under way on one outgoing link.
    pub max_in_flight_bytes: usize,
    /// Most control messages that wait for one link.
    pub max_queued_control: usize,
    /// Most control messages and forwards that wait for room in the events' ring.
    pub max_queued_events: usize,
    /// Most incoming connections.
    pub max_connections: usize,
}

impl PeersConfig {
    /// Starts from the defaults.
    #[must_use]
    pub fn builder(
        me: Session,
        zone: ZoneName,
        listen: SocketAddr,
        shared_key: SharedKey,
    ) -> PeersConfigBuilder {
        PeersConfigBuilder {
            cfg: Self {
                me,
                zone,
                listen,
                shared_key,
                connect_timeout: Duration::from_millis(500),
                control_timeout: Duration::from_secs(1),
                call_timeout: Duration::from_mins(2),
                idle_timeout: Duration::from_secs(30),
                first_backoff: Duration::from_millis(20),
                longest_backoff: Duration::from_millis(500),
                max_message_bytes: 8 * 1024 * 1024,
                max_in_flight: 1024,
                max_in_flight_bytes: 32 * 1024 * 1024,
                max_queued_control: 1024,
                max_queued_events: 4096,
                max_connections: 1024,
            },
        }
    }
}

impl PeersConfig {
    /// Most bytes of control messages in one call, and of one of them.
    ///
    /// Half a message: the receiver reads them twice, once for their size, and
    /// the codec's limit counts each read.
    pub(super) const fn max_control_bytes(&self) -> usize {
        self.max_message_bytes / 2
    }
}

/// Changes single settings; the rest keep their defaults.
#[derive(Debug, Clone)]
pub struct PeersConfigBuilder {
    cfg: PeersConfig,
}

macro_rules! setters {
    ($($(#[$doc:meta])* $field:ident: $type:ty,)+) => {
        impl PeersConfigBuilder {
            $(
                $(#[$doc])*
                #[must_use]
                pub fn $field(mut self, $field: $type) -> Self {
                    self.cfg.$field = $field;
                    self
                }
            )+

            /// The finished settings.
            #[must_use]
            pub fn build(self) -> PeersConfig {
                self.cfg
            }
        }
    };
}

setters! {
    /// Default 500 ms.
    connect_timeout: Duration,
    /// Default 1 s.
    control_timeout: Duration,
    /// Default 120 s.
    call_timeout: Duration,
    /// Default 30 s.
    idle_timeout: Duration,
    /// Default 20 ms.
    first_backoff: Duration,
    /// Default 500 ms.
    longest_backoff: Duration,
    /// Default 8 MiB.
    max_message_bytes: usize,
    /// Default 1024.
    max_in_flight: usize,
    /// Default 32 MiB.
    max_in_flight_bytes: usize,
    /// Default 1024.
    max_queued_control: usize,
    /// Default 4096.
    max_queued_events: usize,
    /// Default 1024.
    max_connections: usize,
}
