//! Instances whose callers want more memory than there is.

mod gateway_support;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use citronway_standin::shared::{FencedEndpoint, configuration};
use gateway_support::{
    Deployment, Instance, Logs, Reply, first_answer, head, read_only_answer, route, until,
};
use googletest::prelude::*;
use serde_json::json;

/// Memory of the smallest machine, in megabytes.
const MACHINE_MB: u64 = 120;

/// Longest answers of the deployments that this is for, in bytes.
const LONG_ANSWER: usize = 540_000;

/// Wait that callers state, in milliseconds; longer than any test takes.
const LONG_WAIT_MS: u64 = 30_000;

/// Longest body of a request, in bytes.
const MAX_BODY: usize = 64 << 20;

/// An endpoint with long answers below `/archive/`, and an instance of 120 MB before it.
fn small_instance(write_stall_ms: u64) -> (Deployment, Instance, Logs) {
    let deployment = Deployment::unconfigured();
    deployment.c.answer_long("/archive/", LONG_ANSWER);
    let archive = route("archive", "/archive/", "idempotent", "console");
    let mut written = configuration(2, &json!([archive]));
    written["limits"]["maxBodyBytes"] = json!(MAX_BODY);
    deployment.store.put("op", "config", &written);
    let mut instance = deployment.instance_with("one", |settings| {
        settings["self"]["limits"]["memoryMb"] = json!(MACHINE_MB);
        settings["traffic"] = json!({"writeStallMs": write_stall_ms});
    });
    let logs = instance.logs();
    (deployment, instance, logs)
}

/// Sends a request for a long answer and reads nothing.
fn ask(instance: &Instance, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(instance.callers).expect("a connection");
    let headers = format!("X-Request-Id: {id}\r\n");
    let text = head("GET /archive/1", &headers, LONG_WAIT_MS, 0);
    stream.write_all(text.as_bytes()).expect("a request");
    stream
}

fn call_short(instance: &Instance, id: usize) -> Option<Reply> {
    instance.try_call(
        "GET /status/1",
        &format!("X-Request-Id: short-{id}\r\n"),
        "",
    )
}

/// Value of a metric.
fn metric(instance: &Instance, name: &str) -> u64 {
    let text = instance.metrics();
    let value = text.lines().find_map(|line| line.strip_prefix(name));
    let value = value.and_then(|value| value.trim().parse().ok());
    value.unwrap_or_else(|| panic!("{name} in {text}"))
}

fn used(instance: &Instance, purpose: &str) -> u64 {
    metric(
        instance,
        &format!("citronway_memory_used_bytes{{use=\"{purpose}\"}}"),
    )
}

/// Failure: answers that are read slowly fill the memory of a small machine, and its process is
/// ended or serves nobody else.
#[gtest]
fn hundreds_of_slow_readers_of_long_answers_leave_room_for_others() {
    let (_deployment, mut instance, logs) = small_instance(60_000);
    expect_that!(
        call_short(&instance, 0).map(|reply| reply.status),
        some(eq(200))
    );
    let mut readers = Vec::new();
    for batch in 0..60 {
        let asked = (0..5).map(|i| ask(&instance, &format!("slow-{batch}-{i}")));
        let asked: Vec<_> = asked.collect();
        for stream in &asked {
            stream.peek(&mut [0]).expect("the first byte of an answer");
        }
        readers.extend(asked);
    }
    for i in 1..40 {
        expect_that!(
            call_short(&instance, i).map(|reply| reply.status),
            some(eq(200))
        );
    }
    let budget = metric(&instance, "citronway_memory_limit_bytes");
    until("half of the budget is in use", || {
        used(&instance, "answers") > budget / 2
    });
    let answers = used(&instance, "answers");
    let counted = answers + used(&instance, "connections") + used(&instance, "requests");
    let mut resident = 0;
    until("the size of the process is read again", || {
        resident = metric(&instance, "citronway_memory_resident_bytes");
        resident > answers
    });
    expect_that!(budget, eq(MACHINE_MB * 1024 * 1024 / 100 * 60));
    expect_that!(counted, le(budget));
    expect_that!(resident, lt(MACHINE_MB * 1024 * 1024));
    // What the budget does not count has to fit into the rest of the machine.
    expect_that!(
        resident.saturating_sub(counted),
        lt(MACHINE_MB * 1024 * 1024 - budget)
    );
    let change = logs.line("pressure on memory changed");
    expect_that!(change["resident_kb"].as_u64(), some(gt(0)));
    let refused = readers.iter_mut().map(is_refused);
    let refused = refused.filter(|refused| *refused).count();
    expect_that!(refused, all![gt(0), lt(250)]);
    drop(readers);
    until("all memory is released", || used(&instance, "answers") == 0);
    expect_that!(instance.ended(), none());
}

