//! Settings of an entry instance, read from an INI file.

mod builder;
pub mod keys;
mod model;
mod raw;
mod reader;
mod rules;
mod secret;
mod sections;

use std::path::Path;

use citronway_core::findings::{Finding, Findings, Place, Problem};

pub use builder::SettingsBuilder;
pub use model::{
    Callers, Clock, Dispatch, Hold, Instance, Log, Operators, Peers, Platform, Settings, Shutdown,
    Trace,
};
pub use secret::Secret;

use raw::Raw;
use reader::Reader;

/// Reads settings from a file.
///
/// # Errors
///
/// Everything that is wrong with the file, each with file, line, section and key.
pub fn load(path: &Path) -> Result<Settings, Findings> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| unreadable(&name, &error))?;
    parse(&name, &text)
}

/// Reads settings from the text of a file; `name` is the file's name for findings.
///
/// # Errors
///
/// Everything that is wrong with the text, each with file, line, section and key.
pub fn parse(name: &str, text: &str) -> Result<Settings, Findings> {
    let raw = Raw::parse(name, text)?;
    let mut reader = Reader::new(&raw);
    let settings = sections::read(&mut reader);
    let mut findings = reader.finish();
    findings.append(rules::check(&settings, &findings, &raw));
    findings.or_ok(settings)
}

fn unreadable(name: &str, error: &std::io::Error) -> Findings {
    let place = Place {
        file: Some(name.to_owned()),
        path: "settings".to_owned(),
        ..Place::default()
    };
    let problem = Problem::Unreadable(error.to_string());
    Findings::from(Finding::new(place, problem, "a readable INI file"))
}
