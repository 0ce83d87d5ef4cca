//! `replay`: runs recorded events again and compares with the stated outcomes.

use std::convert::Infallible;
use std::fmt::Display;
use std::fs;
use std::path::{Path, PathBuf};

use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use citronway_core::config::version;
use citronway_core::{dispatch, hold, node, placement};

use crate::failure::Failure;
use crate::words::Machine;

/// Ending of a trace's file.
const TRACE: &str = "jsonl";

/// Ending of the file of its stated outcomes.
const EXPECTED: &str = "expected.json";

/// First line of a trace that names its machine, among other things.
#[derive(Debug, Deserialize)]
struct Header {
    machine: String,
}

/// First line of a trace that does nothing but name its machine.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MachineLine {
    #[serde(rename = "machine")]
    _machine: IgnoredAny,
}

/// What to replay.
#[derive(Debug, Clone, Copy)]
pub struct Replay<'a> {
    /// File of the trace, JSON lines.
    pub trace: &'a Path,
    /// File of the stated outcomes; default: beside the trace.
    pub expected: Option<&'a Path>,
    /// Machine, where the trace's first line does not name it.
    pub machine: Option<Machine>,
}

/// Runs the trace; compares if outcomes are stated, shows them otherwise.
///
/// # Errors
///
/// When a file cannot be read, or the outcomes differ.
pub fn run(replay: &Replay<'_>) -> Result<String, Failure> {
    let text = read(replay.trace)?;
    let decided = decide(replay, &text)?;
    let Some(path) = expected_path(replay) else {
        return pretty(&decided);
    };
    let stated: Value = match serde_json::from_str(&read(&path)?) {
        Ok(stated) => stated,
        Err(e) => return Err(content(&path, &e)),
    };
    if decided == stated {
        return Ok(format!("same outcomes as {}\n", path.display()));
    }
    Err(Failure::Replay(difference(&stated, &decided)))
}

fn decide(replay: &Replay<'_>, text: &str) -> Result<Value, Failure> {
    let path = replay.trace;
    let Some(machine) = named(path, text)?.or(replay.machine) else {
        let message = "the first line does not name a machine; say --machine";
        return Err(content(path, &message));
    };
    let text = without_machine_line(text);
    match machine {
        Machine::Config => config(path, text),
        Machine::Dispatcher => outcome(path, dispatch::replay::replay(text)),
        Machine::Hold => outcome(path, hold::simulation::replay(text)),
        Machine::Node => outcome(path, node::replay::replay(text)),
        Machine::Planner => outcome(path, placement::replay::replay(text)),
    }
}

/// The machine that the first line names.
fn named(path: &Path, text: &str) -> Result<Option<Machine>, Failure> {
    let first = text.lines().next().unwrap_or_default();
    let Ok(header) = serde_json::from_str::<Header>(first) else {
        return Ok(None);
    };
    match header.machine.parse() {
        Ok(machine) => Ok(Some(machine)),
        Err(e) => Err(content(path, &e)),
    }
}

/// The lines that the machine itself understands.
fn without_machine_line(text: &str) -> &str {
    let (first, rest) = text.split_once('\n').unwrap_or((text, ""));
    match serde_json::from_str::<MachineLine>(first) {
        Ok(_) => rest,
        Err(_) => text,
    }
}

fn outcome<T: Serialize, E: Display>(path: &Path, outcome: Result<T, E>) -> Result<Value, Failure> {
    match outcome {
        Ok(outcome) => serde_json::to_value(outcome).map_err(|e| content(path, &e)),
        Err(e) => Err(content(path, &e)),
    }
}

fn config(path: &Path, text: &str) -> Result<Value, Failure> {
    let mut events = Vec::new();
    let mut bad = Vec::new();
    for line in text.lines() {
        if line.trim().is_empty() {
            continue;
        }
        match serde_json::from_str::<version::RecordedEvent>(line) {
            Ok(event) => events.push(event),
            Err(e) => bad.push(format!("{e} in `{line}`")),
        }
    }
    if !bad.is_empty() {
        return Err(content(path, &bad.join("\n  ")));
    }
    outcome(path, Ok::<_, Infallible>(version::replay(&events)))
}

fn expected_path(replay: &Replay<'_>) -> Option<PathBuf> {
    if let Some(path) = replay.expected {
        return Some(path.to_owned());
    }
    if replay.trace.extension()? != TRACE {
        return None;
    }
    let beside = replay.trace.with_extension(EXPECTED);
    beside.exists().then_some(beside)
}

/// The first outcome that differs, of a list; the whole otherwise.
fn difference(stated: &Value, decided: &Value) -> String {
    if let (Value::Array(stated), Value::Array(decided)) = (stated, decided) {
        for (index, pair) in stated.iter().zip(decided).enumerate() {
            if pair.0 != pair.1 {
                let (stated, decided) = pair;
                let number = index + 1;
                return format!(
                    "outcome {number} differs\n  stated  {stated}\n  decided {decided}"
                );
            }
        }
        let (stated, decided) = (stated.len(), decided.len());
        return format!("{stated} outcomes are stated, {decided} were decided");
    }
    format!("outcomes differ\n  stated  {stated}\n  decided {decided}")
}

fn pretty(value: &Value) -> Result<String, Failure> {
    crate::queries::json(value)
}

fn read(path: &Path) -> Result<String, Failure> {
    fs::read_to_string(path).map_err(|source| Failure::File {
        path: path.to_owned(),
        source,
    })
}

fn content(path: &Path, reason: &impl Display) -> Failure {
    Failure::Content {
        path: path.to_owned(),
        reason: reason.to_string(),
    }
}
