//! What the entries have stored with the platform.

use citronway_core::shard::{Assignment, DispatchRow, Ownership};
use serde::de::DeserializeOwned;

use super::error::EnvError;
use super::platform::PlatformHandle;
use crate::http::ClientError;

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

    /// Whether so many services have every shard owned, and none on the move.
    pub async fn all_owned(&self, services: usize) -> bool {
        let Ok(assignments) = self.assignments().await else {
            return false;
        };
        assignments.len() >= services && assignments.iter().all(is_owned)
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

fn is_owned(assignment: &Assignment) -> bool {
    let mut shards = assignment.shards.values();
    shards.all(|shard| matches!(shard.ownership, Ownership::Owned { .. }))
}
