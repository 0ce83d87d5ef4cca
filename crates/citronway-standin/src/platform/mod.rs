//! Stand-in for the platform: table service, object store and instance list.

pub mod faults;
pub mod instances;
pub mod messages;
pub mod options;
pub mod server;
pub mod tables;

pub use faults::PlatformFaults;
pub use options::{PlatformOptions, platform_options};
pub use server::Platform;
