//! Answers on connections that close while bytes still come in.

mod gateway_support;

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use gateway_support::rows::{RowCaller, look, order};
use gateway_support::{Deployment, Instance, Logs, parse, route, silent_deployment, until};
use googletest::prelude::*;
use serde_json::{Value, json};

/// Length of a long answer, in bytes; more than the buffers of a connection hold.
const LONG_ANSWER: usize = 100_000;

/// Length of an answer that the buffers of a connection hold, but not its caller's, in bytes.
const BUFFERED_ANSWER: usize = 40_000;

/// Receive buffer of a slow caller, in bytes.
const NARROW: u32 = 4_096;

/// What an instance logs of an answer that is not whole.
const CUT: &str = "answer ended before it was whole";

/// Length of a body that is refused, in bytes; more than the buffers of a connection hold.
const LONG_BODY: usize = 3_000_000;

/// Time after which a caller that sends without end is ended; the instance waits 2 s for a caller
/// that has its answer.
const ENDLESS: Duration = Duration::from_secs(6);

/// Connections that close at the same time.
const CALLERS: usize = 300;

/// Memory of the smallest machine, in megabytes.
const MACHINE_MB: u64 = 120;

/// Connects with a small receive buffer.
fn connect_narrow(address: SocketAddr) -> TcpStream {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let stream = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(NARROW)?;
        socket.connect(address).await?.into_std()
    });
    let stream = stream.expect("a connection");
    stream.set_nonblocking(false).expect("an open stream");
    stream
}

/// Reads one answer in small steps, and sends `behind` after each of them. Returns the bytes of its
/// body that arrived.
fn read_slowly(stream: &mut TcpStream, behind: &str) -> usize {
    read_in_steps(stream, behind, LONG_ANSWER, Duration::from_millis(10))
}

/// The same of an answer of some length, with a pause after each step.
fn read_in_steps(stream: &mut TcpStream, behind: &str, length: usize, pause: Duration) -> usize {
    let mut text = Vec::new();
    let mut part = [0; 4_096];
    loop {
        let body = whole_body(&text);
        if body >= length {
            return body;
        }
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return body,
            Ok(count) => text.extend_from_slice(&part[..count]),
        }
        thread::sleep(pause);
        // The other side may have ended the connection by now; what it sent before is still read.
        let _ = stream.write_all(behind.as_bytes());
    }
}

/// An endpoint with long answers below `/archive/`.
fn long_deployment() -> Deployment {
    let deployment = Deployment::unconfigured();
    deployment.c.answer_long("/archive/", LONG_ANSWER);
    let archive = route("archive", "/archive/", "idempotent", "console");
    deployment.configure(2, &json!([archive]));
    deployment
}

/// An instance before such an endpoint.
fn long_answers() -> (Deployment, Instance) {
    let deployment = long_deployment();
    let instance = deployment.ready_instance("one");
    (deployment, instance)
}

/// Guards against a reset that discards what the caller has not received yet of the last answer.
#[gtest]
fn the_last_answer_is_whole_although_the_caller_sends_on_during_a_stop() {
    let (_deployment, instance) = long_answers();
    let mut callers: Vec<_> = (0..4).map(|_| connect_narrow(instance.callers)).collect();
    for (n, caller) in callers.iter_mut().enumerate() {
        let first = look("GET /archive/1", &format!("before-{n}"));
        caller.write_all(first.as_bytes()).expect("it is sent");
        expect_that!(read_slowly(caller, ""), eq(LONG_ANSWER));
    }
    instance.terminate();
    thread::sleep(Duration::from_millis(300));
    for (n, caller) in callers.iter_mut().enumerate() {
        let last = look("GET /archive/1", &format!("last-{n}"));
        caller.write_all(last.as_bytes()).expect("it is sent");
    }
    thread::scope(|scope| {
        let reads = callers.iter_mut().map(|caller| {
            // The answer says that the connection closes, which this caller has not read yet.
            scope.spawn(|| read_slowly(caller, &look("GET /archive/1", "behind")))
        });
        let reads: Vec<_> = reads.collect();
        for read in reads {
            expect_that!(read.join().expect("the caller ends"), eq(LONG_ANSWER));
        }
    });
}

