//! Command line: commands, arguments, help.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, Bpaf, ParseFailure};

use crate::create::{Create, create};
use crate::failure::codes;
use crate::words::{LabelEdit, Labelled, Machine, Output, Resource, Selecting, Shell, Thing};

/// Width of help and errors, in characters.
const WIDTH: usize = 100;

const NAME: &str = "citronctl";

const EXAMPLES: &str = "\
Examples:
  citronctl get endpoints --server 10.0.1.5:7002
  citronctl label endpoint lab-3 site=suva tier-
  citronctl select group console --endpoints 'app = console, zone != north'
  citronctl get config --output json > config.json
  citronctl apply -f config.json --wait 10
  citronctl drain lab-3 --wait 10
Exit codes:
  0 done, 1 error, 2 usage, 3 conflict, 4 refused, 5 not in force in time,
  6 not known whether accepted, 7 cannot reach";

/// Where to ask and how to show.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
pub struct Target {
    /// Address of an instance's administration API
    #[bpaf(long, env("CITRONWAY_SERVER"), argument("IP:PORT"))]
    pub server: SocketAddr,
    /// File that holds the token; without it the token is in `CITRONWAY_TOKEN`
    #[bpaf(long, env("CITRONWAY_TOKEN_FILE"), argument("FILE"), optional)]
    pub token_file: Option<PathBuf>,
    /// Form of the output: table or json
    #[bpaf(
        long,
        argument::<Output>("FORMAT"),
        complete(|_| words(Output::WORDS)),
        fallback(Output::Table)
    )]
    pub output: Output,
}

/// How to make a change.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
pub struct Condition {
    /// Change only if the configuration is at this version; default: the current one
    #[bpaf(long, argument("VERSION"), optional)]
    pub version_expected: Option<u64>,
    /// Wait at most this long until the change is in force everywhere
    #[bpaf(long, argument("SECONDS"), optional)]
    pub wait: Option<u64>,
    /// Where to ask and how to show.
    #[bpaf(external)]
    pub target: Target,
}

/// Operators' command line for citronway
#[derive(Debug, Clone, PartialEq, Bpaf)]
#[bpaf(options("citronctl"), generate(options), version, footer(EXAMPLES))]
pub enum Command {
    /// Show what an instance knows
    #[bpaf(command)]
    Get {
        /// Show the configuration as stored, which may not be in force yet
        #[bpaf(long)]
        stored: bool,
        /// Where to ask.
        #[bpaf(external)]
        target: Target,
        /// config, assignment, dispatchers, endpoints, instances or version
        #[bpaf(
            positional::<Resource>("WHAT"),
            complete(|_| words(Resource::WORDS))
        )]
        what: Resource,
    },
    /// Show on one page whether all is well
    #[bpaf(command)]
    Status {
        /// Where to ask.
        #[bpaf(external)]
        target: Target,
    },
    /// Change the configuration.
    Change(#[bpaf(external(change_command))] ChangeCommand),
    /// Run recorded events again and compare with the recorded outcomes
    #[bpaf(command)]
    Replay {
        /// File of stated outcomes; default: FILE with .expected.json for .jsonl
        #[bpaf(long, argument("FILE"), optional)]
        expected: Option<PathBuf>,
        /// Machine, where the first line does not name it: config, dispatcher, hold, node or planner
        #[bpaf(
            long,
            argument::<Machine>("MACHINE"),
            complete(|_| words(Machine::WORDS)),
            optional
        )]
        machine: Option<Machine>,
        /// File of JSON lines
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Tell the story of one request from the logs of instances on the platform
    #[bpaf(command)]
    Explain {
        /// Id of the request, as its caller sent it
        #[bpaf(positional("ID"))]
        request: String,
        /// Files of JSON lines, of any number of instances; default: standard input
        #[bpaf(positional("FILE"), many)]
        files: Vec<PathBuf>,
    },
    /// Write a completion script for a shell to standard output
    #[bpaf(command)]
    Completion {
        /// bash, zsh or fish
        #[bpaf(
            positional::<Shell>("SHELL"),
            complete(|_| words(Shell::WORDS))
        )]
        shell: Shell,
    },
}

