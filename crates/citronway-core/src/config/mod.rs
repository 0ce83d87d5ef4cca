//! What operators configure: services, groups, endpoints, classes and rules.

pub mod model;
pub mod names;
pub mod selector;

pub use model::{Class, Config, Endpoint, Group, Rule, Service, Weights};
