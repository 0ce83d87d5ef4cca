//! The load tool: real entry processes with stand-ins at the users' sizes of
//! today, calls that arrive whatever became of earlier ones.

mod bench;
mod churn;
mod control;
pub mod cpu;
mod deployment;
mod options;
mod plan;
mod report;
mod scenario;
mod sender;
mod table;

use std::time::Duration;

pub use bench::run;
pub use deployment::Deployment;
pub use options::{LoadOptions, load_options};
pub use plan::{Arrival, Plan};
pub use report::Report;
pub use scenario::Scenario;

/// Longest wait for the metrics of an entry.
const METRICS_TIMEOUT: Duration = Duration::from_secs(2);
