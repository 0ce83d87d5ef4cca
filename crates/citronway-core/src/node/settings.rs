//! Settings of the machine of one entry instance.

use serde::{Deserialize, Serialize};

use crate::dispatch::DispatchSettings;
use crate::gateway::crashes::FingerprintKey;
use crate::hold::HoldSettings;
use crate::placement::planner::PlannerSettings;
use crate::retry::RetrySettings;

/// How orders reach the endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SendPolicy {
    /// Through the one dispatcher of each endpoint.
    #[default]
    Dispatcher,
    /// Straight from every entry, each with all slots: a baseline for measurement.
    /// Keys have no fenced owner under it.
    Uncoordinated,
    /// Straight from every entry, each with its part of the slots: a baseline for
    /// measurement. Keys have no fenced owner under it.
    StaticSplit,
}

/// Durations and limits that the decisions go by; all times in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeSettings {
    /// Time between two reads of the stored tables.
    pub poll_ms: u64,
    /// Time between two heartbeats to the other instances.
    pub heartbeat_ms: u64,
    /// An instance that was not heard of for this long gets no new role.
    pub silent_after_ms: u64,
    /// Time between two load reports to planners.
    pub load_every_ms: u64,
    /// How long a request waits for its key to have an owner and a dispatcher.
    pub reroute_for_ms: u64,
    /// Longest wait for work in flight when the instance stops.
    pub grace_ms: u64,
    /// After the call to stop, work is still taken for this long, until the
    /// balancer has noticed.
    pub lame_duck_ms: u64,
    /// How orders reach the endpoints.
    pub policy: SendPolicy,
    /// Of every hold.
    pub hold: HoldSettings,
    /// Of every dispatcher.
    pub dispatch: DispatchSettings,
    /// Of every planner.
    pub planner: PlannerSettings,
    /// Of retries.
    pub retry: RetrySettings,
    /// Key of fingerprints of work, the same at all instances.
    pub fingerprint_key: FingerprintKey,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            poll_ms: 500,
            heartbeat_ms: 250,
            silent_after_ms: 1_000,
            load_every_ms: 1_000,
            reroute_for_ms: 2_500,
            grace_ms: 30_000,
            lame_duck_ms: 500,
            policy: SendPolicy::Dispatcher,
            hold: HoldSettings::default(),
            dispatch: DispatchSettings::default(),
            planner: PlannerSettings::default(),
            retry: RetrySettings::default(),
            fingerprint_key: FingerprintKey::default(),
        }
    }
}
