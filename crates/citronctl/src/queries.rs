//! Queries: ask an instance and show its answer.

use serde::Serialize;
use serde::de::DeserializeOwned;

use citronway::operators::answers::{
    ConfigAnswer, EndpointsAnswer, InstancesAnswer, VersionAnswer,
};

use crate::client::Client;
use crate::failure::Failure;
use crate::words::{Output, Resource};
use crate::{status, table};

/// Path of the configuration as stored.
pub const STORED: &str = "/admin/v1/config/stored";

/// Shows one resource.
///
/// # Errors
///
/// When the instance cannot be reached or refuses.
pub async fn get(
    client: &Client,
    what: Resource,
    stored: bool,
    output: Output,
) -> Result<String, Failure> {
    let show = Show { client, output };
    match what {
        Resource::Config if stored => show.answer(STORED, table::config).await,
        Resource::Config => show.answer("/admin/v1/config", table::config).await,
        _ if stored => Err(Failure::Usage(
            "--stored goes with `config` only".to_owned(),
        )),
        Resource::Assignment => show.answer("/admin/v1/assignment", table::assignment).await,
        Resource::Dispatchers => {
            show.answer("/admin/v1/dispatchers", table::dispatchers)
                .await
        }
        Resource::Endpoints => show.answer("/admin/v1/endpoints", table::endpoints).await,
        Resource::Instances => show.answer("/admin/v1/instances", table::instances).await,
        Resource::Version => show.answer("/admin/v1/version", table::version).await,
    }
}

/// Shows on one page whether all is well.
///
/// # Errors
///
/// When the instance cannot be reached or refuses.
pub async fn status(client: &Client, output: Output) -> Result<String, Failure> {
    let status = status::Status::new(status::Parts {
        instances: client.get::<InstancesAnswer>("/admin/v1/instances").await?,
        version: client.get::<VersionAnswer>("/admin/v1/version").await?,
        endpoints: client.get::<EndpointsAnswer>("/admin/v1/endpoints").await?,
        assignment: client.get("/admin/v1/assignment").await?,
    });
    match output {
        Output::Json => json(&status),
        Output::Table => Ok(status.to_string()),
    }
}

/// The configuration as stored.
///
/// # Errors
///
/// When the instance cannot be reached or refuses.
pub async fn stored(client: &Client) -> Result<ConfigAnswer, Failure> {
    client.get(STORED).await
}

struct Show<'a> {
    client: &'a Client,
    output: Output,
}

impl Show<'_> {
    async fn answer<T: DeserializeOwned + Serialize>(
        &self,
        path: &str,
        table: impl Fn(&T) -> String,
    ) -> Result<String, Failure> {
        let answer = self.client.get::<T>(path).await?;
        match self.output {
            Output::Json => json(&answer),
            Output::Table => Ok(table(&answer)),
        }
    }
}

/// A value as JSON for programs, with a line's end.
///
/// # Errors
///
/// When it cannot be serialised.
pub fn json(value: &impl Serialize) -> Result<String, Failure> {
    match serde_json::to_string_pretty(value) {
        Ok(text) => Ok(text + "\n"),
        Err(e) => Err(Failure::Usage(e.to_string())),
    }
}
