//! Rows and configuration that others stored and this instance can't use.

use citronway_core::findings::Findings;
use indexmap::IndexMap;

/// Most findings of one configuration that are logged; the rest is counted.
const MAX_LOGGED_FINDINGS: usize = 20;

/// Table or row that holds unusable content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Source {
    /// The operator's configuration, or a part of it.
    Configuration,
    /// An endpoint's entry.
    Entry,
    /// A row of the product's own table.
    OwnRow,
    /// A limit that an endpoint states in an answer.
    Limit,
    /// A statement of an endpoint that it leaves.
    Leaving,
    /// A rest for which an endpoint asks.
    Rest,
    /// The era that an answer of the store states.
    StoreEra,
}

impl Source {
    /// Label for metrics.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Entry => "entry",
            Self::OwnRow => "own_row",
            Self::Limit => "limit",
            Self::Leaving => "leaving",
            Self::Rest => "rest",
            Self::StoreEra => "store_era",
        }
    }
}

/// Unusable content, tracked so that each case is logged once and counted.
#[derive(Debug, Default)]
pub(super) struct Unusable {
    /// Cause of the last rejection of each row, by source and key.
    causes: IndexMap<(Source, String), String>,
    counts: IndexMap<Source, u64>,
}

impl Unusable {
    pub(super) fn count(&mut self, source: Source, more: u64) {
        *self.counts.entry(source).or_default() += more;
    }

    /// Logs and counts the findings of a configuration whose other parts are in force.
    pub(super) fn record_findings(&mut self, findings: &Findings) {
        for finding in findings.iter().take(MAX_LOGGED_FINDINGS) {
            log::error!(cause = finding.to_string(); "part of the configuration cannot be used");
        }
        let rest = findings.len().saturating_sub(MAX_LOGGED_FINDINGS);
        if rest > 0 {
            log::error!(rest; "further parts of the configuration cannot be used");
        }
        self.count(Source::Configuration, findings.len() as u64);
    }

    /// Logs and counts a row that can't be used.
    ///
    /// Load: an endpoint's entry is written each second, so a row is logged again only when
    /// the cause changes.
    pub(super) fn record_row(&mut self, source: Source, key: &str, cause: String) {
        let at = (source, key.to_owned());
        if self.causes.get(&at) == Some(&cause) {
            return;
        }
        let table = source.label();
        log::error!(table, key, cause = cause.as_str(); "row cannot be used");
        self.causes.insert(at, cause);
        self.count(source, 1);
    }

    /// Counts statements of the store about its era that can't be used, and logs their cause when it
    /// changes.
    pub(super) fn record_era(&mut self, cause: String, more: u64) {
        self.count(Source::StoreEra, more);
        let at = (Source::StoreEra, String::new());
        if self.causes.get(&at) != Some(&cause) {
            log::error!(cause = cause.as_str(); "era of the store cannot be used");
            self.causes.insert(at, cause);
        }
    }

    /// Forgets a row that can be used or was removed.
    pub(super) fn clear(&mut self, source: Source, key: &str) {
        self.causes.swap_remove(&(source, key.to_owned()));
    }

    /// Returns the counts since the last call.
    pub(super) fn take_counts(&mut self) -> IndexMap<Source, u64> {
        std::mem::take(&mut self.counts)
    }
}
