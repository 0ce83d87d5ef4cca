//! Logs of the process: one JSON object a line on standard error.

mod line;

use std::io::{self, Write};

use log::LevelFilter;

use citronway_core::ids::{InstanceName, ZoneName};

pub use line::{HIDDEN, Origin, format};

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
    let origin = Origin {
        instance: instance.clone(),
        zone: zone.clone(),
    };
    env_logger::Builder::new()
        .filter_level(level)
        .format(move |f, record| {
            let time = f.timestamp_millis().to_string();
            let line = format(&time, &origin, record).map_err(io::Error::other)?;
            writeln!(f, "{line}")
        })
        .try_init()
}
