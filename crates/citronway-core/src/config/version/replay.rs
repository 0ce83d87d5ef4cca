//! Runs recorded events through the machine again.

use serde::{Deserialize, Serialize};

use super::event::{ConfigAction, ConfigEvent};
use super::in_force::InForce;
use crate::ids::Version;
use crate::time::Mono;

/// A line of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedEvent {
    /// When it happened.
    pub at: Mono,
    /// What happened.
    #[serde(flatten)]
    pub event: ConfigEvent,
}

/// What stands after an event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// When the event happened.
    pub at: Mono,
    /// Version in force.
    pub version: Version,
    /// Whether requests are served.
    pub serving: bool,
    /// What the machine does.
    pub actions: Vec<ConfigAction>,
}

/// Decisions of a fresh machine on the events, one for each.
#[must_use]
pub fn replay(events: &[RecordedEvent]) -> Vec<Decision> {
    let mut machine = InForce::new();
    let mut decisions = Vec::new();
    for RecordedEvent { at, event } in events {
        let actions = machine.apply(event, *at);
        decisions.push(Decision {
            at: *at,
            version: machine.version(),
            serving: machine.config(*at).is_ok(),
            actions,
        });
    }
    decisions
}
