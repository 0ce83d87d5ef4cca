//! Recorded traces: JSON lines, the first a header, each further one a record.

use std::fmt;

use serde::de::DeserializeOwned;
use thiserror::Error;

/// A trace as read.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace<H, R> {
    /// What the machine starts from.
    pub header: H,
    /// What happened to it, in order.
    pub records: Vec<Numbered<R>>,
}

/// A record with its line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Numbered<R> {
    /// Line of the trace, from 1.
    pub line: usize,
    /// The record.
    pub record: R,
}

/// A line that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadLine {
    /// Line of the trace, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub reason: String,
}

/// All lines of a trace that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct BadTrace(pub Vec<BadLine>);

impl fmt::Display for BadTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("trace cannot be read")?;
        for bad in &self.0 {
            write!(f, "; line {}: {}", bad.line, bad.reason)?;
        }
        Ok(())
    }
}

/// Reads a trace; empty lines are passed over.
///
/// # Errors
///
/// All lines that cannot be read.
pub fn read<H, R>(text: &str) -> Result<Trace<H, R>, BadTrace>
where
    H: DeserializeOwned,
    R: DeserializeOwned,
{
    let mut lines = text.lines().enumerate();
    let Some((_, first)) = lines.next() else {
        return Err(BadTrace(vec![bad(0, &"it is empty")]));
    };
    let header = serde_json::from_str(first).map_err(|error| BadTrace(vec![bad(0, &error)]))?;
    let mut records = Vec::new();
    let mut findings = Vec::new();
    for (index, text) in lines {
        if text.trim().is_empty() {
            continue;
        }
        match serde_json::from_str(text) {
            Ok(record) => records.push(Numbered {
                line: index + 1,
                record,
            }),
            Err(error) => findings.push(bad(index, &error)),
        }
    }
    if !findings.is_empty() {
        return Err(BadTrace(findings));
    }
    Ok(Trace { header, records })
}

fn bad(index: usize, reason: &dyn fmt::Display) -> BadLine {
    BadLine {
        line: index + 1,
        reason: reason.to_string(),
    }
}
