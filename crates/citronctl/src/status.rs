//! Status: whether all is well, on one page.

use std::fmt;

use serde::Serialize;

use citronway::operators::answers::{
    AssignmentAnswer, EndpointsAnswer, InstancesAnswer, VersionAnswer,
};
use citronway::operators::snapshot::Health;
use citronway_core::ids::{InstanceName, Version};
use citronway_core::shard::Ownership;

/// Silence of the store after which it is worth a look, in milliseconds.
const STORE_SILENT_MS: u64 = 5000;

/// Answers that the status is made of.
#[derive(Debug)]
pub struct Parts {
    /// Instances.
    pub instances: InstancesAnswer,
    /// Versions.
    pub version: VersionAnswer,
    /// Endpoints.
    pub endpoints: EndpointsAnswer,
    /// Shards.
    pub assignment: AssignmentAnswer,
}

/// Whether all is well, as one instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Instance that answers.
    pub instance: InstanceName,
    /// Whether it takes work.
    pub serving: bool,
    /// Milliseconds since it last heard from the store, itself or through a peer.
    pub store_age_ms: u64,
    /// Highest accepted version that it knows.
    pub accepted: Version,
    /// Instances that do not have it in force.
    pub behind: Vec<InstanceName>,
    /// Instances known.
    pub instances: usize,
    /// Endpoints configured.
    pub endpoints: usize,
    /// Endpoints that are leaving.
    pub draining: usize,
    /// Endpoints lost or suspect, of those that the instance dispatches.
    pub unwell: Vec<String>,
    /// Shards.
    pub shards: usize,
    /// Shards that nobody serves.
    pub unowned: usize,
    /// Shards on their way to another owner.
    pub moving: usize,
}

impl Status {
    /// Sums up the answers.
    #[must_use]
    pub fn new(parts: Parts) -> Self {
        let accepted = parts.version.accepted;
        let mut behind = Vec::new();
        for instance in parts.version.behind(accepted) {
            behind.push(instance.session.instance.clone());
        }
        let mut status = Self {
            instance: parts.instances.instance.instance,
            serving: parts.instances.serving,
            store_age_ms: parts.instances.store_age_ms,
            accepted,
            behind,
            instances: parts.instances.instances.len(),
            endpoints: parts.endpoints.endpoints.len(),
            draining: 0,
            unwell: Vec::new(),
            shards: 0,
            unowned: 0,
            moving: 0,
        };
        status.add_endpoints(&parts.endpoints);
        status.add_shards(&parts.assignment);
        status
    }

    fn add_endpoints(&mut self, answer: &EndpointsAnswer) {
        for view in &answer.endpoints {
            let state = view.state.as_ref();
            let draining = view.drain || state.is_some_and(|state| state.draining);
            self.draining += usize::from(draining);
            match state.map(|state| state.health) {
                Some(Health::Lost) => self.unwell.push(format!("{} (lost)", view.endpoint)),
                Some(Health::Suspect) => self.unwell.push(format!("{} (suspect)", view.endpoint)),
                Some(Health::Unknown | Health::Healthy) | None => {}
            }
        }
    }

    fn add_shards(&mut self, answer: &AssignmentAnswer) {
        for stored in &answer.assignments {
            for shard in stored.row.shards.values() {
                self.shards += 1;
                match shard.ownership {
                    Ownership::Unowned => self.unowned += 1,
                    Ownership::Owned { .. } => {}
                    Ownership::Moving { .. } => self.moving += 1,
                }
            }
        }
    }

    /// What needs a look, in words.
    #[must_use]
    pub fn worries(&self) -> Vec<String> {
        let mut worries = Vec::new();
        if !self.serving {
            worries.push(format!("{} takes no work", self.instance));
        }
        if self.store_age_ms > STORE_SILENT_MS {
            worries.push(format!(
                "the store has been silent for {} ms",
                self.store_age_ms
            ));
        }
        if self.unowned > 0 {
            worries.push(format!("{} shards have no owner", self.unowned));
        }
        for endpoint in &self.unwell {
            worries.push(format!("endpoint {endpoint}"));
        }
        for instance in &self.behind {
            worries.push(format!(
                "{instance} does not have version {}",
                self.accepted
            ));
        }
        worries
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seen from  {}", self.instance)?;
        writeln!(f, "version    {} accepted", self.accepted)?;
        writeln!(f, "instances  {}", self.instances)?;
        writeln!(
            f,
            "endpoints  {}, {} draining",
            self.endpoints, self.draining
        )?;
        let (shards, moving, unowned) = (self.shards, self.moving, self.unowned);
        writeln!(f, "shards     {shards}, {moving} moving, {unowned} unowned")?;
        let worries = self.worries();
        if worries.is_empty() {
            return writeln!(f, "all is well");
        }
        writeln!(f, "needs a look:")?;
        for worry in worries {
            writeln!(f, "  {worry}")?;
        }
        Ok(())
    }
}
