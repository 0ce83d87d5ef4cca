//! Commands: change the configuration on condition of a version.

use std::fs;
use std::path::Path;

use http::Method;
use serde::Deserialize;
use serde::de::IgnoredAny;

use citronway::operators::answers::{Accepted, ConfigAnswer, EndpointsAnswer};
use citronway_core::config::names::is_name;
use citronway_core::config::{Change, Config};
use citronway_core::ids::Version;

use crate::cli::Condition;
use crate::client::{Client, Command, body};
use crate::failure::Failure;
use crate::words::Output;
use crate::{edits, queries, wait};

/// A configuration as `apply` takes it.
struct ConfigFile {
    config: Config,
    /// Version it was read at, if the file says so.
    version: Option<Version>,
}

/// Tells a file with a version from a bare configuration.
#[derive(Deserialize)]
struct Probe {
    config: Option<IgnoredAny>,
}

/// Replaces the whole configuration by a file.
///
/// # Errors
///
/// When the file cannot be read, or the change is not or may not be accepted.
pub async fn apply(
    client: &Client,
    path: &Path,
    condition: &Condition,
) -> Result<Accepted, Failure> {
    let file = read_file(path)?;
    let stated = condition.version_expected.map(Version).or(file.version);
    let expected = match stated {
        Some(version) => version,
        None => queries::stored(client).await?.version,
    };
    let command = Command {
        method: Method::PUT,
        path: "/admin/v1/config".to_owned(),
        expected: Some(expected),
        body: body(&file.config)?,
    };
    client.send(command).await
}

/// Makes all changes or none.
///
/// # Errors
///
/// When the changes are not or may not be accepted.
pub async fn change(
    client: &Client,
    changes: &[Change],
    condition: &Condition,
) -> Result<Accepted, Failure> {
    let expected = match condition.version_expected {
        Some(number) => Version(number),
        None => queries::stored(client).await?.version,
    };
    send_changes(client, changes, expected).await
}

/// Removes a service with its groups and rules.
///
/// # Errors
///
/// When the changes are not or may not be accepted.
pub async fn remove_whole_service(
    client: &Client,
    name: &str,
    condition: &Condition,
) -> Result<Accepted, Failure> {
    let stored = queries::stored(client).await?;
    let changes = edits::remove_whole_service(&stored.config, name);
    // Based on the version that the groups were read at, whatever is stated.
    match condition.version_expected {
        Some(number) => send_changes(client, &changes, Version(number)).await,
        None => send_changes(client, &changes, stored.version).await,
    }
}

/// Makes an endpoint leave or come back.
///
/// Goes with any version unless one is stated: it depends on nothing else.
///
/// # Errors
///
/// When the change is not or may not be accepted.
pub async fn set_drain(
    client: &Client,
    endpoint: &str,
    drain: bool,
    condition: &Condition,
) -> Result<Accepted, Failure> {
    if condition.version_expected.is_some() {
        let changes = [edits::set_drain(endpoint, drain)];
        return change(client, &changes, condition).await;
    }
    if !is_name(endpoint) {
        return Err(Failure::Usage(format!("`{endpoint}` is not a name")));
    }
    let verb = if drain { "drain" } else { "undrain" };
    let command = Command {
        method: Method::POST,
        path: format!("/admin/v1/endpoints/{endpoint}/{verb}"),
        expected: None,
        body: Vec::new(),
    };
    client.send(command).await
}

/// Checks that an endpoint may be removed.
///
/// Failure: an endpoint is removed while it owns keys; its dispatcher can no
/// longer reach it to take them back, and nobody serves them until its grants
/// have ended. What the instance knows may be old, so this is a guard against
/// haste and not against a race.
///
/// # Errors
///
/// When it owns shards, or the instance cannot be asked.
pub async fn check_owns_nothing(client: &Client, endpoint: &str) -> Result<(), Failure> {
    let answer: EndpointsAnswer = client.get("/admin/v1/endpoints").await?;
    for view in &answer.endpoints {
        if view.endpoint.as_str() == endpoint && view.shards > 0 {
            return Err(Failure::OwnsShards {
                endpoint: endpoint.to_owned(),
                shards: view.shards,
            });
        }
    }
    Ok(())
}

/// Says what was accepted, and waits until it is in force if asked to.
///
/// # Errors
///
/// When it is not in force everywhere in time.
pub async fn finish(
    client: &Client,
    accepted: Accepted,
    condition: &Condition,
) -> Result<String, Failure> {
    let version = accepted.version;
    if let Some(seconds) = condition.wait {
        wait::in_force(client, version, seconds).await?;
    }
    if condition.target.output == Output::Json {
        return queries::json(&accepted);
    }
    let done = if accepted.changed {
        format!("accepted at version {version}")
    } else {
        format!("stands already, at version {version}")
    };
    Ok(match condition.wait {
        Some(_) => format!("{done}, in force everywhere\n"),
        None => format!("{done}\n"),
    })
}

async fn send_changes(
    client: &Client,
    changes: &[Change],
    expected: Version,
) -> Result<Accepted, Failure> {
    let command = Command {
        method: Method::POST,
        path: "/admin/v1/changes".to_owned(),
        expected: Some(expected),
        body: body(&changes)?,
    };
    client.send(command).await
}

fn read_file(path: &Path) -> Result<ConfigFile, Failure> {
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(source) => {
            return Err(Failure::File {
                path: path.to_owned(),
                source,
            });
        }
    };
    parse(&text).map_err(|e| Failure::Content {
        path: path.to_owned(),
        reason: e.to_string(),
    })
}

fn parse(text: &str) -> Result<ConfigFile, serde_json::Error> {
    let probe: Probe = serde_json::from_str(text)?;
    if probe.config.is_none() {
        return Ok(ConfigFile {
            config: serde_json::from_str(text)?,
            version: None,
        });
    }
    let answer: ConfigAnswer = serde_json::from_str(text)?;
    Ok(ConfigFile {
        config: answer.config.as_ref().clone(),
        version: Some(answer.version),
    })
}
