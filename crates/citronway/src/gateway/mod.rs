//! An instance in front of endpoints, on a store that is run by others.
//!
//! There are two threads: `traffic` accepts callers' requests and forwards them to endpoints;
//! `control` follows the store, reports the requests in flight to the other instances and, on
//! the leader, grants keys. A bounded channel carries reports from `traffic` to `control`; the
//! view that `control` publishes goes the other way. A third thread writes the logs.

mod control;
mod division_metrics;
mod fleet_metrics;
mod head_guard;
mod http_link;
mod lingering;
mod memory_metrics;
mod metrics;
mod pipeline_metrics;
mod ready;
mod retry_metrics;
mod run;
mod statement_metrics;
mod traffic;
mod wrong_answer;

pub use run::{Error, check, finish_duty, run, settings_path};