/// Whether the answer is a refusal that says `out_of_memory`; reads the whole answer.
fn is_refused(stream: &mut TcpStream) -> bool {
    let reply = read_only_answer(stream).expect("an answer");
    let refused = reply.status == 503;
    if refused {
        assert_eq!(reply.body, "out_of_memory");
        // Nothing is released as long as the readers read nothing.
        let retry_after = reply.header("retry-after").expect("a time to retry");
        assert!(
            retry_after.parse::<f64>().expect("seconds") >= 1.0,
            "{retry_after}"
        );
    } else {
        assert_eq!(reply.body.len(), LONG_ANSWER);
    }
    refused
}

/// Failure: a body that the machine cannot hold is read until the process is ended.
#[gtest]
fn a_body_without_room_is_refused_before_it_is_read() {
    let (deployment, instance, _logs) = small_instance(5_000);
    let mut stream = TcpStream::connect(instance.callers).expect("a connection");
    let text = head(
        "POST /order/1",
        "X-Request-Id: long\r\n",
        LONG_WAIT_MS,
        MAX_BODY,
    );
    let began = Instant::now();
    stream.write_all(text.as_bytes()).expect("a head");
    let (mut read, mut part) = (Vec::new(), [0; 1_024]);
    while first_answer(&read).is_none() {
        let count = stream.read(&mut part).expect("an answer");
        assert_ne!(count, 0, "the connection ended within an answer");
        read.extend_from_slice(&part[..count]);
    }
    expect_that!(began.elapsed(), lt(Duration::from_millis(500)));
    let (reply, length) = first_answer(&read).expect("an answer");
    expect_that!(length, eq(read.len()));
    expect_that!(reply.status, eq(503));
    expect_that!(reply.body, eq("out_of_memory"));
    expect_that!(reply.header("retry-after"), some(anything()));
    expect_that!(deployment.c.ran(), is_empty());
    drop(stream);
    until("its memory is released", || {
        used(&instance, "requests") == 0
    });
}

/// Failure: a body that does not state its length is not counted, and the process is ended.
#[gtest]
fn a_growing_body_without_room_is_refused_and_its_caller_sees_it() {
    let (deployment, mut instance, _logs) = small_instance(5_000);
    let mut stream = TcpStream::connect(instance.callers).expect("a connection");
    let text = head("POST /order/1", "X-Request-Id: chunks\r\n", LONG_WAIT_MS, 0);
    let text = text.replace("Content-Length: 0", "Transfer-Encoding: chunked");
    stream.write_all(text.as_bytes()).expect("a head");
    let chunk = format!("100000\r\n{}\r\n", "-".repeat(1 << 20));
    for _ in 0..63 {
        stream.write_all(chunk.as_bytes()).expect("a chunk");
    }
    stream.write_all(b"0\r\n\r\n").expect("the end");
    let reply = read_only_answer(&mut stream).expect("an answer");
    expect_that!(
        (reply.status, reply.body.as_str()),
        eq((503, "out_of_memory"))
    );
    expect_that!(deployment.c.ran(), is_empty());
    expect_that!(instance.ended(), none());
}

