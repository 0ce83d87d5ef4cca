//! Builds settings without a file, for tests and tools.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use citronway_core::findings::Findings;
use citronway_core::ids::{InstanceName, ZoneName};

use super::keys;
use super::model::{Callers, Clock, Dispatch, Hold, Settings};
use super::raw::Raw;
use super::reader::Reader;
use super::secret::Secret;
use super::{rules, sections};

/// Name under which findings of built settings are reported.
const SOURCE: &str = "built settings";

/// Address of a built instance until stated; the system picks the port.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Builds [`Settings`]; what is not stated has the defaults of the file.
#[derive(Debug, Clone)]
pub struct SettingsBuilder {
    cfg: Settings,
}

impl SettingsBuilder {
    /// An instance on the local host with ports that the system picks.
    #[must_use]
    pub fn new(name: &str, zone: &str, platform: SocketAddr) -> Self {
        let mut cfg = defaults();
        cfg.instance.name = InstanceName::new(name);
        cfg.instance.zone = ZoneName::new(zone);
        cfg.instance.callers_listen = ANY_PORT;
        cfg.instance.peers_listen = ANY_PORT;
        cfg.instance.operators_listen = ANY_PORT;
        cfg.platform.address = platform;
        Self { cfg }
    }

    /// Address for callers.
    #[must_use]
    pub const fn callers_listen(mut self, address: SocketAddr) -> Self {
        self.cfg.instance.callers_listen = address;
        self
    }

    /// Address for other instances.
    #[must_use]
    pub const fn peers_listen(mut self, address: SocketAddr) -> Self {
        self.cfg.instance.peers_listen = address;
        self
    }

    /// Address of the administration API.
    #[must_use]
    pub const fn operators_listen(mut self, address: SocketAddr) -> Self {
        self.cfg.instance.operators_listen = address;
        self
    }

    /// Key that all instances share.
    #[must_use]
    pub fn shared_key(mut self, text: &str) -> Self {
        self.cfg.peers.shared_key = Secret::new(text.to_owned());
        self
    }

    /// Bearer token of the administration API.
    #[must_use]
    pub fn token(mut self, text: &str) -> Self {
        self.cfg.operators.token = Secret::new(text.to_owned());
        self
    }

    /// Time between reads of the platform, in milliseconds.
    #[must_use]
    pub const fn poll_ms(mut self, ms: u64) -> Self {
        self.cfg.platform.poll_ms = ms;
        self
    }

    /// Time between heartbeats, in milliseconds.
    #[must_use]
    pub const fn heartbeat_ms(mut self, ms: u64) -> Self {
        self.cfg.peers.heartbeat_ms = ms;
        self
    }

    /// Limits towards callers.
    #[must_use]
    pub fn callers(mut self, callers: Callers) -> Self {
        self.cfg.callers = callers;
        self
    }

    /// Hold of the dispatcher's role.
    #[must_use]
    pub fn hold(mut self, hold: Hold) -> Self {
        self.cfg.hold = hold;
        self
    }

    /// Most that two wall clocks differ, in milliseconds.
    #[must_use]
    pub const fn skew_ms(mut self, ms: u64) -> Self {
        self.cfg.clock = Clock { skew_ms: ms };
        self
    }

    /// Work towards endpoints.
    #[must_use]
    pub fn dispatch(mut self, dispatch: Dispatch) -> Self {
        self.cfg.dispatch = dispatch;
        self
    }

    /// Longest wait for requests in flight at shutdown, in milliseconds.
    #[must_use]
    pub const fn grace_ms(mut self, ms: u64) -> Self {
        self.cfg.shutdown.grace_ms = ms;
        self
    }

    /// File that events are recorded in.
    #[must_use]
    pub fn record(mut self, path: PathBuf) -> Self {
        self.cfg.trace.record = Some(path);
        self
    }

    /// The settings, if they go together.
    ///
    /// # Errors
    ///
    /// Each rule between settings that does not hold.
    pub fn build(self) -> Result<Settings, Findings> {
        let none = Findings::new();
        rules::check(&self.cfg, &none, &empty()).or_ok(self.cfg)
    }
}

/// Settings of an empty file: defaults, and stand-ins for what has none.
fn defaults() -> Settings {
    let raw = empty();
    let mut cfg = sections::read(&mut Reader::new(&raw));
    cfg.peers.shared_key = Secret::new(format!("built {}", keys::SHARED_KEY));
    cfg.operators.token = Secret::new(format!("built {}", keys::TOKEN));
    cfg
}

fn empty() -> Raw {
    Raw::empty(SOURCE)
}
