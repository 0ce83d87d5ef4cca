//! Queries: what the published snapshot says, in the shape operators read.

use std::sync::Arc;

use citronway_core::ids::{EndpointName, Version};
use citronway_core::shard::Ownership;

use super::answers::{
    AssignmentAnswer, ConfigAnswer, DispatcherView, DispatchersAnswer, EndpointView,
    EndpointsAnswer, InstanceVersion, InstancesAnswer, VersionAnswer,
};
use super::cx::Cx;
use super::refusal::Refusal;
use super::snapshot::Snapshot;

/// Configuration in force at this instance.
#[must_use]
pub fn config(snapshot: &Snapshot) -> ConfigAnswer {
    ConfigAnswer {
        version: snapshot.config_version,
        config: Arc::clone(&snapshot.config),
    }
}

/// Configuration as stored: as new as what is in force, or newer.
///
/// # Errors
///
/// When the store does not answer.
pub async fn stored_config(cx: &Cx) -> Result<ConfigAnswer, Refusal> {
    let stored = cx.stored().await?;
    Ok(ConfigAnswer {
        version: stored.version,
        config: stored.config,
    })
}

/// Who owns which shard.
#[must_use]
pub fn assignment(snapshot: &Snapshot) -> AssignmentAnswer {
    AssignmentAnswer {
        assignments: snapshot.assignments.clone(),
    }
}

/// Who dispatches which endpoint.
#[must_use]
pub fn dispatchers(snapshot: &Snapshot) -> DispatchersAnswer {
    let mut dispatchers = Vec::new();
    for stored in &snapshot.dispatch {
        let row = &stored.row;
        let hold = snapshot
            .holds
            .iter()
            .find(|hold| hold.endpoint == row.endpoint);
        dispatchers.push(DispatcherView {
            endpoint: row.endpoint.clone(),
            dispatcher: row.dispatcher.clone(),
            epoch: row.epoch,
            successors: row.successors.clone(),
            former: row.former.clone(),
            version: stored.version,
            hold: hold.cloned(),
        });
    }
    DispatchersAnswer {
        instance: snapshot.session.clone(),
        dispatchers,
    }
}

/// Configured endpoints with what is known of them.
#[must_use]
pub fn endpoints(snapshot: &Snapshot) -> EndpointsAnswer {
    let mut endpoints = Vec::new();
    for (name, endpoint) in &snapshot.config.endpoints {
        let row = snapshot
            .dispatch
            .iter()
            .find(|stored| stored.row.endpoint == *name);
        let state = snapshot
            .endpoints
            .iter()
            .find(|state| state.endpoint == *name);
        endpoints.push(EndpointView {
            endpoint: name.clone(),
            address: endpoint.address,
            zone: endpoint.zone.clone(),
            labels: endpoint.labels.clone(),
            slots: endpoint.slots,
            drain: endpoint.drain,
            shards: owned_shards(snapshot, name),
            dispatcher: row.map(|stored| stored.row.dispatcher.clone()),
            state: state.cloned(),
        });
    }
    EndpointsAnswer {
        instance: snapshot.session.clone(),
        endpoints,
    }
}

/// Instances that this one knows.
#[must_use]
pub fn instances(snapshot: &Snapshot) -> InstancesAnswer {
    InstancesAnswer {
        instance: snapshot.session.clone(),
        serving: snapshot.serving,
        store_age_ms: snapshot.store_age_ms,
        instances: snapshot.instances.clone(),
    }
}

/// Where which version is in force; `newest` is the highest one seen here.
#[must_use]
pub fn version(snapshot: &Snapshot, newest: Version) -> VersionAnswer {
    let mut instances = Vec::new();
    let mut accepted = newest.max(snapshot.config_version);
    for instance in &snapshot.instances {
        accepted = accepted.max(instance.config_version.unwrap_or_default());
        instances.push(InstanceVersion {
            session: instance.session.clone(),
            zone: instance.zone.clone(),
            version: instance.config_version,
            heard_ms: instance.heard_ms,
            leaving: instance.leaving,
        });
    }
    VersionAnswer {
        instance: snapshot.session.clone(),
        in_force: snapshot.config_version,
        accepted,
        instances,
    }
}

fn owned_shards(snapshot: &Snapshot, endpoint: &EndpointName) -> usize {
    let mut owned = 0;
    for stored in &snapshot.assignments {
        for shard in stored.row.shards.values() {
            let owner = match &shard.ownership {
                Ownership::Unowned => continue,
                Ownership::Owned { owner } => owner,
                Ownership::Moving { from, .. } => from,
            };
            owned += usize::from(owner == endpoint);
        }
    }
    owned
}
