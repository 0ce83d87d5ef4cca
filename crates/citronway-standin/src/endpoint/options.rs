//! Settings of the endpoint stand-in, by builder or command line.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use bpaf::Bpaf;

use super::Endpoint;
use crate::process;

/// Settings of the endpoint stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(generate(endpoint_options))]
pub struct EndpointOptions {
    /// Name, repeated in every answer
    #[bpaf(argument("NAME"))]
    pub name: String,
    /// Address to listen on; port 0 picks a free one
    #[bpaf(argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// Orders that it runs at once without loss of speed
    #[bpaf(argument("N"), fallback(6))]
    pub slots: u32,
    /// Whether it checks epochs and grant ends
    #[bpaf(argument("true|false"), fallback(true))]
    pub checks: bool,
    /// Mean time that an order takes, in milliseconds
    #[bpaf(argument("MS"), fallback(5))]
    pub service_ms: u64,
    /// Time after a start during which it is slow, in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    pub cold_ms: u64,
    /// Orders at work above which it sheds; 0 means never
    #[bpaf(argument("N"), fallback(0))]
    pub shed_above: u32,
    /// File that gets a JSON line for every run, so that a kill loses no record
    #[bpaf(argument("FILE"))]
    pub journal: Option<PathBuf>,
    /// Exit when standard input closes
    pub until_stdin_closes: bool,
}

impl EndpointOptions {
    /// An endpoint on a free loopback port that checks orders.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            slots: 6,
            checks: true,
            service_ms: 5,
            cold_ms: 0,
            shed_above: 0,
            journal: None,
            until_stdin_closes: false,
        }
    }

    /// Orders that it runs at once without loss of speed.
    #[must_use]
    pub const fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Whether it checks epochs and grant ends.
    #[must_use]
    pub const fn checks(mut self, checks: bool) -> Self {
        self.checks = checks;
        self
    }

    /// Mean time that an order takes, in milliseconds.
    #[must_use]
    pub const fn service_ms(mut self, service_ms: u64) -> Self {
        self.service_ms = service_ms;
        self
    }

    /// Time after a start during which it is slow, in milliseconds.
    #[must_use]
    pub const fn cold_ms(mut self, cold_ms: u64) -> Self {
        self.cold_ms = cold_ms;
        self
    }

    /// Orders at work above which it sheds; 0 means never.
    #[must_use]
    pub const fn shed_above(mut self, shed_above: u32) -> Self {
        self.shed_above = shed_above;
        self
    }

    /// File that gets a JSON line for every run.
    #[must_use]
    pub fn journal(mut self, journal: PathBuf) -> Self {
        self.journal = Some(journal);
        self
    }

    /// The command line that gives these settings to a child process.
    #[must_use]
    pub fn to_args(&self) -> Vec<String> {
        let mut args = vec![
            format!("--name={}", self.name),
            format!("--listen={}", self.listen),
            format!("--slots={}", self.slots),
            format!("--checks={}", self.checks),
            format!("--service-ms={}", self.service_ms),
            format!("--cold-ms={}", self.cold_ms),
            format!("--shed-above={}", self.shed_above),
        ];
        if let Some(journal) = &self.journal {
            args.push(format!("--journal={}", journal.display()));
        }
        if self.until_stdin_closes {
            args.push("--until-stdin-closes".to_owned());
        }
        args
    }

    /// Serves until the process ends.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on or the journal cannot be opened.
    pub fn run(&self) -> io::Result<()> {
        let endpoint = Endpoint::start(self)?;
        process::announce(endpoint.addr())?;
        process::wait_for_end(self.until_stdin_closes)
    }
}