/// Failure: a caller that takes nothing of its answer keeps its memory for as long as it likes.
#[gtest]
fn a_caller_that_takes_nothing_is_disconnected_and_named() {
    let (_deployment, instance, logs) = small_instance(500);
    let stream = ask(&instance, "takes-nothing");
    let line = logs.line("caller takes no byte of its answer; its connection is closed");
    expect_that!(line["request"], eq(&json!("takes-nothing")));
    until("its memory is released", || used(&instance, "answers") == 0);
    expect_that!(metric(&instance, "citronway_write_stalls_total"), eq(1));
    drop(stream);
}

/// Failure: a caller that reads slowly is taken for one that reads nothing.
#[gtest]
fn a_caller_that_reads_slowly_gets_its_whole_answer() {
    let (_deployment, instance, _logs) = small_instance(1_000);
    let mut stream = ask(&instance, "slow");
    let mut text = Vec::new();
    let mut part = vec![0; 32 * 1024];
    loop {
        std::thread::sleep(Duration::from_millis(150));
        let length = stream.read(&mut part).expect("bytes");
        if length == 0 {
            break;
        }
        text.extend_from_slice(&part[..length]);
    }
    let (reply, length) = first_answer(&text).expect("an answer");
    expect_that!(length, eq(text.len()));
    expect_that!((reply.status, reply.body.len()), eq((200, LONG_ANSWER)));
    expect_that!(metric(&instance, "citronway_write_stalls_total"), eq(0));
}

/// Size of a body of which several are too much for an endpoint, in bytes.
const LONG_BODY: usize = 60_000;

/// Sends three requests with long bodies at once; returns a status for each.
fn send_three(instance: &Instance, path: &str, while_at_work: impl FnOnce()) -> Vec<u16> {
    std::thread::scope(|scope| {
        let call = |i: usize| {
            let headers = format!("X-Request-Id: {path}-{i}\r\n");
            let body = "-".repeat(LONG_BODY);
            instance.call_with(&format!("POST /order/{path}-{i}"), &headers, &body)
        };
        let callers: Vec<_> = (0..3)
            .map(|i| scope.spawn(move || call(i).status))
            .collect();
        while_at_work();
        let statuses = callers.into_iter();
        statuses
            .map(|caller| caller.join().expect("no panic"))
            .collect()
    })
}

/// Failure: an endpoint crashes under the bytes of several requests, and the next one is sent as
/// many.
#[gtest]
fn an_endpoint_gets_fewer_bytes_than_another_has_crashed_with() {
    let (deployment, instance, logs) = small_instance(5_000);
    deployment.c.work(Duration::from_secs(3));
    let statuses = send_three(&instance, "first", || {
        until("all are at work", || deployment.c.ran().len() == 3);
        deployment.c.crash();
    });
    expect_that!(statuses, each(eq(&502)));
    let learned = logs.line("endpoints of a service get a bound on the bytes of requests");
    expect_that!(learned["service"], eq(&json!("console")));
    expect_that!(learned["requests"], eq(&json!(3)));
    expect_that!(learned["bound_kb"].as_u64(), some(all![ge(120), lt(150)]));
    deployment.unlist(&deployment.c);
    let next = FencedEndpoint::start("i-next", "console", false).expect("an endpoint");
    deployment.list(&next, "ready");
    until("the endpoint serves", || {
        call_short(&instance, 0).is_some_and(|reply| reply.status == 200)
    });
    let before = next.ran().len();
    let work = Duration::from_millis(500);
    next.work(work);
    let statuses = send_three(&instance, "second", || {});
    expect_that!(statuses, each(eq(&200)));
    let ran = next.ran().split_off(before);
    expect_that!(ran.len(), eq(3));
    // Two have room at once, and the third begins when one of them is done.
    expect_that!(ran[2].at - ran[0].at, ge(work));
}
