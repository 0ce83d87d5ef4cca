//! What operators configure: services, groups, endpoints, classes and rules.

pub mod check;
pub mod compiled;
pub mod model;
pub mod names;
pub mod selector;

pub use check::check;
pub use compiled::{CompiledConfig, CompiledPartition, Route};
pub use model::{Class, Config, Endpoint, Group, Rule, Service, Weights};
pub use selector::Selector;
