//! What goes wrong on the tour, one thing after the other.

use std::time::Duration;

use super::deployment::{LOST_ENDPOINT, LOST_ENTRY, PAUSED_ENDPOINT, PAUSED_ENTRY};
use crate::env::{Env, EnvError};

/// How long paused processes stand still.
const PAUSE: Duration = Duration::from_secs(3);
/// Time for which the outcome of an event is watched.
const WATCH: Duration = Duration::from_secs(7);
/// Time without an event.
const CALM: Duration = Duration::from_secs(3);

/// A part of the tour.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Nothing goes wrong.
    Calm,
    /// An endpoint is killed.
    EndpointLost,
    /// An entry is killed.
    EntryLost,
    /// An entry stands still, then goes on.
    EntryPaused,
    /// An endpoint stands still, then goes on.
    EndpointPaused,
    /// Nothing goes wrong any more.
    Afterwards,
}

impl Stage {
    /// All, in order.
    pub const ALL: [Self; 6] = [
        Self::Calm,
        Self::EndpointLost,
        Self::EntryLost,
        Self::EntryPaused,
        Self::EndpointPaused,
        Self::Afterwards,
    ];

    /// What happens, for people.
    #[must_use]
    pub const fn title(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::EndpointLost => "endpoint killed",
            Self::EntryLost => "entry killed",
            Self::EntryPaused => "entry paused 3 s",
            Self::EndpointPaused => "endpoint paused 3 s",
            Self::Afterwards => "calm again",
        }
    }

    /// Makes it happen and watches for a while.
    pub(super) async fn play(self, env: &mut Env) -> Result<(), EnvError> {
        match self {
            Self::Calm | Self::Afterwards => {
                tokio::time::sleep(CALM).await;
                return Ok(());
            }
            Self::EndpointLost => env.endpoint_mut(LOST_ENDPOINT)?.kill(),
            Self::EntryLost => {
                env.entry_mut(LOST_ENTRY)?.child.kill()?;
                env.platform()
                    .unlist(env.entry(LOST_ENTRY)?.settings())
                    .await?;
            }
            Self::EntryPaused => {
                env.entry_mut(PAUSED_ENTRY)?.child.pause()?;
                tokio::time::sleep(PAUSE).await;
                env.entry_mut(PAUSED_ENTRY)?.child.resume()?;
            }
            Self::EndpointPaused => {
                env.endpoint_mut(PAUSED_ENDPOINT)?.process()?.pause()?;
                tokio::time::sleep(PAUSE).await;
                env.endpoint_mut(PAUSED_ENDPOINT)?.process()?.resume()?;
            }
        }
        tokio::time::sleep(WATCH).await;
        Ok(())
    }
}
