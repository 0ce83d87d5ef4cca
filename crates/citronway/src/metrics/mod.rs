//! Metrics of the process, as `OpenMetrics` text.
//!
//! The families are plain fields; whoever decides sets them, and the thread of
//! the administration API renders them.

mod control;
mod endpoints;
mod labels;
mod requests;
mod tenants;

use std::fmt;

use prometheus_client::encoding::text;
use prometheus_client::registry::Registry;

pub use control::ControlMetrics;
pub use endpoints::{EndpointMetrics, EndpointReading, ServiceReading};
pub use labels::{
    Direction, EndpointLabels, OutcomeLabels, RingLabels, ServiceLabels, TrafficLabels, WorkLabels,
};
pub use requests::{Finished, RequestMetrics, reason};
pub use tenants::{MAX_TENANT_LENGTH, MAX_TENANTS, NO_TENANT, OTHER_TENANTS, TenantNames};

/// Media type of the text that [`Metrics::text`] gives.
pub const MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

const PREFIX: &str = "citronway";

/// All metrics of an instance.
#[derive(Debug)]
pub struct Metrics {
    /// Of requests, for each service, tenant and class.
    pub requests: RequestMetrics,
    /// Of endpoints that this instance dispatches, and of services.
    pub endpoints: EndpointMetrics,
    /// Of the instance itself and its control messages.
    pub control: ControlMetrics,
    registry: Registry,
}

impl Metrics {
    /// Registers all metrics.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        Self {
            requests: RequestMetrics::register(&mut registry),
            endpoints: EndpointMetrics::register(&mut registry),
            control: ControlMetrics::register(&mut registry),
            registry,
        }
    }

    /// Renders all metrics.
    ///
    /// # Errors
    ///
    /// When a label cannot be written.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut buf = String::new();
        text::encode(&mut buf, &self.registry)?;
        Ok(buf)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
