//! Rules between settings.

use std::net::SocketAddr;

use citronway_core::findings::{Finding, Findings, Problem};

use super::keys::{self, Key};
use super::model::Settings;
use super::raw::Raw;

/// A rule between two settings.
struct Rule {
    /// Setting that is reported.
    key: Key,
    /// Setting it is compared with.
    other: Key,
    /// Whether the rule holds.
    holds: bool,
    /// The rule, as findings state it.
    expected: &'static str,
}

/// Checks all rules whose settings could be read.
///
/// A setting that could not be read has its default here, about which a rule
/// would say something that is not in the file.
pub(super) fn check(cfg: &Settings, found: &Findings, raw: &Raw) -> Findings {
    let mut findings = Findings::new();
    let rules = timing(cfg)
        .into_iter()
        .chain(limits(cfg))
        .chain(addresses(cfg));
    for rule in rules {
        if rule.holds {
            continue;
        }
        if found.at(&rule.key.to_string()) || found.at(&rule.other.to_string()) {
            continue;
        }
        let problem = Problem::Clash {
            other: rule.other.to_string(),
        };
        findings.push(Finding::new(raw.place(rule.key), problem, rule.expected));
    }
    findings
}

fn timing(cfg: &Settings) -> [Rule; 4] {
    [
        // One lost question or answer must not end the hold.
        Rule {
            key: keys::ASK.key,
            other: keys::PROMISE.key,
            holds: cfg.hold.ask_ms * 2 < cfg.hold.promise_ms,
            expected: "twice ask_ms below promise_ms",
        },
        // One lost heartbeat must not start a takeover.
        Rule {
            key: keys::SUSPICION.key,
            other: keys::HEARTBEAT.key,
            holds: cfg.hold.suspicion_ms > cfg.peers.heartbeat_ms * 2,
            expected: "suspicion_ms above twice heartbeat_ms",
        },
        // One lost renewal must not end the grant.
        Rule {
            key: keys::GRANT.key,
            other: keys::RENEW.key,
            holds: cfg.dispatch.grant_ms > cfg.dispatch.renew_ms * 2,
            expected: "grant_ms above twice renew_ms",
        },
        // An endpoint whose clock is ahead would see each grant as ended before its renewal.
        Rule {
            key: keys::GRANT.key,
            other: keys::SKEW.key,
            holds: cfg.dispatch.grant_ms > cfg.dispatch.renew_ms + cfg.clock.skew_ms,
            expected: "grant_ms above renew_ms and skew_ms together",
        },
    ]
}

fn limits(cfg: &Settings) -> [Rule; 3] {
    [
        Rule {
            key: keys::DEFAULT_TIMEOUT.key,
            other: keys::MAX_TIMEOUT.key,
            holds: cfg.callers.default_timeout_ms <= cfg.callers.max_timeout_ms,
            expected: "default_timeout_ms at most max_timeout_ms",
        },
        // A caller that tries again while it still waits must find its first try.
        Rule {
            key: keys::DUPLICATE_WINDOW.key,
            other: keys::MAX_TIMEOUT.key,
            holds: cfg.dispatch.duplicate_window_ms >= cfg.callers.max_timeout_ms,
            expected: "duplicate_window_ms at least max_timeout_ms",
        },
        Rule {
            key: keys::DUPLICATE_WINDOW.key,
            other: keys::MAX_ORDER.key,
            holds: cfg.dispatch.duplicate_window_ms >= cfg.dispatch.max_order_ms,
            expected: "duplicate_window_ms at least max_order_ms",
        },
    ]
}

fn addresses(cfg: &Settings) -> [Rule; 4] {
    let instance = &cfg.instance;
    let pair = |key, other, holds| Rule {
        key,
        other,
        holds,
        expected: "an address of its own",
    };
    [
        pair(
            keys::PEERS_LISTEN,
            keys::CALLERS_LISTEN,
            apart(instance.peers_listen, instance.callers_listen),
        ),
        pair(
            keys::OPERATORS_LISTEN,
            keys::CALLERS_LISTEN,
            apart(instance.operators_listen, instance.callers_listen),
        ),
        pair(
            keys::OPERATORS_LISTEN,
            keys::PEERS_LISTEN,
            apart(instance.operators_listen, instance.peers_listen),
        ),
        // Other instances cannot connect to 0.0.0.0.
        Rule {
            key: keys::PEERS_LISTEN,
            other: keys::PEERS_ADVERTISE,
            holds: !instance.peer_address().ip().is_unspecified(),
            expected: "peers_advertise stated when peers_listen means all addresses",
        },
    ]
}

/// Whether two listeners can stand side by side; port 0 lets the system pick.
fn apart(a: SocketAddr, b: SocketAddr) -> bool {
    a.port() == 0 || a.port() != b.port() || (a.ip() != b.ip() && !shares_all(a, b))
}

/// Whether one of both listens on all addresses, and so on the other's too.
fn shares_all(a: SocketAddr, b: SocketAddr) -> bool {
    a.ip().is_unspecified() || b.ip().is_unspecified()
}
