//! All keys of the settings file, with defaults and ranges.

use std::fmt;

/// A key in its section.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key {
    /// Section it stands in.
    pub section: &'static str,
    /// Name within the section.
    pub name: &'static str,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.section, self.name)
    }
}

/// Unit of a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Milliseconds.
    Milliseconds,
    /// Bytes.
    Bytes,
    /// A count of requests.
    Requests,
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Milliseconds => "milliseconds",
            Self::Bytes => "bytes",
            Self::Requests => "requests",
        })
    }
}

/// A key whose value is a number; it may be absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NumberKey {
    /// The key.
    pub key: Key,
    /// Unit of the value.
    pub unit: Unit,
    /// Value if the key is absent.
    pub default: u64,
    /// Lowest value.
    pub min: u64,
    /// Highest value.
    pub max: u64,
}

const fn key(section: &'static str, name: &'static str) -> Key {
    Key { section, name }
}

const fn ms(
    section: &'static str,
    name: &'static str,
    default: u64,
    min: u64,
    max: u64,
) -> NumberKey {
    NumberKey {
        key: key(section, name),
        unit: Unit::Milliseconds,
        default,
        min,
        max,
    }
}

const fn count(name: Key, unit: Unit, default: u64, max: u64) -> NumberKey {
    NumberKey {
        key: name,
        unit,
        default,
        min: 1,
        max,
    }
}

const HOUR: u64 = 3_600_000;
const MINUTE: u64 = 60_000;
const MIB: u64 = 1_048_576;

pub(super) const NAME: Key = key("instance", "name");
pub(super) const ZONE: Key = key("instance", "zone");
pub(super) const CALLERS_LISTEN: Key = key("instance", "callers_listen");
pub(super) const PEERS_LISTEN: Key = key("instance", "peers_listen");
pub(super) const PEERS_ADVERTISE: Key = key("instance", "peers_advertise");
pub(super) const OPERATORS_LISTEN: Key = key("instance", "operators_listen");
pub(super) const ADDRESS: Key = key("platform", "address");
pub(super) const SHARED_KEY: Key = key("peers", "shared_key");
pub(super) const SHARED_KEY_FILE: Key = key("peers", "shared_key_file");
pub(super) const TOKEN: Key = key("operators", "token");
pub(super) const TOKEN_FILE: Key = key("operators", "token_file");
pub(super) const LEVEL: Key = key("log", "level");
pub(super) const POLICY: Key = key("dispatch", "policy");
pub(super) const RECORD: Key = key("trace", "record");

pub(super) const PLATFORM_TIMEOUT: NumberKey = ms("platform", "timeout_ms", 1_000, 10, MINUTE);
pub(super) const POLL: NumberKey = ms("platform", "poll_ms", 500, 50, MINUTE);
pub(super) const HEARTBEAT: NumberKey = ms("peers", "heartbeat_ms", 200, 10, 5_000);
pub(super) const PEERS_TIMEOUT: NumberKey = ms("peers", "timeout_ms", 500, 10, MINUTE);
pub(super) const MAX_BODY: NumberKey =
    count(key("callers", "max_body_bytes"), Unit::Bytes, MIB, 64 * MIB);
pub(super) const HEADER_TIMEOUT: NumberKey = ms("callers", "header_timeout_ms", 5_000, 10, MINUTE);
pub(super) const BODY_TIMEOUT: NumberKey = ms("callers", "body_timeout_ms", 10_000, 10, HOUR);
pub(super) const DEFAULT_TIMEOUT: NumberKey = ms("callers", "default_timeout_ms", 10_000, 1, HOUR);
pub(super) const MAX_TIMEOUT: NumberKey = ms("callers", "max_timeout_ms", MINUTE, 1, HOUR);
pub(super) const MAX_IN_FLIGHT: NumberKey = count(
    key("callers", "max_in_flight"),
    Unit::Requests,
    2_000,
    1_000_000,
);
pub(super) const PROMISE: NumberKey = ms("hold", "promise_ms", 800, 50, MINUTE);
pub(super) const ASK: NumberKey = ms("hold", "ask_ms", 200, 10, 30_000);
pub(super) const SUSPICION: NumberKey = ms("hold", "suspicion_ms", 450, 20, MINUTE);
pub(super) const SKEW: NumberKey = ms("clock", "skew_ms", 100, 0, 10_000);
pub(super) const GRANT: NumberKey = ms("dispatch", "grant_ms", 1_000, 50, MINUTE);
pub(super) const RENEW: NumberKey = ms("dispatch", "renew_ms", 250, 10, 30_000);
pub(super) const MAX_ORDER: NumberKey = ms("dispatch", "max_order_ms", 30_000, 10, HOUR);
pub(super) const QUEUE_LIMIT: NumberKey =
    count(key("dispatch", "queue_limit"), Unit::Requests, 200, 100_000);
pub(super) const DUPLICATE_WINDOW: NumberKey = ms(
    "dispatch",
    "duplicate_window_ms",
    10 * MINUTE,
    100,
    24 * HOUR,
);
pub(super) const PROBE_TIMEOUT: NumberKey = ms("dispatch", "probe_timeout_ms", 300, 10, MINUTE);
pub(super) const LAME_DUCK: NumberKey = ms("shutdown", "lame_duck_ms", 500, 0, MINUTE);
pub(super) const GRACE: NumberKey = ms("shutdown", "grace_ms", 30_000, 0, HOUR);

/// Keys whose values are numbers.
pub const NUMBERS: &[NumberKey] = &[
    PLATFORM_TIMEOUT,
    POLL,
    HEARTBEAT,
    PEERS_TIMEOUT,
    MAX_BODY,
    HEADER_TIMEOUT,
    BODY_TIMEOUT,
    DEFAULT_TIMEOUT,
    MAX_TIMEOUT,
    MAX_IN_FLIGHT,
    PROMISE,
    ASK,
    SUSPICION,
    SKEW,
    GRANT,
    RENEW,
    MAX_ORDER,
    QUEUE_LIMIT,
    DUPLICATE_WINDOW,
    PROBE_TIMEOUT,
    LAME_DUCK,
    GRACE,
];

/// Keys whose values are text.
pub const TEXTS: &[Key] = &[
    NAME,
    ZONE,
    CALLERS_LISTEN,
    PEERS_LISTEN,
    PEERS_ADVERTISE,
    OPERATORS_LISTEN,
    ADDRESS,
    SHARED_KEY,
    SHARED_KEY_FILE,
    TOKEN,
    TOKEN_FILE,
    LEVEL,
    POLICY,
    RECORD,
];

/// All keys.
pub fn all() -> impl Iterator<Item = Key> {
    let numbers = NUMBERS.iter().map(|number| number.key);
    TEXTS.iter().copied().chain(numbers)
}
