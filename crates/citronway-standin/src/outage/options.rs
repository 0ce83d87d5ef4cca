//! Command line of the measurement under faults.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Steady load while the store is down; with `--requests`, under random faults.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(generate(outage_options))]
pub struct OutageOptions {
    /// Length of the store's outage, in seconds
    #[bpaf(argument("N"), fallback(60))]
    pub seconds: u64,
    /// Sends so many non-idempotent requests under random faults instead
    #[bpaf(argument("N"))]
    pub requests: Option<u32>,
    /// Seed of the faults
    #[bpaf(argument("S"), fallback(1))]
    pub seed: u64,
    /// Writes the report as JSON to this file
    #[bpaf(argument("FILE"))]
    pub json: Option<PathBuf>,
    /// Keeps settings, logs and journals, and says where
    pub keep_files: bool,
}
