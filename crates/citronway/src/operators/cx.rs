//! What all handlers of the administration API share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::mpsc;

use citronway_core::config::Config;
use citronway_core::ids::Version;

use crate::metrics::Metrics;

use super::auth::Token;
use super::history::History;
use super::settle::Patience;
use super::snapshot::{Published, Snapshot};
use super::store::{StoreClient, StoreCommand, Stored, StoredError};

/// Longest wait for the platform's thread to answer a command.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long to look for the outcome of a write whose answer was lost.
const PATIENCE: Patience = Patience {
    reads: 10,
    pause: Duration::from_millis(500),
};

/// What the administration API needs of the rest of the process.
#[derive(Debug)]
pub struct Setup {
    token: Token,
    published: Published,
    commands: mpsc::Sender<StoreCommand>,
    metrics: Arc<Metrics>,
    store_timeout: Duration,
    patience: Patience,
}

impl Setup {
    /// Starts with the customary times.
    #[must_use]
    pub const fn new(
        token: Token,
        published: Published,
        commands: mpsc::Sender<StoreCommand>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            token,
            published,
            commands,
            metrics,
            store_timeout: STORE_TIMEOUT,
            patience: PATIENCE,
        }
    }

    /// Waits this long for the platform's thread to answer a command.
    #[must_use]
    pub const fn store_timeout(mut self, timeout: Duration) -> Self {
        self.store_timeout = timeout;
        self
    }

    /// Looks this long for the outcome of a write whose answer was lost.
    #[must_use]
    pub const fn patience(mut self, patience: Patience) -> Self {
        self.patience = patience;
        self
    }
}

/// What all handlers share.
#[derive(Debug)]
pub struct Cx {
    pub(super) token: Token,
    pub(super) store: StoreClient,
    pub(super) metrics: Arc<Metrics>,
    pub(super) patience: Patience,
    published: Published,
    history: Mutex<History>,
}

impl Cx {
    /// Takes what the rest of the process gives.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        Self {
            token: setup.token,
            store: StoreClient::new(setup.commands, setup.store_timeout),
            metrics: setup.metrics,
            patience: setup.patience,
            published: setup.published,
            history: Mutex::default(),
        }
    }

    /// The newest published state; its configuration is kept in the history.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        let snapshot = Arc::clone(&self.published.borrow());
        self.keep(snapshot.config_version, &snapshot.config);
        snapshot
    }

    /// Keeps the configuration of each published state, until `published` closes.
    pub(super) async fn follow(&self) {
        let mut published = self.published.clone();
        loop {
            let _ = self.snapshot();
            if published.changed().await.is_err() {
                return;
            }
        }
    }

    /// Reads the configuration as stored: as new as what is in force, or newer.
    ///
    /// # Errors
    ///
    /// When the store does not answer, or the row is malformed.
    pub async fn stored(&self) -> Result<Stored, StoredError> {
        let stored = self.store.read_config().await?;
        self.keep(stored.version, &stored.config);
        Ok(stored)
    }

    /// Keeps a version of the configuration in the history.
    pub(super) fn keep(&self, version: Version, config: &Arc<Config>) {
        self.history().keep(version, config);
    }

    /// The configuration of a version, if it was seen here.
    #[must_use]
    pub fn seen(&self, version: Version) -> Option<Arc<Config>> {
        let _ = self.snapshot();
        self.history().get(version)
    }

    /// The newest version seen here.
    #[must_use]
    pub fn newest(&self) -> Version {
        self.history().newest()
    }

    /// A version after `base` that was seen with this very text.
    #[must_use]
    pub(super) fn stood_after(&self, base: Version, text: &str) -> Option<Version> {
        let _ = self.snapshot();
        self.history().find_after(base, text)
    }

    fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
