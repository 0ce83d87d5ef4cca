//! What the traffic tells `control` several times a second.

use citronway_core::gateway::crashes::Sign;
use citronway_core::gateway::report;
use tokio::sync::mpsc;

use super::cold::ColdQuery;
use super::trial::TrialEvent;

/// Rings by which the traffic tells and asks `control`.
#[derive(Debug)]
pub struct ControlSenders {
    /// What was seen.
    pub reports: mpsc::Sender<TrafficReport>,
    /// Trials of work under suspicion.
    pub trials: mpsc::Sender<TrialEvent>,
    /// Sends to cold endpoints.
    pub cold: mpsc::Sender<ColdQuery>,
}

/// Account of the last period.
#[derive(Debug, Clone, Default)]
pub struct TrafficReport {
    /// Use of endpoints and keys.
    pub usage: report::Observations,
    /// Usual time of work at each service, in milliseconds.
    pub work_ms: Vec<(citronway_core::ids::ServiceName, f64)>,
    /// What was seen of work that may crash endpoints.
    pub signs: Vec<Sign>,
}
