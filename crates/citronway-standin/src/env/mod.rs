//! Environment for tests, the tour and the load tool: stand-ins and entry
//! processes on loopback, ended and cleaned up when dropped.

pub mod admin;
pub mod child;
pub mod endpoints;
pub mod entry;
pub mod error;
pub mod evidence;
pub mod launcher;
pub mod platform;
pub mod ports;
pub mod settings;
pub mod stored;
pub mod temp;
pub mod wait;

mod environment;

pub use admin::Admin;
pub use child::Child;
pub use endpoints::EndpointHandle;
pub use entry::Entry;
pub use environment::Env;
pub use error::EnvError;
pub use evidence::Evidence;
pub use launcher::Launcher;
pub use platform::PlatformHandle;
pub use settings::{EntrySettings, Policy};
pub use wait::wait;
