//! Settings file of an entry. The only place that knows its keys.

use std::net::SocketAddr;
use std::str::FromStr;

use citronway_core::ids::{InstanceName, ZoneName};
use thiserror::Error;

/// How entries send work to endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// Through the endpoint's only dispatcher.
    #[default]
    Dispatcher,
    /// Directly, each entry with a limit of its own.
    Uncoordinated,
    /// Directly, each entry with a fixed share of the slots.
    Static,
}

/// The name of no policy.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unknown policy {0}")]
pub struct UnknownPolicy(pub String);

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Self, UnknownPolicy> {
        match name {
            "dispatcher" => Ok(Self::Dispatcher),
            "uncoordinated" => Ok(Self::Uncoordinated),
            "static" => Ok(Self::Static),
            _ => Err(UnknownPolicy(name.to_owned())),
        }
    }
}

impl Policy {
    /// Name in settings.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Dispatcher => "dispatcher",
            Self::Uncoordinated => "uncoordinated",
            Self::Static => "static",
        }
    }
}

/// What an entry has to be told; all else keeps its default.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name of the instance.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it takes callers' requests.
    pub callers: SocketAddr,
    /// Where it listens for other instances.
    pub peers: SocketAddr,
    /// Where other instances reach it, if that differs.
    pub peers_advertise: Option<SocketAddr>,
    /// Where operators reach it.
    pub operators: SocketAddr,
    /// Where the platform is.
    pub platform: SocketAddr,
    /// Key that instances share.
    pub shared_key: String,
    /// Token of operators.
    pub token: String,
    /// How it sends; `None` leaves the key out.
    pub policy: Option<Policy>,
    /// Longest time that callers wait and orders run, in milliseconds; `None`
    /// keeps the defaults.
    pub max_order_ms: Option<u64>,
    /// Further sections, as INI.
    pub further: String,
}

impl EntrySettings {
    /// Where other instances reach it.
    #[must_use]
    pub fn advertised(&self) -> SocketAddr {
        self.peers_advertise.unwrap_or(self.peers)
    }

    /// The settings as INI.
    #[must_use]
    pub fn to_ini(&self) -> String {
        let mut ini = format!(
            "[instance]\n\
             name = {}\n\
             zone = {}\n\
             callers_listen = {}\n\
             peers_listen = {}\n\
             peers_advertise = {}\n\
             operators_listen = {}\n\
             \n\
             [platform]\n\
             address = {}\n\
             \n\
             [peers]\n\
             shared_key = {}\n\
             \n\
             [operators]\n\
             token = {}\n",
            self.name,
            self.zone,
            self.callers,
            self.peers,
            self.advertised(),
            self.operators,
            self.platform,
            self.shared_key,
            self.token,
        );
        self.add_limits(&mut ini);
        ini.push_str(&self.further);
        ini
    }

    fn add_limits(&self, ini: &mut String) {
        let mut dispatch = String::new();
        if let Some(policy) = self.policy {
            dispatch.push_str(&format_line("policy", policy.name()));
        }
        if let Some(ms) = self.max_order_ms {
            let ms = ms.to_string();
            ini.push_str("\n[callers]\n");
            ini.push_str(&format_line("default_timeout_ms", &ms));
            ini.push_str(&format_line("max_timeout_ms", &ms));
            dispatch.push_str(&format_line("max_order_ms", &ms));
        }
        if !dispatch.is_empty() {
            ini.push_str("\n[dispatch]\n");
            ini.push_str(&dispatch);
        }
    }
}

fn format_line(key: &str, value: &str) -> String {
    format!("{key} = {value}\n")
}
