//! `explain`: the story of one request, from the logs of several instances.
//!
//! An instance on the platform writes one line for each decision that touches a request
//! and one for each change of what it believes. The story is the request's lines in
//! order of time, with what their instance believed when the first was written and how
//! old that was, and what changed of it meanwhile. Where its work is under suspicion of crashing
//! endpoints, the crashes follow under whatever ids the work had.

use std::fmt::Write as _;
use std::fs;
use std::io::{self, Read as _};
use std::path::{Path, PathBuf};

use indexmap::{IndexMap, IndexSet};
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::failure::Failure;

/// Milliseconds of a day; logs state times of day, and a story may pass midnight.
const DAY_MS: i64 = 24 * 60 * 60 * 1_000;

/// Fields that each line has; the rest is told.
const COMMON: [&str; 4] = ["level", "zone", "target", "request"];

/// Messages that say why work is refused, or no longer.
const WORK_LINES: [&str; 3] = [
    "endpoint ended with the request",
    "work is taken as harmful",
    "work is let go",
];

/// Messages of the leader about the division of a hot range.
const DIVISION_LINES: [&str; 3] = [
    "hot range is divided",
    "neighbors leave a key that no endpoint can serve",
    "division of a hot range ended",
];

/// Time before a request in which a division may have to do with it, in milliseconds.
const DIVISION_BEFORE_MS: i64 = 10_000;

/// What stands for work where the instance could not make its fingerprint yet.
const UNKNOWN_WORK: &str = "-";

