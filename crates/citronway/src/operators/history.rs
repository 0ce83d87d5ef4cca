//! Configurations that this instance has seen, to show what a conflict is about.

use std::sync::Arc;

use indexmap::IndexMap;

use citronway_core::config::Config;
use citronway_core::ids::Version;

/// Most versions that are kept.
pub const MAX_VERSIONS: usize = 32;

/// The last versions of the configuration, as seen here; some may be missing.
#[derive(Debug, Default)]
pub struct History {
    versions: IndexMap<Version, Arc<Config>>,
}

impl History {
    /// Keeps a version; the lowest one goes when there are too many.
    pub fn keep(&mut self, version: Version, config: &Arc<Config>) {
        if version == Version(0) || self.versions.contains_key(&version) {
            return;
        }
        self.versions.insert_sorted(version, Arc::clone(config));
        if self.versions.len() > MAX_VERSIONS {
            self.versions.shift_remove_index(0);
        }
    }

    /// The configuration of a version, if it was seen; version 0 is empty.
    #[must_use]
    pub fn get(&self, version: Version) -> Option<Arc<Config>> {
        if version == Version(0) {
            return Some(Arc::default());
        }
        self.versions.get(&version).cloned()
    }

    /// The newest version seen, or 0.
    #[must_use]
    pub fn newest(&self) -> Version {
        self.versions
            .last()
            .map_or(Version(0), |(version, _)| *version)
    }

    /// The first version after `base` that was seen with this very text.
    ///
    /// Text is compared and not the maps, which ignore their order: the order of
    /// groups and rules decides.
    #[must_use]
    pub fn find_after(&self, base: Version, text: &str) -> Option<Version> {
        for (version, seen) in &self.versions {
            if *version <= base {
                continue;
            }
            if serde_json::to_string(seen).is_ok_and(|seen| seen == text) {
                return Some(*version);
            }
        }
        None
    }
}
