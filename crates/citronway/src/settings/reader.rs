//! Reads single values; what is wrong is collected and a stand-in value returned.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use citronway_core::config::names::{NAME_FORM, is_name};
use citronway_core::findings::{Finding, Findings, Problem};
use citronway_core::node::SendPolicy;
use log::LevelFilter;

use super::keys::{Key, NumberKey};
use super::raw::Raw;
use super::secret::Secret;

/// Fewest bytes of a secret.
pub(super) const MIN_SECRET: usize = 16;

/// Form of addresses, as findings state it.
const ADDRESS_FORM: &str = "an IP number and a port above 0, such as 10.0.1.5:7000";

/// Words for log levels, as findings state them.
const POLICIES: &str = "`dispatcher`, `uncoordinated` or `static`";
const LEVELS: &str = "one of off, error, warn, info, debug, trace";

/// Stands in for an address that could not be read; the settings are then refused.
const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Reads values and collects findings.
#[derive(Debug)]
pub(super) struct Reader<'a> {
    raw: &'a Raw,
    findings: Findings,
}

impl<'a> Reader<'a> {
    pub(super) fn new(raw: &'a Raw) -> Self {
        Self {
            raw,
            findings: raw.findings().clone(),
        }
    }

    /// All that was found.
    pub(super) fn finish(self) -> Findings {
        self.findings
    }

    /// A required name.
    pub(super) fn name(&mut self, key: Key) -> &'a str {
        let Some(text) = self.required(key, NAME_FORM) else {
            return "";
        };
        if !is_name(text) {
            self.push(key, Problem::NotAName(text.to_owned()), NAME_FORM);
        }
        text
    }

    /// A required address.
    pub(super) fn address(&mut self, key: Key) -> SocketAddr {
        let Some(text) = self.required(key, ADDRESS_FORM) else {
            return NO_ADDRESS;
        };
        self.parse_address(key, text)
    }

    /// An address that may be absent.
    pub(super) fn optional_address(&mut self, key: Key) -> Option<SocketAddr> {
        let text = self.optional(key, ADDRESS_FORM)?;
        Some(self.parse_address(key, text))
    }

    /// A number, or its default if absent.
    pub(super) fn number(&mut self, number: &NumberKey) -> u64 {
        let expected = format!(
            "a whole number of {} from {} to {}",
            number.unit, number.min, number.max
        );
        let Some(text) = self.optional(number.key, &expected) else {
            return number.default;
        };
        let Ok(value) = text.parse::<u64>() else {
            self.push(number.key, Problem::NotANumber(text.to_owned()), expected);
            return number.default;
        };
        if (number.min..=number.max).contains(&value) {
            return value;
        }
        self.push(number.key, Problem::OutOfRange(text.to_owned()), expected);
        number.default
    }

    /// A log level, `info` if absent.
    pub(super) fn level(&mut self, key: Key) -> LevelFilter {
        let Some(text) = self.optional(key, LEVELS) else {
            return LevelFilter::Info;
        };
        if let Ok(level) = text.parse() {
            return level;
        }
        self.push(key, Problem::UnknownWord(text.to_owned()), LEVELS);
        LevelFilter::Info
    }

    /// How orders are sent, through the dispatcher if absent.
    pub(super) fn policy(&mut self, key: Key) -> SendPolicy {
        match self.optional(key, POLICIES) {
            None | Some("dispatcher") => SendPolicy::Dispatcher,
            Some("uncoordinated") => SendPolicy::Uncoordinated,
            Some("static") => SendPolicy::StaticSplit,
            Some(text) => {
                let problem = Problem::UnknownWord(text.to_owned());
                self.push(key, problem, POLICIES);
                SendPolicy::Dispatcher
            }
        }
    }

    /// A path that may be absent.
    pub(super) fn optional_path(&mut self, key: Key) -> Option<PathBuf> {
        self.optional(key, "a path").map(PathBuf::from)
    }

    /// A secret, either stated or in a file of its own.
    pub(super) fn secret(&mut self, stated: Key, in_file: Key) -> Secret {
        let expected = format!("`{}` or `{}`, one of both", stated.name, in_file.name);
        let text = self.optional(stated, &expected);
        let path = self.optional(in_file, &expected);
        match (text, path) {
            (Some(text), None) => self.long_enough(stated, text.to_owned()),
            (None, Some(path)) => self.secret_file(in_file, path),
            (None, None) => {
                if !self.findings.at(&stated.to_string()) && !self.findings.at(&in_file.to_string())
                {
                    self.push(stated, Problem::Missing, expected);
                }
                Secret::new(String::new())
            }
            (Some(_), Some(_)) => {
                let problem = Problem::Excluded(in_file.to_string());
                self.push(stated, problem, expected);
                Secret::new(String::new())
            }
        }
    }

    fn secret_file(&mut self, key: Key, path: &str) -> Secret {
        match std::fs::read_to_string(path) {
            Ok(text) => self.long_enough(key, text.trim().to_owned()),
            Err(error) => {
                let problem = Problem::Unreadable(error.to_string());
                self.push(key, problem, "path of a readable file");
                Secret::new(String::new())
            }
        }
    }

    fn long_enough(&mut self, key: Key, text: String) -> Secret {
        if text.len() < MIN_SECRET {
            let expected = format!("at least {MIN_SECRET} bytes");
            self.push(key, Problem::SecretTooShort, expected);
        }
        Secret::new(text)
    }

    fn parse_address(&mut self, key: Key, text: &str) -> SocketAddr {
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() > 0 => address,
            _ => {
                self.push(key, Problem::NotAnAddress(text.to_owned()), ADDRESS_FORM);
                NO_ADDRESS
            }
        }
    }

    fn required(&mut self, key: Key, expected: &str) -> Option<&'a str> {
        if self.raw.value(key).is_none() {
            self.push(key, Problem::Missing, expected);
        }
        self.optional(key, expected)
    }

    fn optional(&mut self, key: Key, expected: &str) -> Option<&'a str> {
        let text = self.raw.value(key)?;
        if text.is_empty() {
            self.push(key, Problem::Empty, expected);
            return None;
        }
        Some(text)
    }

    fn push(&mut self, key: Key, problem: Problem, expected: impl Into<String>) {
        let place = self.raw.place(key);
        self.findings.push(Finding::new(place, problem, expected));
    }
}
