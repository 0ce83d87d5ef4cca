//! Signals that come before and during the drain of an instance, and starts that fail.

mod gateway_support;

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use citronway_standin::shared::{Addresses, SETTINGS_VARIABLE, own_address};
use gateway_support::{Deployment, Reply, exchange, head, until};
use googletest::prelude::*;
use serde_json::Value;

/// Time that the endpoint takes for a request.
const WORK: Duration = Duration::from_millis(1_500);

/// Pause between two steps.
const PAUSE: Duration = Duration::from_millis(250);

/// Wait that callers state, in milliseconds.
const CALLER_WAIT_MS: u64 = 2_900;

/// Longest wait for the end of a readiness check; shorter than the drain.
const PROBE_LIMIT: Duration = Duration::from_secs(1);

/// What happens to an instance that has a request at an endpoint.
#[derive(Debug, Clone, Copy)]
enum Step {
    Signal(i32),
    BreakSettings,
    RemoveSettings,
    ShortenGrace,
}

/// A process of an instance with settings of its own; killed when dropped.
struct Process {
    settings: PathBuf,
    text: Value,
    callers: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Process {
    /// Starts an instance once `before` has seen its addresses.
    fn start_after(deployment: &Deployment, before: impl FnOnce(&Addresses)) -> Self {
        let addresses = Addresses::at(own_address());
        before(&addresses);
        let name = format!("signals-{}", uuid::Uuid::new_v4());
        let settings = std::env::temp_dir().join(format!("{name}.json"));
        let text = addresses.settings(&name, deployment.store.address());
        std::fs::write(&settings, text.to_string()).expect("settings can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_citronway"))
            .arg("--on-platform")
            .env(SETTINGS_VARIABLE, &settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the instance starts");
        Self {
            settings,
            text,
            callers: addresses.callers,
            ready: addresses.ready,
            child,
        }
    }

    fn start(deployment: &Deployment) -> Self {
        let process = Self::start_after(deployment, |_| {});
        until("the instance is ready", || {
            let head = "GET /api/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
            exchange(process.ready, head, "").is_some_and(|reply| reply.status == 200)
        });
        process
    }

    fn call(&self) -> Option<Reply> {
        let head = head("GET /status/1", "X-Request-Id: s\r\n", CALLER_WAIT_MS, 0);
        exchange(self.callers, &head, "")
    }

    fn step(&self, step: Step) {
        match step {
            Step::Signal(signal) => {
                let id = i32::try_from(self.child.id()).expect("a process id");
                // SAFETY: a signal to a child that has not been waited for.
                let sent = unsafe { libc::kill(id, signal) };
                assert_eq!(sent, 0);
            }
            Step::BreakSettings => std::fs::write(&self.settings, "{").expect("it is written"),
            Step::RemoveSettings => std::fs::remove_file(&self.settings).expect("it is removed"),
            Step::ShortenGrace => {
                let mut text = self.text.clone();
                text["terms"]["bounds"]["graceS"] = 0.5.into();
                std::fs::write(&self.settings, text.to_string()).expect("it is written");
            }
        }
    }

    /// Waits for the end; returns the exit code, which a process ended by a signal has not.
    fn exit_code(&mut self) -> Option<i32> {
        let mut ended = None;
        until("the process ends", || {
            ended = self.child.try_wait().expect("the process can be asked");
            ended.is_some()
        });
        ended.and_then(|status| status.code())
    }

    /// All lines of the logs of a process that has ended.
    fn logs(&mut self) -> String {
        let mut text = String::new();
        let logs = self.child.stdout.as_mut().expect("logs in a pipe");
        logs.read_to_string(&mut text).expect("the logs are text");
        text
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.child.try_wait().ok().flatten().is_none() {
            self.child.kill().expect("the process can be killed");
            self.child.wait().expect("the process has ended");
        }
        // Some tests have removed it.
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Takes `steps` while a request is at an endpoint; returns the status and the exit code.
fn run(steps: &[Step]) -> (Option<u16>, Option<i32>) {
    let deployment = Deployment::new();
    deployment.c.work(WORK);
    let mut process = Process::start(&deployment);
    let reply = thread::scope(|scope| {
        let call = scope.spawn(|| process.call());
        until("the endpoint runs it", || !deployment.c.ran().is_empty());
        for step in steps {
            process.step(*step);
            thread::sleep(PAUSE);
        }
        call.join().expect("the caller ends")
    });
    (reply.map(|reply| reply.status), process.exit_code())
}

/// Runs each row of steps with a deployment of its own.
fn expect_answers(rows: &[&[Step]]) {
    thread::scope(|scope| {
        let runs: Vec<_> = rows
            .iter()
            .map(|steps| (steps, scope.spawn(|| run(steps))))
            .collect();
        for (steps, run) in runs {
            let ended = run.join().expect("the run ends");
            expect_that!(ended, eq((Some(200), Some(0))), "{steps:?}");
        }
    });
}

const TERMINATE: Step = Step::Signal(libc::SIGTERM);
const HANG_UP: Step = Step::Signal(libc::SIGHUP);
const INTERRUPT: Step = Step::Signal(libc::SIGINT);

/// Guards against a signal during the drain that ends the process over a request at an endpoint.
#[gtest]
fn signals_in_a_row_do_not_cut_the_request_that_is_begun() {
    expect_answers(&[
        &[TERMINATE, TERMINATE],
        &[HANG_UP, TERMINATE],
        &[TERMINATE, HANG_UP, TERMINATE],
        &[TERMINATE, Step::Signal(libc::SIGPIPE)],
    ]);
}

/// Guards against settings that cannot be read, or that state less grace, during the drain.
#[gtest]
fn settings_that_change_during_the_drain_do_not_cut_the_request_that_is_begun() {
    expect_answers(&[
        &[TERMINATE, Step::BreakSettings, HANG_UP],
        &[TERMINATE, Step::RemoveSettings, HANG_UP],
        &[TERMINATE, Step::ShortenGrace, HANG_UP],
        &[Step::RemoveSettings, HANG_UP, TERMINATE],
        &[Step::BreakSettings, TERMINATE],
    ]);
}

/// Guards against an interrupt that ends the process at once, over the request that is begun.
#[gtest]
fn an_interrupt_stops_the_instance_as_a_termination_does() {
    expect_answers(&[
        &[INTERRUPT],
        &[INTERRUPT, INTERRUPT],
        &[TERMINATE, INTERRUPT],
    ]);
}

/// Guards against a signal without a meaning here that ends the process over its requests.
#[gtest]
fn a_user_signal_does_not_end_the_process() {
    let (first, second) = (Step::Signal(libc::SIGUSR1), Step::Signal(libc::SIGUSR2));
    expect_answers(&[&[first, second, TERMINATE], &[TERMINATE, first]]);
}

/// Where an instance takes reports.
fn reports_of(addresses: &Addresses) -> SocketAddr {
    let settings = addresses.settings("any", addresses.ready);
    let port = settings["network"]["portRange"][0].as_u64();
    let port = port.and_then(|port| u16::try_from(port).ok());
    SocketAddr::new(addresses.callers.ip(), port.expect("a port"))
}

/// Starts an instance whose start fails after its callers' port is open, while a caller sends a
/// request; returns the status, the exit code and the logs.
fn failing_start(occupy: impl FnOnce(&Addresses)) -> (Option<u16>, Option<i32>, String) {
    let deployment = Deployment::new();
    let mut process = Process::start_after(&deployment, occupy);
    let mut reply = None;
    until("the instance answers or ends", || {
        reply = process.call();
        let ended = process.child.try_wait().expect("the process can be asked");
        reply.is_some() || ended.is_some()
    });
    let code = process.exit_code();
    (reply.map(|reply| reply.status), code, process.logs())
}

/// Guards against a start that fails on another port over requests that were read.
#[gtest]
fn callers_are_answered_although_the_readiness_port_is_taken() {
    let mut taken = None;
    let (status, code, logs) = failing_start(|addresses| {
        taken = Some(TcpListener::bind(addresses.ready).expect("the port is free"));
    });
    expect_that!(status, some(eq(503)));
    expect_that!(code, some(eq(1)));
    expect_that!(logs, contains_substring("a duty failed"));
    expect_that!(logs, contains_substring("instance stops"));
}

/// Guards against a start that fails on the port for reports over requests that were read.
#[gtest]
fn callers_are_answered_although_the_port_for_reports_is_taken() {
    let mut taken = None;
    let (status, code, logs) = failing_start(|addresses| {
        taken = Some(UdpSocket::bind(reports_of(addresses)).expect("the port is free"));
    });
    expect_that!(status, some(eq(503)));
    expect_that!(code, some(eq(1)));
    expect_that!(logs, contains_substring("a duty failed"));
}

/// Guards against a readiness check without an answer while an instance whose start failed drains.
#[gtest]
fn the_readiness_port_is_closed_once_the_start_has_failed() {
    let deployment = Deployment::new();
    let mut taken = None;
    let process = Process::start_after(&deployment, |addresses| {
        taken = Some(UdpSocket::bind(reports_of(addresses)).expect("the port is free"));
    });
    until("callers are answered", || process.call().is_some());
    let ended = TcpStream::connect(process.ready).and_then(|mut stream| {
        stream.set_read_timeout(Some(PROBE_LIMIT))?;
        stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n")?;
        stream.read(&mut [0; 1_024])
    });
    let waits = ended.is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    expect_that!(waits, eq(false));
}
