//! What the entries have stored with the platform.

use citronway_core::config::Config;
use citronway_core::ids::{EndpointName, Version};
use citronway_core::platform::{ConditionalPut, RowKey};
use citronway_core::shard::{Assignment, DispatchRow, Ownership};
use serde::de::DeserializeOwned;

use super::error::EnvError;
use super::platform::PlatformHandle;
use crate::http::ClientError;
use crate::platform::messages::Transaction;

const CONFIG: &str = "config";
const HEAD: &str = "head";
const ASSIGNMENT: &str = "assignment";
const DISPATCH: &str = "dispatch";

impl PlatformHandle {
    /// Assignments of all services.
    ///
    /// # Errors
    ///
    /// If they cannot be read.
    pub async fn assignments(&self) -> Result<Vec<Assignment>, EnvError> {
        self.parsed(ASSIGNMENT).await
    }

    /// Dispatch rows of all endpoints.
    ///
    /// # Errors
    ///
    /// If they cannot be read.
    pub async fn dispatch_rows(&self) -> Result<Vec<DispatchRow>, EnvError> {
        self.parsed(DISPATCH).await
    }

    /// Writes the first configuration straight into its row, as if operators had
    /// applied it before the entries started.
    ///
    /// # Errors
    ///
    /// If there is one already or the platform does not answer.
    pub async fn store_config(&self, config: &Config) -> Result<(), EnvError> {
        let put = ConditionalPut {
            at: RowKey {
                table: CONFIG.to_owned(),
                key: HEAD.to_owned(),
            },
            expected: Version::default(),
            value: serde_json::to_string(config).map_err(ClientError::from)?,
        };
        self.write(&Transaction { puts: vec![put] }).await
    }

    /// Whether so many services have every shard owned, and none on the move.
    pub async fn all_owned(&self, services: usize) -> bool {
        let Ok(assignments) = self.assignments().await else {
            return false;
        };
        assignments.len() >= services && assignments.iter().all(is_owned)
    }

    /// Whether no shard belongs to the endpoint, or is on its way to or from it.
    pub async fn owns_nothing(&self, endpoint: &EndpointName) -> bool {
        let Ok(assignments) = self.assignments().await else {
            return false;
        };
        let mut shards = assignments.iter().flat_map(|it| it.shards.values());
        !shards.any(|shard| names(&shard.ownership, endpoint))
    }

    async fn parsed<T: DeserializeOwned>(&self, table: &str) -> Result<Vec<T>, EnvError> {
        let mut values = Vec::new();
        for row in self.table(table).await?.rows {
            let value = serde_json::from_str(&row.value).map_err(ClientError::from)?;
            values.push(value);
        }
        Ok(values)
    }
}

fn names(ownership: &Ownership, endpoint: &EndpointName) -> bool {
    match ownership {
        Ownership::Unowned => false,
        Ownership::Owned { owner } => owner == endpoint,
        Ownership::Moving { from, to } => from == endpoint || to == endpoint,
    }
}

fn is_owned(assignment: &Assignment) -> bool {
    let mut shards = assignment.shards.values();
    shards.all(|shard| matches!(shard.ownership, Ownership::Owned { .. }))
}
