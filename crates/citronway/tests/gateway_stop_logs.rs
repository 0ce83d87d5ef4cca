//! Lines of the logs at the end of a process whose logs are read slowly.

mod gateway_support;

use std::io::{PipeReader, PipeWriter, Read as _, pipe};
use std::os::fd::AsRawFd as _;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use citronway_standin::shared::{Addresses, SETTINGS_VARIABLE, own_address};
use gateway_support::{Deployment, exchange, until};
use googletest::prelude::*;
use serde_json::Value;

/// Size of the pipe of the logs, in bytes; the system takes no smaller one.
const NARROW: libc::c_int = 4_096;

/// Signals to read the settings again; the lines about them do not fit into the pipe.
const HANG_UPS: usize = 40;

/// Pause between two signals, which the system would merge otherwise.
const PAUSE: Duration = Duration::from_millis(20);

/// An instance without callers ends 2.8 s after the signal, and has 6 s.
const READ_AFTER: Duration = Duration::from_secs(4);

/// A process whose logs go to a pipe.
struct Process {
    settings: PathBuf,
    logs: PipeReader,
    child: Child,
}

impl Process {
    /// Starts an instance and waits until it is ready.
    fn start(deployment: &Deployment, change: impl FnOnce(&PipeWriter)) -> Self {
        let (logs, out) = pipe().expect("a pipe");
        // SAFETY: the descriptor is open.
        let size = unsafe { libc::fcntl(out.as_raw_fd(), libc::F_SETPIPE_SZ, NARROW) };
        assert_eq!(size, NARROW);
        change(&out);
        let addresses = Addresses::at(own_address());
        let name = format!("logs-{}", uuid::Uuid::new_v4());
        let settings = std::env::temp_dir().join(format!("{name}.json"));
        let text = addresses.settings(&name, deployment.store.address());
        std::fs::write(&settings, text.to_string()).expect("settings can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_citronway"))
            .arg("--on-platform")
            .env(SETTINGS_VARIABLE, &settings)
            .stdout(Stdio::from(out))
            .spawn()
            .expect("the instance starts");
        let process = Self {
            settings,
            logs,
            child,
        };
        until("the instance is ready", || {
            let head = "GET /api/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
            exchange(addresses.ready, head, "").is_some_and(|reply| reply.status == 200)
        });
        process
    }

    fn signal(&self, signal: libc::c_int) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        // SAFETY: a signal to a child that has not been waited for.
        let sent = unsafe { libc::kill(id, signal) };
        assert_eq!(sent, 0);
    }

    /// Stops the process and reads its logs after some time; returns the messages.
    fn messages_after_stop(&mut self) -> Vec<String> {
        for _ in 0..HANG_UPS {
            self.signal(libc::SIGHUP);
            thread::sleep(PAUSE);
        }
        self.signal(libc::SIGTERM);
        thread::sleep(READ_AFTER);
        let mut text = String::new();
        self.logs.read_to_string(&mut text).expect("text");
        let code = self.child.wait().expect("the process ends").code();
        expect_that!(code, some(eq(0)));
        let messages = text.lines().map(|line| {
            let line: Value = serde_json::from_str(line).expect("a whole line");
            line["message"].as_str().expect("a message").to_owned()
        });
        messages.collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.child.try_wait().ok().flatten().is_none() {
            self.child.kill().expect("the process can be killed");
            self.child.wait().expect("the process has ended");
        }
        std::fs::remove_file(&self.settings).expect("the settings can be removed");
    }
}

fn expect_all_lines(messages: &[String]) {
    let count = |message| messages.iter().filter(|m| *m == message).count();
    let reloads = count("reload done");
    // The system merges signals that come while one is pending; half of them do not fit either.
    expect_that!(reloads, ge(HANG_UPS / 2));
    // Each reload has two lines.
    expect_that!(count("settings read again, unchanged"), eq(reloads));
    expect_that!(count("log lines dropped"), eq(0));
    expect_that!(messages.last(), some(eq("instance stops")));
}

/// Guards against a process that ends within its grace before its last lines are written.
#[gtest]
fn the_last_lines_are_written_although_the_logs_are_read_slowly() {
    let deployment = Deployment::new();
    let mut process = Process::start(&deployment, |_| {});
    expect_all_lines(&process.messages_after_stop());
}

/// Guards against lines that are cut or lost where a full pipe refuses bytes instead of waiting.
#[gtest]
fn no_line_is_cut_by_a_full_pipe_that_does_not_wait() {
    let deployment = Deployment::new();
    let mut process = Process::start(&deployment, |out| {
        // SAFETY: the descriptor is open.
        let set = unsafe { libc::fcntl(out.as_raw_fd(), libc::F_SETFL, libc::O_NONBLOCK) };
        assert_eq!(set, 0);
    });
    expect_all_lines(&process.messages_after_stop());
}
