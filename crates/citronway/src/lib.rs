//! Entry instance of citronway.

pub mod logs;
pub mod metrics;
pub mod operators;
pub mod settings;
