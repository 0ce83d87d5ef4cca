//! What was sent, answered and run, in order of time.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<(f64, String)>>>,
    runs: Arc<Mutex<BTreeMap<String, Vec<(f64, String)>>>>,
    started: Instant,
}

impl Record {
    pub fn new() -> Self {
        Self {
            lines: Arc::default(),
            runs: Arc::default(),
            started: Instant::now(),
        }
    }

    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn note(&self, line: String) {
        let now = self.now_s();
        self.lines.lock().unwrap().push((now, line));
    }

    /// A server begins to work on a request.
    pub fn run(&self, id: &str, server: &str) {
        let now = self.now_s();
        let mut runs = self.runs.lock().unwrap();
        runs.entry(id.to_owned())
            .or_default()
            .push((now, server.to_owned()));
        drop(runs);
        self.note(format!("server {server} begins to run {id}"));
    }

    pub fn runs_of(&self, id: &str) -> Vec<(f64, String)> {
        let runs = self.runs.lock().unwrap();
        runs.get(id).cloned().unwrap_or_default()
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut file = std::fs::File::create(path)?;
        for (at, line) in lines {
            writeln!(file, "{at:9.4} s  {line}")?;
        }
        Ok(())
    }
}
