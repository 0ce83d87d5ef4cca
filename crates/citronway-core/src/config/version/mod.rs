//! Which version of the configuration is in force at an instance.

mod event;
mod hearing;
mod in_force;
mod replay;

pub use event::{ConfigAction, ConfigEvent};
pub use in_force::InForce;
pub use replay::{Decision, RecordedEvent, replay};
