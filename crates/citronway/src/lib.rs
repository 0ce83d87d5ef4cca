//! One entry instance of citronway: a thread for each duty, joined by bounded rings.

pub mod answer_head;
pub mod callers;
pub mod cli;
pub mod clock;
mod decide;
pub mod endpoints;
pub mod gateway;
pub mod logs;
pub mod metrics;
mod observe;
mod operator_calls;
pub mod operators;
pub mod peers;
pub mod platform;
mod publish;
mod rings;
mod run;
pub mod settings;

pub use run::{Error, check, run};
