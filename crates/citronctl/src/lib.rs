//! Operators' command line for citronway.
//!
//! Each command is one module: queries only read, commands change the
//! configuration on condition of the version that they are based on.

pub mod cli;
pub mod client;
pub mod commands;
pub mod create;
pub mod edits;
pub mod explain;
pub mod failure;
pub mod queries;
pub mod replay;
pub mod status;
pub mod table;
pub mod wait;
pub mod words;

mod run;

pub use run::run;
