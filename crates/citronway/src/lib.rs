//! Entry instance of citronway: a thread for each duty, joined by bounded rings.

pub mod callers;
pub mod endpoints;
pub mod platform;
