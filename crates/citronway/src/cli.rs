//! Command line of the entry instance.

use std::path::PathBuf;

use bpaf::Bpaf;

#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
/// Runs one entry instance of citronway.
pub struct Options {
    /// Checks the settings, prints what is wrong and exits
    pub check_config: bool,
    /// Settings file in INI form
    #[bpaf(argument("FILE"))]
    pub config: PathBuf,
}
