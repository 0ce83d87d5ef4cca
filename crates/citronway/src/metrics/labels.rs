//! Labels of the metrics; each set is bounded in number.

use std::fmt::{self, Write};

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};

/// Work of one service, tenant and class.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WorkLabels {
    /// Service.
    pub service: String,
    /// Tenant, bounded by [`super::TenantNames`].
    pub tenant: String,
    /// Class.
    pub class: String,
}

/// Work with its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Service.
    pub service: String,
    /// Tenant, bounded by [`super::TenantNames`].
    pub tenant: String,
    /// Class.
    pub class: String,
    /// `answered`, `not_run` or `may_have_run`.
    pub outcome: &'static str,
    /// Why it was not answered; empty if it was.
    pub reason: String,
}

/// An endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndpointLabels {
    /// Its name.
    pub endpoint: String,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// Its name.
    pub service: String,
}

/// A bounded ring between two threads.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RingLabels {
    /// Name of the ring.
    pub ring: &'static str,
}

/// Control traffic of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TrafficLabels {
    /// Sent or received.
    pub direction: Direction,
    /// Kind of message.
    pub kind: &'static str,
}

/// Which way a message went.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Direction {
    /// To another instance.
    Sent,
    /// From another instance.
    Received,
}

impl EncodeLabelValue for Direction {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        encoder.write_str(match self {
            Self::Sent => "sent",
            Self::Received => "received",
        })
    }
}
