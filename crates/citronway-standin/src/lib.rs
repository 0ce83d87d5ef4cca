//! Stand-ins for the platform and the endpoints, and what tests, the tour and
//! the load tool share. Not shipped.

pub mod caller;
pub mod endpoint;
pub mod env;
pub mod http;
pub mod platform;
pub mod process;
