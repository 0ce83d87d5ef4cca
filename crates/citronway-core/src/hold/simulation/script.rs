//! Traces of a hold: JSON lines, a header and then faults by time.

use serde::{Deserialize, Serialize};

use crate::hold::{EndpointReach, HandOverReason, HoldSettings};

/// First line of a trace: what it is about and the surroundings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Header {
    /// What it shows.
    pub story: String,
    /// Seed of all delays, losses, clock rates and clock skews.
    pub seed: u64,
    /// Number of instances. The row starts with 0 as dispatcher, 1 and 2 as successors.
    pub instances: usize,
    /// How long it runs, in milliseconds.
    pub end_ms: u64,
    /// Lag of the instance list, in milliseconds.
    pub list_lag_ms: u64,
    /// Messages lost, in a thousand, until everything is mended.
    pub lost_per_mille: u64,
    /// Messages and store calls that are slow, in a thousand, until then.
    pub slow_per_mille: u64,
    /// Most by which a slow one is delayed, in milliseconds.
    pub slow_ms: u64,
    /// Settings of the holds.
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

/// A line after the header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimedFault {
    /// When it happens, in milliseconds from the start.
    pub at: u64,
    /// What happens.
    #[serde(flatten)]
    pub fault: Fault,
}

/// Something that happens to the instances or the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Fault {
    /// The process is killed.
    Crash {
        /// Instance.
        node: usize,
    },
    /// It starts again under the same address, as a new session.
    Restart {
        /// Instance.
        node: usize,
    },
    /// The process stops running; what arrives waits.
    Pause {
        /// Instance.
        node: usize,
    },
    /// It runs on, and finds the time passed before it reads what waits.
    Continue {
        /// Instance.
        node: usize,
    },
    /// Messages in one direction are lost.
    Cut {
        /// Sender.
        from: usize,
        /// Receiver.
        to: usize,
    },
    /// They arrive again.
    Mend {
        /// Sender.
        from: usize,
        /// Receiver.
        to: usize,
    },
    /// The instance does not reach the store.
    CutStore {
        /// Instance.
        node: usize,
    },
    /// The store answers nobody.
    StoreDown,
    /// It does again.
    StoreUp,
    /// The next write of an instance reaches the store late.
    DelayWrite {
        /// Instance.
        node: usize,
        /// How late, in milliseconds.
        ms: u64,
    },
    /// The answer to its next write is lost.
    LoseAnswer {
        /// Instance.
        node: usize,
    },
    /// Its probes of the endpoint tell this.
    Reach {
        /// Instance.
        node: usize,
        /// What they tell.
        reach: EndpointReach,
    },
    /// It gives its role away, and when leaving exits a second later.
    HandOver {
        /// Instance.
        node: usize,
        /// Why.
        reason: HandOverReason,
    },
    /// All cuts, outages, pauses, losses and delays end.
    MendAll,
}

impl Fault {
    /// Instances that it names.
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
