//! Sizes of a scene, and the names that follow from them.

use citronway_core::ids::{EndpointName, ServiceName, Session, ZoneName};

/// Tables that an instance follows, the configuration first.
pub const TABLES: [&str; 4] = ["config", "planner", "assignment", "dispatch"];
/// Zones that instances and endpoints are spread over.
const ZONES: u32 = 3;

/// How large the system is, and which part of it falls to the instance.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Instances, the measured one included.
    pub instances: u32,
    /// Endpoints of the one service.
    pub endpoints: u32,
    /// Shards of the service.
    pub shards: u32,
    /// Endpoints that the measured instance dispatches.
    pub mine: u32,
    /// Endpoints that the measured instance is a successor of.
    pub succeeds: u32,
    /// Whether the measured instance is the elected planner.
    pub plans: bool,
}

impl Shape {
    /// The smaller of today's deployments: 12 instances, 36 endpoints.
    pub const fn today() -> Self {
        Self {
            instances: 12,
            endpoints: 36,
            shards: 256,
            mine: 3,
            succeeds: 6,
            plans: false,
        }
    }

    /// An instance other than the measured one.
    pub fn other(&self, number: u32) -> Session {
        session(1 + number % (self.instances - 1))
    }
}

/// The session that is measured.
pub fn me() -> Session {
    session(0)
}

/// Session of the instance with this number.
pub fn session(index: u32) -> Session {
    Session::new(&format!("entry-{index:04}"), 1)
}

/// Zone of the instance or endpoint with this number.
pub fn zone(index: u32) -> ZoneName {
    ZoneName::new(&format!("zone-{}", index % ZONES))
}

/// Endpoint with this number.
pub fn endpoint(index: u32) -> EndpointName {
    EndpointName::new(&format!("intake-{index:04}"))
}

/// The one service.
pub fn service() -> ServiceName {
    ServiceName::new("intake")
}
