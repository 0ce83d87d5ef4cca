//! An instance in front of endpoints, on a store that others run.
//!
//! Two threads: `traffic` takes callers' requests and sends them to endpoints,
//! `control` follows the store, tells the other instances what is in flight and,
//! where this instance is the leader, grants keys. A bounded ring carries what the
//! traffic saw to `control`; the view that `control` publishes goes the other way.
//! A third thread writes the logs.

mod control;
mod http_link;
mod metrics;
mod ready;
mod run;
mod traffic;

pub use run::{Error, check, finish_duty, run, settings_path};
