//! Stand-in for an endpoint: runs orders, checks fences if told to, keeps a
//! journal of what it ran, and misbehaves on demand.

pub mod control;
pub mod faults;
pub mod fences;
pub mod journal;
pub mod options;
pub mod order;
pub mod pace;
pub mod server;
pub mod state;

pub use faults::EndpointFaults;
pub use journal::{Journal, Run};
pub use options::{EndpointOptions, endpoint_options};
pub use order::{AnswerBody, Order};
pub use server::Endpoint;
