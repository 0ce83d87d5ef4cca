//! Keeps the configuration in force; its version only grows.

use std::sync::Arc;

use indexmap::IndexMap;

use super::super::compiled::CompiledConfig;
use super::super::model::Config;
use super::event::{ConfigAction, ConfigEvent};
use super::hearing::{Hearing, STALE_AFTER_MS};
use crate::findings::{Finding, Findings, Place, Problem};
use crate::ids::{InstanceName, Version};
use crate::outcome::NotRunReason;
use crate::time::Mono;

/// Time between two tries to get a version that exists, in milliseconds.
const RETRY_MS: u64 = 500;

/// The configuration in force at an instance, and what is known of newer ones.
///
/// It needs an event, such as a tick, at least every second: a longer gap counts
/// as a pause of the process.
#[derive(Debug, Clone, Default)]
pub struct InForce {
    current: Option<Current>,
    highest: Version,
    behind_since: Option<Mono>,
    fetched: Option<Mono>,
    offered: IndexMap<InstanceName, Mono>,
    hearing: Hearing,
}

#[derive(Debug, Clone)]
struct Current {
    version: Version,
    value: String,
    config: Arc<CompiledConfig>,
}

impl InForce {
    /// An instance that has just started and knows no configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Version in force; 0 if there is none yet.
    #[must_use]
    pub fn version(&self) -> Version {
        self.current
            .as_ref()
            .map_or(Version(0), |current| current.version)
    }

    /// Highest version that is known to exist.
    #[must_use]
    pub const fn highest(&self) -> Version {
        self.highest
    }

    /// Content of the row in force, to offer it to peers.
    #[must_use]
    pub fn value(&self) -> Option<&str> {
        self.current.as_ref().map(|current| current.value.as_str())
    }

    /// The configuration in force, however old the last news of it is.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<CompiledConfig>> {
        self.current.as_ref().map(|current| &current.config)
    }

    /// The configuration to serve by.
    ///
    /// # Errors
    ///
    /// `StaleConfig` when there is none, when neither the store nor a peer was
    /// heard for [`STALE_AFTER_MS`], or when a newer version has been known that
    /// long and could not be had: callers elsewhere are then already served by it.
    pub fn config(&self, now: Mono) -> Result<&Arc<CompiledConfig>, NotRunReason> {
        let current = self.current.as_ref().ok_or(NotRunReason::StaleConfig)?;
        if self.hearing.is_stale(now) || self.is_left_behind(now) {
            return Err(NotRunReason::StaleConfig);
        }
        Ok(&current.config)
    }

    /// Takes an event and says what to do.
    pub fn apply(&mut self, event: &ConfigEvent, now: Mono) -> Vec<ConfigAction> {
        self.hearing.observe(now);
        let mut actions = Vec::new();
        match event {
            ConfigEvent::StoreRead {
                asked,
                version,
                value,
            } => {
                if self.is_news(*version) {
                    self.hearing.answer(*asked);
                }
                self.row(*version, value, now, &mut actions);
            }
            ConfigEvent::PeerRow { version, value, .. } => {
                if self.is_news(*version) {
                    self.hearing.message(now);
                }
                self.row(*version, value, now, &mut actions);
            }
            ConfigEvent::Heartbeat { peer, version } => {
                self.heartbeat(peer, *version, now, &mut actions);
            }
            // No row although one is in force is an old state of the store.
            ConfigEvent::StoreEmpty { .. } | ConfigEvent::Tick => {}
        }
        self.fetch(now, &mut actions);
        actions
    }

    /// Whether the sender of the version is not behind this instance.
    ///
    /// A store that was restored from an old state, or a peer that is cut off
    /// itself, says nothing about newer versions.
    fn is_news(&self, version: Version) -> bool {
        version >= self.version()
    }

    /// Applies a row if its version is higher than the one in force.
    ///
    /// A read may be answered late or from an old state of the store, after a
    /// newer row came from a peer; applying it would take an accepted change
    /// back. Versions only grow, so the lower one is always the older.
    fn row(&mut self, version: Version, value: &str, now: Mono, actions: &mut Vec<ConfigAction>) {
        self.learn(version, now);
        if version <= self.version() {
            return;
        }
        match compile(value) {
            Ok(config) => {
                self.current = Some(Current {
                    version,
                    value: value.to_owned(),
                    config: Arc::new(config),
                });
                self.progress(now);
                actions.push(ConfigAction::Applied { version });
            }
            Err(findings) => actions.push(ConfigAction::Refused {
                version,
                findings: findings.to_string(),
            }),
        }
    }

    fn heartbeat(
        &mut self,
        peer: &InstanceName,
        version: Version,
        now: Mono,
        actions: &mut Vec<ConfigAction>,
    ) {
        if self.is_news(version) {
            self.hearing.message(now);
            self.offered.shift_remove(peer);
            self.learn(version, now);
            return;
        }
        let last = self.offered.get(peer);
        if last.is_some_and(|last| now.since(*last) < RETRY_MS) {
            return;
        }
        self.offered.insert(peer.clone(), now);
        actions.push(ConfigAction::Offer { peer: peer.clone() });
    }

    fn learn(&mut self, version: Version, now: Mono) {
        if version <= self.highest {
            return;
        }
        self.highest = version;
        self.fetched = None;
        self.behind_since.get_or_insert(now);
    }

    /// Notes that a newer version is in force now, though perhaps not the newest.
    fn progress(&mut self, now: Mono) {
        self.behind_since = (self.version() < self.highest).then_some(now);
    }

    fn fetch(&mut self, now: Mono, actions: &mut Vec<ConfigAction>) {
        if self.behind_since.is_none() {
            return;
        }
        if self.fetched.is_some_and(|at| now.since(at) < RETRY_MS) {
            return;
        }
        self.fetched = Some(now);
        actions.push(ConfigAction::Fetch {
            at_least: self.highest,
        });
    }

    fn is_left_behind(&self, now: Mono) -> bool {
        self.behind_since
            .is_some_and(|since| now.since(since) >= STALE_AFTER_MS)
    }
}

fn compile(value: &str) -> Result<CompiledConfig, Findings> {
    let config: Config = serde_json::from_str(value).map_err(|error| malformed(&error))?;
    CompiledConfig::new(config)
}

fn malformed(error: &serde_json::Error) -> Findings {
    let place = Place {
        line: Some(error.line()),
        ..Place::new("config").column(error.column())
    };
    Findings::from(Finding::new(
        place,
        Problem::Unreadable(error.to_string()),
        "JSON text of a configuration",
    ))
}
