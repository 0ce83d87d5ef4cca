//! The machine of one entry instance: every decision the process makes.
//!
//! The process feeds it [`Event`]s with the present time and carries out the
//! [`Action`]s it returns. It owns the configuration in force, the assignment
//! and dispatch rows, the holds, the dispatch queues and the planner.

pub mod events;

pub use events::{Action, CallerRequest, Event, OrderReply, ProbeReport};
