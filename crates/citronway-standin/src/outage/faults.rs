//! Random faults, one after the other and sometimes two at once.

use std::time::Duration;

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::endpoint::EndpointFaults;
use crate::env::{Env, EnvError};
use crate::platform::PlatformFaults;
use crate::trial::{Deployment, Links, endpoint_name, entry_name};

/// Shortest and longest time that a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 200..4000;
const ANSWERS_LOST: u32 = 3;
const SLOW_MS: u64 = 400;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// An entry is killed and started again.
    EntryKilled,
    /// An entry stands still, then goes on.
    EntryPaused,
    /// An endpoint is killed and started again under its address.
    EndpointKilled,
    /// An endpoint takes bytes and does nothing, then works through them.
    EndpointFrozen,
    /// All connections between entries and to the platform are closed.
    ConnectionsDropped,
    /// An entry is cut from its peers, both ways.
    EntryCut,
    /// Writes take effect, but their answers are lost, while an entry is paused.
    AnswersLost,
    /// The store is slow.
    StoreSlow,
}

impl FaultKind {
    const ALL: [Self; 8] = [
        Self::EntryKilled,
        Self::EntryPaused,
        Self::EndpointKilled,
        Self::EndpointFrozen,
        Self::ConnectionsDropped,
        Self::EntryCut,
        Self::AnswersLost,
        Self::StoreSlow,
    ];
}

/// A source of faults; the same seed draws the same ones.
#[derive(Debug)]
pub struct Faults {
    chance: StdRng,
    entries: usize,
    endpoints: usize,
    /// How often each was made to happen.
    pub counts: IndexMap<FaultKind, u32>,
}

impl Faults {
    /// Faults of a deployment of this size.
    #[must_use]
    pub fn new(seed: u64, entries: usize, endpoints: usize) -> Self {
        Self {
            chance: StdRng::seed_from_u64(seed),
            entries,
            endpoints,
            counts: IndexMap::new(),
        }
    }

    /// Makes the next fault happen, and ends it.
    ///
    /// # Errors
    ///
    /// If a process does not start again or the deployment does not become whole.
    pub async fn next(
        &mut self,
        env: &mut Env,
        links: &Links,
        deployment: &Deployment,
    ) -> Result<(), EnvError> {
        let kind = FaultKind::ALL[self.chance.random_range(0..FaultKind::ALL.len())];
        *self.counts.entry(kind).or_default() += 1;
        let entry = entry_name(self.chance.random_range(0..self.entries));
        let endpoint = endpoint_name(self.chance.random_range(0..self.endpoints));
        let lasts = Duration::from_millis(self.chance.random_range(LASTS_MS));
        begin(kind, env, links, &entry, &endpoint).await?;
        tokio::time::sleep(lasts).await;
        end(kind, env, links, &entry, &endpoint).await?;
        // Every other fault meets a deployment that has not healed yet.
        if self.chance.random_bool(0.5) {
            return Ok(());
        }
        deployment.settled(env).await
    }
}

async fn begin(
    kind: FaultKind,
    env: &mut Env,
    links: &Links,
    entry: &str,
    endpoint: &str,
) -> Result<(), EnvError> {
    match kind {
        FaultKind::EntryKilled => env.entry_mut(entry)?.child.kill(),
        FaultKind::EntryPaused => env.entry_mut(entry)?.child.pause(),
        FaultKind::EndpointKilled => {
            env.endpoint_mut(endpoint)?.kill();
            Ok(())
        }
        FaultKind::EndpointFrozen => {
            let frozen = EndpointFaults {
                frozen: true,
                ..EndpointFaults::default()
            };
            env.endpoint(endpoint)?.set_faults(&frozen).await
        }
        FaultKind::ConnectionsDropped => {
            links.drop_connections();
            Ok(())
        }
        FaultKind::EntryCut => {
            links.cut_from_peers(entry);
            Ok(())
        }
        FaultKind::AnswersLost => {
            let losing = PlatformFaults {
                lose_answers: ANSWERS_LOST,
                ..PlatformFaults::default()
            };
            env.platform().set_faults(&losing).await?;
            env.entry_mut(entry)?.child.pause()
        }
        FaultKind::StoreSlow => {
            let slow = PlatformFaults {
                slow_ms: SLOW_MS,
                ..PlatformFaults::default()
            };
            env.platform().set_faults(&slow).await
        }
    }
}

async fn end(
    kind: FaultKind,
    env: &mut Env,
    links: &Links,
    entry: &str,
    endpoint: &str,
) -> Result<(), EnvError> {
    match kind {
        FaultKind::EntryKilled => env.restart_entry(entry).await.map(drop),
        FaultKind::EntryPaused => env.entry_mut(entry)?.child.resume(),
        FaultKind::EndpointKilled => env.restart_endpoint(endpoint).map(drop),
        FaultKind::EndpointFrozen => {
            let thawed = EndpointFaults::default();
            env.endpoint(endpoint)?.set_faults(&thawed).await
        }
        FaultKind::ConnectionsDropped => Ok(()),
        FaultKind::EntryCut => {
            links.heal();
            Ok(())
        }
        FaultKind::AnswersLost => {
            env.entry_mut(entry)?.child.resume()?;
            env.platform().set_faults(&PlatformFaults::default()).await
        }
        FaultKind::StoreSlow => env.platform().set_faults(&PlatformFaults::default()).await,
    }
}
