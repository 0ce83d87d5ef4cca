//! Format of a trace: a header, then timed faults, as JSON lines.

use serde::{Deserialize, Serialize};

use crate::hold::{EndpointReach, HandOverReason, HoldSettings};

/// First line of a trace: its description and the simulated environment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Header {
    /// What the trace shows.
    pub story: String,
    /// Seed of all delays, losses, clock rates and clock skews.
    pub seed: u64,
    /// Number of instances. The initial row names 0 as dispatcher, 1 and 2 as
    /// successors.
    pub instances: usize,
    /// Duration of the simulation, in milliseconds.
    pub end_ms: u64,
    /// Lag of the instance list, in milliseconds.
    pub list_lag_ms: u64,
    /// Share of messages that are lost until [`Fault::MendAll`], in a thousand.
    pub lost_per_mille: u64,
    /// Share of messages and store calls that are delayed until [`Fault::MendAll`],
    /// in a thousand.
    pub slow_per_mille: u64,
    /// Maximum delay of these messages and store calls, in milliseconds.
    pub slow_ms: u64,
    /// Settings of all holds.
    pub settings: HoldSettings,
}

impl Default for Header {
    fn default() -> Self {
        Self {
            story: String::new(),
            seed: 1,
            instances: 4,
            end_ms: 10_000,
            list_lag_ms: 2_000,
            lost_per_mille: 0,
            slow_per_mille: 0,
            slow_ms: 0,
            settings: HoldSettings::default(),
        }
    }
}

/// A fault and its time; each line after the header holds one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimedFault {
    /// Time of the fault, in milliseconds from the start.
    pub at: u64,
    /// Fault to inject.
    #[serde(flatten)]
    pub fault: Fault,
}

/// A fault of an instance, a link between instances or the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Fault {
    /// The process is killed.
    Crash {
        /// Instance that is killed.
        node: usize,
    },
    /// The process starts again at the same address, as a new session.
    Restart {
        /// Instance that starts.
        node: usize,
    },
    /// The process is suspended; events that arrive are deferred.
    Pause {
        /// Instance that is suspended.
        node: usize,
    },
    /// The process continues. It ticks, at the present time, before it handles the
    /// deferred events.
    Continue {
        /// Instance that continues.
        node: usize,
    },
    /// Messages in one direction are lost.
    Cut {
        /// Sender of the lost messages.
        from: usize,
        /// Receiver of the lost messages.
        to: usize,
    },
    /// Messages in one direction are no longer lost.
    Mend {
        /// Sender of the messages.
        from: usize,
        /// Receiver of the messages.
        to: usize,
    },
    /// The instance cannot reach the store.
    CutStore {
        /// Instance that is cut off.
        node: usize,
    },
    /// The store answers no instance.
    StoreDown,
    /// The store answers again.
    StoreUp,
    /// The next write of an instance reaches the store late.
    DelayWrite {
        /// Instance that writes.
        node: usize,
        /// Delay of the write, in milliseconds.
        ms: u64,
    },
    /// The answer to the next write of an instance is lost.
    LoseAnswer {
        /// Instance that writes.
        node: usize,
    },
    /// Changes the result of an instance's probes of the endpoint.
    Reach {
        /// Instance that probes.
        node: usize,
        /// New result of the probes.
        reach: EndpointReach,
    },
    /// The instance hands over its role. If it is leaving, its process exits one
    /// second later.
    HandOver {
        /// Instance that hands over.
        node: usize,
        /// Why it hands over.
        reason: HandOverReason,
    },
    /// Ends all cuts, outages, pauses, losses and delays.
    MendAll,
}

impl Fault {
    /// Instances that the fault names.
    pub(super) fn nodes(&self) -> Vec<usize> {
        match self {
            Self::Crash { node }
            | Self::Restart { node }
            | Self::Pause { node }
            | Self::Continue { node }
            | Self::CutStore { node }
            | Self::DelayWrite { node, .. }
            | Self::LoseAnswer { node }
            | Self::Reach { node, .. }
            | Self::HandOver { node, .. } => vec![*node],
            Self::Cut { from, to } | Self::Mend { from, to } => vec![*from, *to],
            Self::StoreDown | Self::StoreUp | Self::MendAll => Vec::new(),
        }
    }
}
