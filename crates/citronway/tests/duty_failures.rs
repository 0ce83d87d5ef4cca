//! A duty that fails says so in the logs, and the process ends with a failure.
//!
//! Story: a thread of an instance panics. The process ends, or goes on with a part of its
//! work undone; the words are on standard error, which nobody collects, and the logs end in
//! the middle of a calm second.

use std::fmt::Write as _;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;

use citronway::gateway::{Error, finish_duty};
use citronway::logs::log_panics;
use googletest::prelude::*;
use log::{Level, Log, Metadata, Record};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

fn lines() -> MutexGuard<'static, Vec<String>> {
    LINES.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Keeps the lines of the process.
struct Kept;

impl Log for Kept {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut line = format!("{} {}", record.level(), record.args());
        for name in ["duty", "thread", "place", "cause"] {
            if let Some(value) = record.key_values().get(name.into()) {
                write!(line, " {name}={value}").expect("text can be written");
            }
        }
        lines().push(line);
    }

    fn flush(&self) {}
}

#[gtest]
fn a_panic_of_a_duty_is_logged_and_is_a_failure() {
    log::set_logger(&Kept).expect("the first logger");
    log::set_max_level(Level::Info.to_level_filter());
    log_panics();
    let duty = thread::Builder::new().name("traffic".to_owned());
    let handle = duty
        .spawn(|| -> std::result::Result<(), Error> { panic!("index {} out of range", 7) })
        .expect("a thread");
    let ended = finish_duty("traffic", handle.join());

    let shown = ended.map_err(|e| e.to_string());
    let cause = "the traffic duty panicked: index 7 out of range";
    expect_that!(shown, err(eq(cause)));
    let lines = lines();
    let place = "ERROR a panic thread=traffic place=crates/citronway/tests/duty_failures.rs:";
    let panicked = all![starts_with(place), ends_with("cause=index 7 out of range")];
    expect_that!(*lines, contains(panicked));
    let failed = format!("ERROR a duty failed duty=traffic cause={cause}");
    expect_that!(*lines, contains(eq(&failed)));
    drop(lines);

    expect_that!(finish_duty("control", Ok(Ok(()))), ok(eq(&())));
}
