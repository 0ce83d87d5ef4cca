//! One entry instance of citronway: a thread for each duty, joined by bounded rings.

pub mod callers;
pub mod cli;
pub mod clock;
pub mod endpoints;
pub mod platform;
pub mod settings;
