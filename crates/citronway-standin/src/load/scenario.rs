//! What happens during a trial.

use std::str::FromStr;
use std::time::Duration;

use citronway_core::platform::ListedState;
use serde::Serialize;

use super::deployment::{Deployment, INSTANCES, Size, UnknownName, endpoint_name, entry_name};
use crate::endpoint::EndpointFaults;
use crate::env::{Env, EnvError, wait};

/// Factor by which the slow endpoint is slower.
const SLOW_FACTOR: f64 = 10.0;

/// What happens during a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Half of what the slots can run.
    Half,
    /// All that the slots can run.
    Full,
    /// One and a half times what the slots can run.
    Over,
    /// An endpoint is killed.
    EndpointLost,
    /// Entries shut down and start again, one after the other.
    RollingRestart,
    /// A key of each service becomes hot.
    HotKey,
    /// An endpoint becomes slow and reports itself healthy.
    SlowEndpoint,
}

impl FromStr for Scenario {
    type Err = UnknownName;

    fn from_str(name: &str) -> Result<Self, UnknownName> {
        match name {
            "half" => Ok(Self::Half),
            "full" => Ok(Self::Full),
            "over" => Ok(Self::Over),
            "endpoint-lost" => Ok(Self::EndpointLost),
            "rolling-restart" => Ok(Self::RollingRestart),
            "hot-key" => Ok(Self::HotKey),
            "slow-endpoint" => Ok(Self::SlowEndpoint),
            _ => Err(UnknownName(name.to_owned())),
        }
    }
}

impl Scenario {
    /// Arrivals as a part of what the slots can run.
    #[must_use]
    pub const fn load(self) -> f64 {
        match self {
            Self::Full => 1.0,
            Self::Over => 1.5,
            Self::Half
            | Self::EndpointLost
            | Self::RollingRestart
            | Self::HotKey
            | Self::SlowEndpoint => 0.5,
        }
    }

    /// When its event happens.
    #[must_use]
    pub fn event_at(self, length: Duration) -> Duration {
        length / 4
    }

    /// Makes the event happen; the trial has just begun.
    pub(super) async fn play(
        self,
        env: &mut Env,
        deployment: Deployment,
        length: Duration,
    ) -> Result<(), EnvError> {
        let first = &deployment.sizes()[0];
        tokio::time::sleep(self.event_at(length)).await;
        match self {
            Self::Half | Self::Full | Self::Over | Self::HotKey => Ok(()),
            Self::EndpointLost => {
                env.endpoint_mut(&endpoint_name(first, 0))?.kill();
                Ok(())
            }
            Self::SlowEndpoint => slow_down(env, first).await,
            Self::RollingRestart => restart_all(env).await,
        }
    }
}

async fn slow_down(env: &Env, size: &Size) -> Result<(), EnvError> {
    let faults = EndpointFaults {
        slow_factor: SLOW_FACTOR,
        claims_healthy: true,
        ..EndpointFaults::default()
    };
    env.endpoint(&endpoint_name(size, 0))?
        .set_faults(&faults)
        .await
}

async fn restart_all(env: &mut Env) -> Result<(), EnvError> {
    for number in 0..INSTANCES {
        let name = entry_name(number);
        let settings = env.entry(&name)?.settings().clone();
        env.platform().list(&settings, ListedState::Leaving).await?;
        env.entry_mut(&name)?.shut_down().await?;
        let entry = env.restart_entry(&name).await?;
        wait("the entry is healthy again", async || {
            entry.is_healthy().await
        })
        .await?;
    }
    Ok(())
}
