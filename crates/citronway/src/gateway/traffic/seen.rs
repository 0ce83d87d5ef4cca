//! What the traffic tells `control` several times a second.

use citronway_core::gateway::report::{EndpointUse, KeySamples};

/// Account of the last period.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// Use of each endpoint and its answers.
    pub endpoints: Vec<EndpointUse>,
    /// Keys that were asked for.
    pub keys: Vec<KeySamples>,
    /// Usual time of work at each service, in milliseconds.
    pub work_ms: Vec<(citronway_core::ids::ServiceName, f64)>,
}
