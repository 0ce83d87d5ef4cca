//! Command line of the load tool.

use std::path::PathBuf;

use bpaf::Bpaf;

use super::deployment::Deployment;
use super::scenario::Scenario;
use crate::env::Policy;

/// Measures a deployment under load.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(generate(load_options))]
pub struct LoadOptions {
    /// Sizes: migrakon or vatuwaqa
    #[bpaf(argument("NAME"), fallback(Deployment::Migrakon))]
    pub deployment: Deployment,
    /// How entries send: dispatcher, uncoordinated or static; default: the entry's own
    #[bpaf(argument("NAME"))]
    pub policy: Option<Policy>,
    /// half, full, over, endpoint-lost, rolling-restart, hot-key or slow-endpoint
    #[bpaf(argument("NAME"), fallback(Scenario::Half))]
    pub scenario: Scenario,
    /// Length of the measured time, in seconds
    #[bpaf(argument("N"), fallback(20))]
    pub seconds: u32,
    /// Seed of arrivals and keys
    #[bpaf(argument("S"), fallback(1))]
    pub seed: u64,
    /// Writes the report as JSON to this file
    #[bpaf(argument("FILE"))]
    pub json: Option<PathBuf>,
    /// Keeps settings, logs and journals, and says where
    pub keep_files: bool,
}
