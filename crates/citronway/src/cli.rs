//! Command line of the entry instance.

use std::path::PathBuf;

use bpaf::Bpaf;

#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
/// Runs one entry instance of citronway.
pub struct Options {
    /// Checks the settings, prints what is wrong and exits
    pub check_config: bool,
    #[bpaf(external)]
    /// Where the settings come from
    pub source: Source,
}

/// Where the settings come from.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
pub enum Source {
    /// Own settings
    Own {
        /// Settings file in INI form
        #[bpaf(argument("FILE"))]
        config: PathBuf,
    },
    /// The platform that starts this process names the settings file
    OnPlatform {
        /// Takes the settings from the platform that starts this process
        #[bpaf(long("on-platform"), req_flag(()))]
        on_platform: (),
    },
}
