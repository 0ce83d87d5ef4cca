//! The tour: a small deployment of real processes, with losses and pauses.

mod deployment;
mod loss;
mod options;
mod report;
mod traffic;
mod trip;

pub use options::{TourOptions, tour_options};
pub use trip::run;
