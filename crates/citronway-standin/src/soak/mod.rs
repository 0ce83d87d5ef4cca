//! Real instances under overlapping faults, with promises checked from outside.
//!
//! Instances run as processes in front of stand-ins of store and endpoints; each link
//! goes through a proxy of its own. Faults are drawn from a seed. What is checked is
//! what callers were told and what endpoints ran: nothing depends on how fast the
//! machine is. Callers use open connections until the processes behind them are gone.

mod callers;
mod closing;
mod exchange;
mod fleet;
mod instance;
mod kinds;
mod plan;
mod proxy;
mod refusals;
mod run;
mod sending_on;
mod server;
mod verdict;
mod wrong_answers;

pub use exchange::{Answer, Cut, exchange, was_reset};
pub use kinds::Soak;
pub use proxy::{Mode, Proxy};
pub use run::{Soaked, run};
pub use verdict::Violation;
