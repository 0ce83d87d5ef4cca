//! A small valid configuration that tests change.

use citronway_core::config::Config;
use citronway_core::request::Labels;

/// Two services, three groups, two classes, four endpoints and two rules.
const BASE: &str = r#"{
  "services": {
    "migration": {"labels": {"team": "batch"}, "default_class": "batch"},
    "console": {"default_class": "interactive"}
  },
  "groups": {
    "big": {"service": "migration", "endpoints": "app=big", "keys": "part0 in (pko,mbank)"},
    "rest": {"service": "migration", "endpoints": "app=migration"},
    "console": {"service": "console", "endpoints": "app in (console)", "callers": "tenant"}
  },
  "classes": {
    "interactive": {"priority": 0, "kept_share": 60},
    "batch": {"priority": 9, "kept_share": 20}
  },
  "endpoints": {
    "b1": {"address": "10.0.0.1:80", "zone": "a", "labels": {"app": "big"}, "slots": 6},
    "m1": {"address": "10.0.0.2:80", "zone": "a", "labels": {"app": "migration"}, "slots": 6},
    "m2": {"address": "10.0.0.3:80", "zone": "b", "labels": {"app": "migration"}, "slots": 6},
    "c1": {"address": "10.0.0.4:80", "zone": "b", "labels": {"app": "console"}, "slots": 6}
  },
  "rules": [
    {"name": "urgent", "service": "migration", "callers": "tenant=pko,urgent", "class": "interactive"},
    {"name": "rollbacks", "service": "migration", "keys": "part1=rollback", "class": "interactive"}
  ]
}"#;

/// The configuration; it has no findings.
pub fn base() -> Config {
    serde_json::from_str(BASE).expect("the base configuration is well formed")
}

/// Labels from pairs.
#[allow(dead_code, reason = "not every test file asks by labels")]
pub fn labels(pairs: &[(&str, &str)]) -> Labels {
    let pairs = pairs.iter();
    pairs
        .map(|(label, value)| ((*label).to_owned(), (*value).to_owned()))
        .collect()
}
