//! Measures how long keys stay unserved after dispatchers and endpoints are lost.

mod options;
mod report;
mod run;
mod spread;

pub use options::{LossesOptions, losses_options};
pub use report::{Loss, Report, Series, Victim};
pub use run::run;
pub use spread::Spread;