/// Guards against requests that were read behind others and get no answer when the instance stops.
#[gtest]
fn each_request_of_a_row_is_answered_when_the_instance_stops() {
    let (deployment, silent) = silent_deployment();
    let mut instance = deployment.ready_instance("one");
    let mut caller = RowCaller::connect(instance.callers);
    let ids = ["r0", "r1", "r2", "r3"];
    let row: String = ids
        .iter()
        .map(|id| order("POST /patient/1", id, "x"))
        .collect();
    caller.send(&row);
    until("the endpoint has a connection", || silent.connections() > 0);
    instance.terminate();
    let answers = caller.rest();
    let statuses: Vec<_> = answers.iter().map(|reply| reply.status).collect();
    expect_that!(
        statuses,
        elements_are![any![eq(&502), eq(&504)], eq(&503), eq(&503), eq(&503)]
    );
    for (reply, id) in answers.iter().zip(ids) {
        expect_that!(reply.header("x-request-id"), some(eq(id)));
        let says_close = reply.header("connection").is_some();
        expect_that!(says_close, eq(id == ids[ids.len() - 1]));
    }
    until("the process ends", || instance.ended() == Some(0));
}

/// Guards against a row whose last request is in chunks or not whole when the instance stops.
#[gtest]
fn only_whole_requests_of_a_row_are_answered_when_the_instance_stops() {
    let (deployment, silent) = silent_deployment();
    let mut instance = deployment.ready_instance("one");
    let mut caller = RowCaller::connect(instance.callers);
    let chunked = order("POST /patient/1", "chunked", "")
        .replace("Content-Length: 0", "Transfer-Encoding: chunked");
    let part = order("POST /patient/1", "part", "not whole");
    caller.send(&order("POST /patient/1", "first", "x"));
    until("the endpoint has a connection", || silent.connections() > 0);
    caller.send(&(chunked + "1\r\nx\r\n0\r\n\r\n" + &part[..part.len() - 1]));
    thread::sleep(Duration::from_millis(100));
    instance.terminate();
    let answers = caller.rest();
    let ids: Vec<_> = answers
        .iter()
        .map(|reply| reply.header("x-request-id"))
        .collect();
    expect_that!(ids, elements_are![some(eq(&"first")), some(eq(&"chunked"))]);
    let close = answers.last().and_then(|reply| reply.header("connection"));
    expect_that!(close, some(eq("close")));
    until("the process ends", || instance.ended() == Some(0));
}

/// Guards against a reset that breaks off a caller which still sends the body of a refused request.
#[gtest]
fn a_refusal_of_a_long_body_is_read_whole() {
    let (_deployment, instance) = long_answers();
    let mut caller = RowCaller::connect(instance.callers);
    let start = "POST /nowhere/1";
    let request = order(start, "refused", &"x".repeat(LONG_BODY));
    for part in request.as_bytes().chunks(16_384) {
        caller.stream.write_all(part).expect("it is sent");
        thread::sleep(Duration::from_millis(1));
    }
    let answer = caller.next().expect("an answer");
    expect_that!(answer.status, eq(404));
    expect_that!(answer.header("connection"), some(eq("close")));
    expect_that!(caller.next(), none());
}

