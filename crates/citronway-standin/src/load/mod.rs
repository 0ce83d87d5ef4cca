//! The load tool: real entry processes with stand-ins at the users' sizes of
//! today, calls that arrive whatever became of earlier ones.

mod bench;
mod churn;
mod cpu;
mod deployment;
mod options;
mod plan;
mod report;
mod scenario;
mod sender;
mod table;

pub use bench::run;
pub use deployment::Deployment;
pub use options::{LoadOptions, load_options};
pub use plan::{Arrival, Plan};
pub use report::Report;
pub use scenario::Scenario;
