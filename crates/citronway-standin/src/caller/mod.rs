//! A caller of the entries: sends work and judges what comes back.

pub mod balancer;
pub mod call;
pub mod client;
pub mod verdict;

pub use balancer::Balancer;
pub use call::Call;
pub use client::Caller;
pub use verdict::{Unanswered, Verdict, WrongAnswer};