/// Guards against a caller that sends without end and keeps a connection that closes.
#[gtest]
fn a_caller_that_sends_without_end_is_ended() {
    let deployment = long_deployment();
    let instance = deployment.instance_with_traffic("one", &json!({"closingBytes": 65_536}));
    let mut caller = RowCaller::connect(instance.callers);
    caller.send(&last_look("endless"));
    let began = Instant::now();
    let part = [b'x'; 4_096];
    caller
        .stream
        .set_nonblocking(true)
        .expect("an open connection");
    let mut body = Vec::new();
    let mut is_open = true;
    while is_open && began.elapsed() < ENDLESS {
        let mut read = [0; 4_096];
        if let Ok(count) = caller.stream.read(&mut read) {
            body.extend_from_slice(&read[..count]);
        }
        is_open = match caller.stream.write(&part) {
            Ok(_) => true,
            Err(e) => e.kind() == ErrorKind::WouldBlock,
        };
    }
    expect_false!(is_open);
    caller
        .stream
        .set_nonblocking(false)
        .expect("an open connection");
    // The end of the connection may be a reset.
    let _ = caller.stream.read_to_end(&mut body);
    expect_that!(whole_body(&body), eq(LONG_ANSWER));
}

/// Guards against a reset that discards an answer which was not passed on when its idle connection
/// is closed.
#[gtest]
fn an_answer_is_whole_although_its_idle_connection_is_closed() {
    let deployment = long_deployment();
    let mut instance = deployment.instance_with_piped_logs("one");
    let logs = instance.logs();
    until("the instance is ready", || instance.is_ready());
    let mut caller = connect_narrow(instance.callers);
    let request = look("GET /archive/1", "idle");
    caller.write_all(request.as_bytes()).expect("it is sent");
    instance.terminate();
    logs.line("idle connections are closed");
    thread::sleep(Duration::from_millis(200));
    expect_that!(
        read_slowly(&mut caller, &look("GET /archive/1", "unread")),
        eq(LONG_ANSWER)
    );
    until("the process ends", || instance.ended() == Some(0));
}

/// Guards against a caller that reads nothing, keeps a connection, and loses its answer.
#[gtest]
fn a_caller_that_never_reads_keeps_no_connection() {
    let deployment = long_deployment();
    deployment.c.answer_long("/archive/", BUFFERED_ANSWER);
    let instance = deployment.instance_with_traffic("one", &json!({"writeStallMs": 500}));
    let mut caller = connect_narrow(instance.callers);
    let request = last_look("never-reads");
    caller.write_all(request.as_bytes()).expect("it is sent");
    until("the caller is disconnected", || {
        let stalls = "citronway_write_stalls_total 1";
        instance.metrics().lines().any(|line| line == stalls)
    });
    expect_that!(read_slowly(&mut caller, ""), eq(BUFFERED_ANSWER));
}

/// Guards against connections that take unbounded memory while they close.
#[gtest]
fn hundreds_of_closing_connections_have_bounded_memory_and_whole_answers() {
    let deployment = long_deployment();
    deployment.c.answer_long("/archive/", BUFFERED_ANSWER);
    let instance = deployment.instance_with("one", |settings| {
        settings["self"]["limits"]["memoryMb"] = json!(MACHINE_MB);
        settings["traffic"] = json!({"writeStallMs": 60_000});
    });
    until("the instance is ready", || instance.is_ready());
    let mut callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let mut caller = connect_narrow(instance.callers);
            let request = last_look(&format!("many-{n}"));
            caller.write_all(request.as_bytes()).expect("it is sent");
            // The endpoint takes a few at a time.
            caller.peek(&mut [0]).expect("an answer begins");
            caller
        })
        .collect();
    for caller in &mut callers {
        let behind = "x".repeat(4_096);
        expect_that!(
            read_in_steps(caller, &behind, BUFFERED_ANSWER, Duration::ZERO),
            eq(BUFFERED_ANSWER)
        );
    }
    expect_that!(instance.usage().peak_kb, lt(MACHINE_MB * 1_024));
}

/// Guards against an answer that ends early and of which no log tells.
#[gtest]
fn an_answer_that_a_caller_leaves_is_told() {
    let (instance, _deployment, logs) = logged(&json!({}), LONG_ANSWER);
    let mut caller = connect_narrow(instance.callers);
    let request = look("GET /archive/1", "left");
    caller.write_all(request.as_bytes()).expect("it is sent");
    caller.peek(&mut [0]).expect("an answer begins");
    drop(caller);
    expect_cut(&instance, &logs, "left", "caller", 0);
}