/// A line of a log.
#[derive(Debug, Clone, Deserialize)]
struct Line {
    time: String,
    instance: String,
    message: String,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

impl Line {
    fn is_of(&self, request: &str) -> bool {
        self.text("request") == Some(request)
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// What it says that its instance believes, if it says so.
    fn belief(&self) -> Option<String> {
        let what = match self.message.as_str() {
            "configuration in force" => "configuration".to_owned(),
            "configuration not confirmed; fetching it" | "configuration confirmed again" => {
                "confirmation of the configuration".to_owned()
            }
            "no endpoint answers this instance; requests are passed on to others"
            | "endpoints answer this instance again" => "links to endpoints".to_owned(),
            "admission by the demand of all instances" | "admission by own demand only" => {
                "admission".to_owned()
            }
            "assignment" | "restored assignment is not newer than the known one" => {
                format!("owners of {}", self.text("service")?)
            }
            "era of the store" => "era of the store".to_owned(),
            "leader" => "leader".to_owned(),
            "endpoint listed" | "endpoint no longer listed" => self.text("endpoint")?.to_owned(),
            "endpoint states a limit"
            | "endpoint changes its limit"
            | "endpoint states no limit any more" => limit_of(self.text("endpoint")?),
            "endpoint asks for rest" | "rest of an endpoint has ended" => {
                rest_of(self.text("endpoint")?)
            }
            "endpoint states that it leaves" => departure_of(self.text("endpoint")?),
            "endpoints of a service get a bound on the bytes of requests" => {
                bytes_of(self.text("service")?)
            }
            "second sends of a service are used up" => retries_of(self.text("service")?),
            "pressure on memory changed" => "pressure on memory".to_owned(),
            "endpoints are chosen by expected end" | "endpoints are chosen by load again" => {
                choice_of(self.text("service")?)
            }
            "store lost" | "store regained" => format!("table {}", self.text("table")?),
            "readiness changed" => "readiness".to_owned(),
            "this instance leads"
            | "this instance no longer leads"
            | "this leader is not confirmed in the new era of the store"
            | "all keys have fences of the new era" => "own duty".to_owned(),
            "instance starts" | "asked to stop" | "instance stops" => "own life".to_owned(),
            "idle connections are closed"
            | "the callers' port is closed"
            | "what has no answer gets one now"
            | "the last connections end" => "own stop".to_owned(),
            "a panic" | "a duty failed" => "own failure".to_owned(),
            _ => return None,
        };
        Some(what)
    }

    fn told(&self) -> String {
        let mut text = self.message.clone();
        for (name, value) in &self.fields {
            if COMMON.contains(&name.as_str()) {
                continue;
            }
            let shown = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            // Writing to a string does not fail.
            let _ = write!(text, " {name}={shown}");
        }
        text
    }
}

/// Tells the story of `request` from log files, or from standard input if there are none.
///
/// # Errors
///
/// When a file cannot be read, or no line names the request.
pub fn run(request: &str, files: &[PathBuf]) -> Result<String, Failure> {
    let mut lines = Vec::new();
    let mut others = 0;
    if files.is_empty() {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text)?;
        others += read(&text, &mut lines);
    }
    for path in files {
        others += read(&text_of(path)?, &mut lines);
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    tell(request, &lines, others)
}

fn text_of(path: &Path) -> Result<String, Failure> {
    fs::read_to_string(path).map_err(|source| Failure::File {
        path: path.to_owned(),
        source,
    })
}

/// Takes the lines of a log; returns how many are none.
///
/// What comes before the object is left out: collectors put a time or a name there.
fn read(text: &str, lines: &mut Vec<Line>) -> usize {
    let mut others = 0;
    for line in text.lines() {
        let object = line.find('{').map_or("", |at| &line[at..]);
        match serde_json::from_str(object) {
            Ok(line) => lines.push(line),
            Err(_not_a_log_line) => others += 1,
        }
    }
    others
}

fn tell(request: &str, lines: &[Line], others: usize) -> Result<String, Failure> {
    let own = |line: &Line| line.is_of(request);
    let (Some(first), Some(last)) = (lines.iter().position(own), lines.iter().rposition(own))
    else {
        return Err(Failure::UnknownRequest {
            request: request.to_owned(),
            lines: lines.len(),
            others,
        });
    };
    let mut story = format!("request {request}\n");
    let mut seen = Vec::<&str>::new();
    let mut named = IndexSet::<String>::new();
    for line in &lines[first..=last] {
        if own(line) {
            let endpoints = ["endpoint", "owner"].iter().filter_map(|f| line.text(f));
            for endpoint in endpoints {
                named.insert(endpoint.to_owned());
                named.extend(statements_of(endpoint));
            }
            if let Some(service) = line.text("service") {
                named.extend([
                    format!("owners of {service}"),
                    bytes_of(service),
                    choice_of(service),
                    retries_of(service),
                ]);
            }
        }
    }
    for (place, line) in lines.iter().enumerate().take(last + 1).skip(first) {
        let instance = line.instance.as_str();
        if own(line) && !seen.contains(&instance) {
            seen.push(instance);
            story.push_str(&believed(&lines[..place], line, &named));
        }
        let news = line
            .belief()
            .is_some_and(|what| seen.contains(&instance) && is_told(&what, &named));
        if own(line) || news {
            let mark = if own(line) { ' ' } else { '*' };
            let _ = writeln!(story, "{} {mark} {instance}: {}", line.time, line.told());
        }
    }
    story.push_str(&divisions(first, &lines[..=last], &named));
    story.push_str(&suspicion(request, lines));
    if others > 0 {
        let _ = writeln!(
            story,
            "({others} lines are none of a log and were left out)"
        );
    }
    Ok(story)
}

/// Divisions of hot ranges of the service that the request names, shortly before its line `first`
/// or after it. The leader logs them, which may be another instance.
fn divisions(first: usize, lines: &[Line], named: &IndexSet<String>) -> String {
    let mut text = String::new();
    for (place, line) in lines.iter().enumerate() {
        if !DIVISION_LINES.contains(&line.message.as_str()) {
            continue;
        }
        let is_named = line
            .text("service")
            .is_some_and(|service| named.contains(&format!("owners of {service}")));
        let age_ms = age_ms(&line.time, &lines[first].time);
        let is_recent = place >= first || age_ms.is_some_and(|ms| ms <= DIVISION_BEFORE_MS);
        if is_named && is_recent {
            let _ = writeln!(text, "  {} {}: {}", line.time, line.instance, line.told());
        }
    }
    if text.is_empty() {
        return text;
    }
    format!("divisions of hot ranges:\n{text}")
}

/// Name of what decides the choice of a service's endpoints.
fn choice_of(service: &str) -> String {
    format!("choice of endpoints of {service}")
}

/// Name of what an instance knows of the second sends that are left for a service.
fn retries_of(service: &str) -> String {
    format!("second sends of {service}")
}

/// Name of what an instance believes of an endpoint's limit.
fn limit_of(endpoint: &str) -> String {
    format!("limit of {endpoint}")
}

/// Name of what an instance believes of the bytes that endpoints of a service may have.
fn bytes_of(service: &str) -> String {
    format!("bytes at endpoints of {service}")
}

/// Name of what an instance believes of an endpoint's departure.
fn departure_of(endpoint: &str) -> String {
    format!("departure of {endpoint}")
}

/// Name of what an instance believes of an endpoint's rest.
fn rest_of(endpoint: &str) -> String {
    format!("rest of {endpoint}")
}

/// Names of what an instance believes of an endpoint by its own statements.
fn statements_of(endpoint: &str) -> [String; 3] {
    [
        limit_of(endpoint),
        departure_of(endpoint),
        rest_of(endpoint),
    ]
}

/// What all instances wrote of the request's work, under other ids.
fn suspicion(request: &str, lines: &[Line]) -> String {
    let own = lines.iter().filter(|line| line.is_of(request));
    let mut works = own.filter_map(|line| line.text("work"));
    let Some(work) = works.rfind(|work| *work != UNKNOWN_WORK) else {
        return String::new();
    };
    let mut text = String::new();
    for line in lines {
        let decides = WORK_LINES.contains(&line.message.as_str());
        if !decides || line.text("work") != Some(work) {
            continue;
        }
        if text.is_empty() {
            let _ = writeln!(text, "its work {work}:");
        }
        let id = line.text("request").unwrap_or("-");
        let (time, instance) = (&line.time, &line.instance);
        let _ = writeln!(text, "{time}   {instance}: {} request={id}", line.told());
    }
    text
}

/// Whether a belief bears on the request: endpoints and owners only if it names them.
fn is_told(what: &str, named: &IndexSet<String>) -> bool {
    let general = [
        "configuration",
        "leader",
        "era of the store",
        "readiness",
        "pressure on memory",
        "own duty",
        "own life",
        "own stop",
        "own failure",
        "admission",
    ];
    general.contains(&what) || what.starts_with("table ") || named.contains(what)
}

/// What the instance of `line` believed when it wrote it, by the lines before.
fn believed(before: &[Line], line: &Line, named: &IndexSet<String>) -> String {
    let mut cluster = IndexMap::<String, &Line>::new();
    for earlier in before.iter().filter(|l| l.instance == line.instance) {
        if let Some(what) = earlier.belief().filter(|what| is_told(what, named)) {
            cluster.insert(what, earlier);
        }
    }
    let mut text = format!("{} believed at {}:\n", line.instance, line.time);
    for (what, earlier) in &cluster {
        let age = age_ms(&earlier.time, &line.time)
            .map_or_else(|| "age unknown".to_owned(), |ms| format!("{ms} ms old"));
        let _ = writeln!(text, "    {what}: {} ({age})", earlier.told());
    }
    if cluster.is_empty() {
        text.push_str("    nothing that its log shows\n");
    }
    text
}

/// Time from one line to a later one, in milliseconds.
fn age_ms(earlier: &str, later: &str) -> Option<i64> {
    let age = day_ms(later)? - day_ms(earlier)?;
    Some(age.rem_euclid(DAY_MS))
}

/// Time of day of `2026-12-02T21:37:20.683Z`, in milliseconds.
fn day_ms(time: &str) -> Option<i64> {
    let (_, clock) = time.trim_end_matches('Z').split_once('T')?;
    let mut parts = clock.split([':', '.']);
    let mut next = || parts.next()?.parse::<i64>().ok();
    let (hours, minutes, seconds, millis) = (next()?, next()?, next()?, next()?);
    Some(((hours * 60 + minutes) * 60 + seconds) * 1_000 + millis)
}
