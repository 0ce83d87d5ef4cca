//! Stand-ins for the platform and the endpoints, and what tests, the tour and
//! the load tool share. Not shipped.

pub mod caller;
pub mod endpoint;
pub mod env;
pub mod host;
pub mod http;
pub mod load;
pub mod losses;
pub mod measure;
pub mod outage;
pub mod platform;
pub mod process;
pub mod shared;
pub mod soak;
pub mod tour;
pub mod trial;