/// Changes of the configuration.
#[derive(Debug, Clone, PartialEq, Bpaf)]
pub enum ChangeCommand {
    /// Replace the whole configuration by a file
    ///
    /// The file holds a configuration, or the output of `get config --output json`;
    /// then the change is conditional on the version in it
    #[bpaf(command)]
    Apply {
        /// JSON file
        #[bpaf(short('f'), long, argument("FILE"))]
        file: PathBuf,
        /// How to make the change.
        #[bpaf(external)]
        condition: Condition,
    },
    /// Set and remove labels: NAME=VALUE sets, NAME- removes
    #[bpaf(command)]
    Label {
        /// How to make the change.
        #[bpaf(external)]
        condition: Condition,
        /// service, group or endpoint
        #[bpaf(
            positional::<Labelled>("KIND"),
            complete(|_| words(Labelled::WORDS))
        )]
        kind: Labelled,
        /// Name of the service, group or endpoint
        #[bpaf(positional("NAME"))]
        name: String,
        /// NAME=VALUE or NAME-
        #[bpaf(positional("LABEL"), some("say at least one NAME=VALUE or NAME-"))]
        labels: Vec<LabelEdit>,
    },
    /// Set selectors of a group or a rule
    #[bpaf(command)]
    Select {
        /// The selectors.
        #[bpaf(external)]
        selectors: Selectors,
        /// How to make the change.
        #[bpaf(external)]
        condition: Condition,
        /// group or rule
        #[bpaf(
            positional::<Selecting>("KIND"),
            complete(|_| words(Selecting::WORDS))
        )]
        kind: Selecting,
        /// Name of the group or rule
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Let an endpoint finish its work and give it no new work
    #[bpaf(command)]
    Drain {
        /// How to make the change.
        #[bpaf(external)]
        condition: Condition,
        /// Name of the endpoint
        #[bpaf(positional("ENDPOINT"))]
        endpoint: String,
    },
    /// Give an endpoint work again
    #[bpaf(command)]
    Undrain {
        /// How to make the change.
        #[bpaf(external)]
        condition: Condition,
        /// Name of the endpoint
        #[bpaf(positional("ENDPOINT"))]
        endpoint: String,
    },
    /// Add a service, group, endpoint, class or rule
    #[bpaf(command)]
    Create {
        /// What to add.
        #[bpaf(external(create))]
        what: Create,
    },
    /// Remove a service, group, endpoint, class or rule
    #[bpaf(command)]
    Remove {
        /// With a service, remove its groups and rules too
        #[bpaf(long)]
        with_groups: bool,
        /// Remove an endpoint although it still owns shards
        #[bpaf(long)]
        force: bool,
        /// How to make the change.
        #[bpaf(external)]
        condition: Condition,
        /// service, group, endpoint, class or rule
        #[bpaf(
            positional::<Thing>("KIND"),
            complete(|_| words(Thing::WORDS))
        )]
        kind: Thing,
        /// Its name
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

impl ChangeCommand {
    /// How to make the change.
    #[must_use]
    pub const fn condition(&self) -> &Condition {
        match self {
            Self::Apply { condition, .. }
            | Self::Label { condition, .. }
            | Self::Select { condition, .. }
            | Self::Drain { condition, .. }
            | Self::Undrain { condition, .. }
            | Self::Remove { condition, .. } => condition,
            Self::Create { what } => what.condition(),
        }
    }
}

/// New selectors; those not stated stay as they are.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
pub struct Selectors {
    /// Which endpoints belong to the group, by their labels
    #[bpaf(long, argument("SELECTOR"), optional)]
    pub endpoints: Option<String>,
    /// Which keys; `-` means all
    #[bpaf(long, argument("SELECTOR"), optional)]
    pub keys: Option<String>,
    /// Which callers, by their labels; `-` means all
    #[bpaf(long, argument("SELECTOR"), optional)]
    pub callers: Option<String>,
}

/// Parses the arguments of the process.
///
/// # Errors
///
/// With the exit code, after help or an error was printed.
pub fn parse() -> Result<Command, ExitCode> {
    parse_args(Args::current_args()).map_err(|failure| {
        failure.print_message(WIDTH);
        ExitCode::from(code(&failure))
    })
}

/// Parses arguments.
///
/// # Errors
///
/// With what is to be printed.
pub fn parse_args(args: Args<'_>) -> Result<Command, ParseFailure> {
    options().run_inner(args)
}

/// Exit code for arguments that make no command.
#[must_use]
pub const fn code(failure: &ParseFailure) -> u8 {
    match failure {
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => codes::OK,
        ParseFailure::Stderr(_) => codes::USAGE,
    }
}

/// Writes the completion script for a shell and ends the process.
#[must_use]
pub fn completion(shell: Shell) -> String {
    let flag = match shell {
        Shell::Bash => "--bpaf-complete-style-bash",
        Shell::Zsh => "--bpaf-complete-style-zsh",
        Shell::Fish => "--bpaf-complete-style-fish",
    };
    let args = [flag];
    match parse_args(Args::from(&args[..]).set_name(NAME)) {
        Err(ParseFailure::Completion(text)) => text,
        Ok(_) | Err(_) => String::new(),
    }
}

fn words(words: &[&'static str]) -> Vec<(&'static str, Option<&'static str>)> {
    let mut all = Vec::new();
    for word in words {
        all.push((*word, None));
    }
    all
}
