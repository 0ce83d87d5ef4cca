//! Logs of the process: one JSON object a line.

mod line;
mod panics;
mod ring;

use std::io::{self, Write};

use log::LevelFilter;

use citronway_core::ids::{InstanceName, ZoneName};

pub use line::{HIDDEN, Origin, format};
pub use panics::{log_panics, words_of_panic};
pub use ring::{dropped, flush};

/// Starts logging for the whole process.
///
/// # Errors
///
/// When a logger has been set before.
pub fn init(
    instance: &InstanceName,
    zone: &ZoneName,
    level: LevelFilter,
) -> Result<(), log::SetLoggerError> {
    builder(instance, zone, level).try_init()
}

/// Starts logging to standard output through a ring that never blocks.
///
/// # Errors
///
/// When a logger has been set before or the writing thread cannot be started.
pub fn to_ring(instance: &InstanceName, zone: &ZoneName) -> Result<(), StartError> {
    ring::start()?;
    builder(instance, zone, LevelFilter::Info)
        .target(env_logger::Target::Pipe(Box::new(ring::RingWriter)))
        .try_init()?;
    Ok(())
}

/// Why logging did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A logger has been set before.
    #[error(transparent)]
    Set(#[from] log::SetLoggerError),
    /// The writing thread cannot be started.
    #[error("the writing thread cannot be started: {0}")]
    Thread(#[from] io::Error),
}

fn builder(instance: &InstanceName, zone: &ZoneName, level: LevelFilter) -> env_logger::Builder {
    let origin = Origin {
        instance: instance.clone(),
        zone: zone.clone(),
    };
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level).format(move |f, record| {
        let time = f.timestamp_millis().to_string();
        let line = format(&time, &origin, record).map_err(io::Error::other)?;
        writeln!(f, "{line}")
    });
    builder
}
