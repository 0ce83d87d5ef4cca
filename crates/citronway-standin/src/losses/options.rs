//! Command line of the measurement of losses.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Kills dispatchers and endpoints, and measures how long keys stay unserved.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(generate(losses_options))]
pub struct LossesOptions {
    /// Losses of each kind
    #[bpaf(argument("N"), fallback(20))]
    pub losses: usize,
    /// Writes the report as JSON to this file
    #[bpaf(argument("FILE"))]
    pub json: Option<PathBuf>,
    /// Keeps settings, logs and journals, and says where
    pub keep_files: bool,
}
