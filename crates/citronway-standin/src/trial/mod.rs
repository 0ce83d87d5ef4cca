//! Small deployments for tests and measurements of failures: entries, endpoints,
//! steady traffic and links that can be cut.

mod deployment;
mod dispatchers;
mod links;
mod relay;
mod traffic;

pub use deployment::{Deployment, SERVICE, endpoint_name, entry_name};
pub use dispatchers::begun_out_of_turn;
pub use links::Links;
pub use traffic::{Mix, Traffic, TrafficPlan};
