//! Reports that the traffic thread sends to `control` several times a second.

use citronway_core::gateway::admission::View;
use citronway_core::gateway::crashes::Sign;
use citronway_core::gateway::departures::Departure;
use citronway_core::gateway::fleet_admission::QueueDemand;
use citronway_core::gateway::freshness::Trust;
use citronway_core::gateway::report;
use citronway_core::gateway::rests::RestReport;
use citronway_core::gateway::stated_limits::StatedLimit;
use tokio::sync::{mpsc, watch};

use super::cold::ColdQuery;
use super::limited::LimitedSendQuery;
use super::trial::TrialEvent;

/// Sending halves of the channels from the traffic thread to `control`.
#[derive(Debug)]
pub struct ControlSenders {
    /// Periodic reports.
    pub reports: mpsc::Sender<TrafficReport>,
    /// Trials of work under suspicion.
    pub trials: mpsc::Sender<TrialEvent>,
    /// Queries about sends to cold endpoints.
    pub cold: mpsc::Sender<ColdQuery>,
    /// Queries about sends to endpoints that state a limit.
    pub limited: mpsc::Sender<LimitedSendQuery>,
}

/// What `control` publishes for the traffic thread.
#[derive(Debug)]
pub struct Views {
    /// State of the cluster by which requests are decided.
    pub view: watch::Receiver<View>,
    /// How far the configuration in the view may be relied on.
    pub trust: watch::Receiver<Trust>,
}

/// Report on the last period.
#[derive(Debug, Clone, Default)]
pub struct TrafficReport {
    /// Use of endpoints and keys.
    pub usage: report::Observations,
    /// Mean time of work at each service, in milliseconds.
    pub work_ms: Vec<(citronway_core::ids::ServiceName, f64)>,
    /// Signs of work that crashed endpoints, or that ran to its end.
    pub signs: Vec<Sign>,
    /// Whether no endpoint answers this instance.
    pub is_cut_off: bool,
    /// What endpoints stated of their limits.
    pub stated_limits: Vec<StatedLimit>,
    /// Endpoints that stated that they leave.
    pub departures: Vec<Departure>,
    /// Endpoints that asked this instance for rest.
    pub rests: Vec<RestReport>,
    /// Demand by queue and rank; `None` without admission control across instances.
    pub demand: Option<Vec<QueueDemand>>,
}
