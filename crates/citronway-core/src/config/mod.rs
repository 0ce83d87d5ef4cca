//! What operators configure: services, groups, endpoints, classes and rules.

pub mod model;

pub use model::{Class, Config, Endpoint, Group, Rule, Service, Weights};
