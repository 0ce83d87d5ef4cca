//! Steady load while the store is down, and many requests under random faults.

mod faults;
mod options;
mod report;
mod run;

pub use faults::{FaultKind, Faults};
pub use options::{OutageOptions, outage_options};
pub use report::Report;
pub use run::run;
