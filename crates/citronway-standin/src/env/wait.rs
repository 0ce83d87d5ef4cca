//! Waits on states, never for a time.

use std::time::Duration;

use tokio::time::Instant;

use super::error::EnvError;

/// How long a state is waited for before the wait fails.
///
/// Only ends a wait in vain. Far above the slowest state that is waited for: an
/// endpoint that came back takes its share again over half a minute.
pub const PATIENCE: Duration = Duration::from_mins(2);

const POLL: Duration = Duration::from_millis(20);

/// Polls until `reached` says so.
///
/// # Errors
///
/// If the state has not come within [`PATIENCE`].
pub async fn wait(what: &str, mut reached: impl AsyncFnMut() -> bool) -> Result<(), EnvError> {
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        if reached().await {
            return Ok(());
        }
        tokio::time::sleep(POLL).await;
    }
    Err(EnvError::WaitedInVain {
        what: what.to_owned(),
        patience: PATIENCE,
    })
}
