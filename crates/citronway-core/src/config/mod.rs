//! What operators configure: services, groups, endpoints, classes and rules.

pub mod change;
pub mod check;
pub mod compiled;
pub mod diff;
pub mod model;
pub mod names;
pub mod selector;
pub mod version;

pub use change::{Change, Labelled, Selecting, change};
pub use check::check;
pub use compiled::{CompiledConfig, CompiledPartition, Route};
pub use diff::{Conflict, Difference, diff};
pub use model::{Class, Config, Endpoint, Group, Rule, Service, Weights};
pub use selector::Selector;
pub use version::{ConfigAction, ConfigEvent, InForce};