/// Guards against an answer that a stall cuts and of which no log tells how much was missing.
#[gtest]
fn an_answer_that_nobody_reads_is_told() {
    let settings = json!({"writeStallMs": 500});
    let (instance, _deployment, logs) = logged(&settings, BUFFERED_ANSWER);
    let mut caller = connect_narrow(instance.callers);
    let request = last_look("unread");
    caller.write_all(request.as_bytes()).expect("it is sent");
    expect_cut(&instance, &logs, "unread", "stall", BUFFERED_ANSWER);
}

/// Guards against a process that ends over an answer that its caller has not received, unnoticed.
#[gtest]
fn an_answer_that_the_end_of_the_process_cuts_is_told() {
    let settings = json!({"writeStallMs": 60_000});
    let (mut instance, _deployment, logs) = logged(&settings, BUFFERED_ANSWER);
    let mut caller = connect_narrow(instance.callers);
    let request = look("GET /archive/1", "cut");
    caller.write_all(request.as_bytes()).expect("it is sent");
    caller.peek(&mut [0]).expect("an answer begins");
    instance.terminate();
    until("the process ends", || instance.ended() == Some(0));
    let line = logs.line(CUT);
    expect_that!(line["request"], eq(&json!("cut")));
    expect_that!(line["cause"], eq(&json!("stop")));
    expect_that!(line["unsent"].as_u64(), some(gt(0)));
}

/// Guards against answers without a body that are told as cut.
#[gtest]
fn an_answer_without_a_body_is_not_told() {
    let (instance, _deployment, logs) = logged(&json!({}), BUFFERED_ANSWER);
    let request = last_look("head").replace("GET /archive", "HEAD /nowhere");
    let mut caller = RowCaller::connect(instance.callers);
    caller.send(&request);
    let mut text = Vec::new();
    caller.stream.read_to_end(&mut text).expect("an answer");
    drop(caller);
    until("the connection is closed", || {
        let open = "citronway_connections 0";
        instance.metrics().lines().any(|line| line == open)
    });
    // The stated length is that of the body which is left out.
    let text = String::from_utf8_lossy(&text);
    expect_that!(text, starts_with("HTTP/1.1 404 "));
    expect_that!(text, ends_with("\r\n\r\n"));
    expect_false!(logs.all().iter().any(|line| line["message"] == CUT));
}

/// An instance with settings of its table `traffic`, before an endpoint with answers of a length.
fn logged(traffic: &Value, length: usize) -> (Instance, Deployment, Logs) {
    let deployment = long_deployment();
    deployment.c.answer_long("/archive/", length);
    let mut instance = deployment.instance_with("one", |settings| {
        settings["traffic"] = traffic.clone();
    });
    let logs = instance.logs();
    (instance, deployment, logs)
}

/// Expects that an answer is told to have ended early, with at least so many bytes written.
fn expect_cut(instance: &Instance, logs: &Logs, id: &str, cause: &str, sent: usize) {
    let line = logs.line(CUT);
    expect_that!(line["request"], eq(&json!(id)));
    expect_that!(line["cause"], eq(&json!(cause)));
    expect_that!(line["sent"].as_u64(), some(ge(sent as u64)));
    let counted = format!("citronway_cut_answers_total{{cause=\"{cause}\"}} 1");
    expect_that!(instance.metrics(), contains_substring(counted));
}

/// A request whose answer is the last one of its connection.
fn last_look(id: &str) -> String {
    look("GET /archive/1", id).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
}

/// Bytes of the body of an answer; 0 if its head is not whole.
fn whole_body(text: &[u8]) -> usize {
    parse(text).map_or(0, |reply| reply.body.len())
}
