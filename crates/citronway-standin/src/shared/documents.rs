//! What the platform writes for an instance: its settings, routes, a configuration.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

use serde_json::{Value, json};

/// Name of the variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "CITRONWAY_BOOT";

/// Ports of an instance, below those that the system gives out by itself.
const CALLERS_PORT: u16 = 8_001;
const READY_PORT: u16 = 8_002;
const REPORTS_PORT: u16 = 8_003;

/// A loopback address of its own for each instance of each test process.
///
/// Ports that were free a moment ago are taken by other tests' connections, and an
/// instance that starts does not get them.
#[must_use]
pub fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id().to_be_bytes();
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 1 + process[2] % 250, process[3], n)
}

/// Addresses of an instance.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Its own.
    pub ip: Ipv4Addr,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready: SocketAddr,
}

impl Addresses {
    /// Those of an instance at `ip`.
    #[must_use]
    pub fn at(ip: Ipv4Addr) -> Self {
        Self {
            ip,
            callers: SocketAddr::from((ip, CALLERS_PORT)),
            ready: SocketAddr::from((ip, READY_PORT)),
        }
    }

    /// Settings of the instance `name`, which reaches the store at `store`.
    #[must_use]
    pub fn settings(&self, name: &str, store: SocketAddr) -> Value {
        json!({
            "self": {"nodeName": name, "role": "entry", "zone": "a", "region": "r",
                "ip": self.ip, "limits": {"memoryMb": 260}},
            "network": {"listen": {"front": self.callers, "ready": self.ready},
                "portRange": [REPORTS_PORT, REPORTS_PORT + 1], "endpointSource": self.ip, "seeds": [], "zones": {"a": "r"}},
            "provider": {"heartbeatS": 1.0, "provider": {"addr": store}},
            "terms": {"bounds": {"retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 64,
                "graceS": 6, "holdMaxS": 10}},
        })
    }
}

/// A route of a configuration.
#[must_use]
pub fn route(name: &str, prefix: &str, kind: &str, service: &str) -> Value {
    json!({"name": name, "host": "h.example", "pathPrefix": prefix, "kind": kind,
        "timeoutS": 3.0, "sloS": 1.0, "priority": 1, "service": service, "attempts": 2})
}

/// A configuration with two routes to `batch`, which divides its keys, two to `console`,
/// and those given.
#[must_use]
pub fn configuration(version: u64, more: &Value) -> Value {
    let mut routes = vec![
        route("look", "/look/", "idempotent", "batch"),
        route("apply", "/apply/", "non_idempotent", "batch"),
        route("status", "/status/", "idempotent", "console"),
        route("order", "/order/", "non_idempotent", "console"),
    ];
    routes.extend(more.as_array().cloned().unwrap_or_default());
    json!({"version": version, "routes": routes,
        "services": [
            {"name": "batch", "healthPath": "/healthz", "maxConns": 130, "sharded": true,
                "warmS": 1.0},
            {"name": "console", "healthPath": "/healthz", "maxConns": 130}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "headerTimeoutS": 3,
            "idleTimeoutS": 15}})
}
