//! What the traffic tells `control` several times a second.

use citronway_core::gateway::crashes::Sign;
use citronway_core::gateway::report;
use tokio::sync::mpsc;

use super::cold::ColdAsk;
use super::trial::TrialEvent;

/// Rings by which the traffic tells and asks `control`.
#[derive(Debug)]
pub struct Told {
    /// What was seen.
    pub seen: mpsc::Sender<Seen>,
    /// Trials of work under suspicion.
    pub trials: mpsc::Sender<TrialEvent>,
    /// Sends to cold endpoints.
    pub cold: mpsc::Sender<ColdAsk>,
}

/// Account of the last period.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// Use of endpoints and keys.
    pub looked: report::Observations,
    /// Usual time of work at each service, in milliseconds.
    pub work_ms: Vec<(citronway_core::ids::ServiceName, f64)>,
    /// What was seen of work that may crash endpoints.
    pub signs: Vec<Sign>,
}
