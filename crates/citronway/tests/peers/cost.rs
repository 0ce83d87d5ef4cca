//! Cost of heartbeats and forwards over loopback, against a bare exchange of the
//! same size. A bounded run that asserts nothing; its figures are in
//! `docs/design/peers.md`.

use std::time::Instant;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::common::{Instance, answer, connected, heartbeat, request};

const ROUNDS: u64 = 5000;
const BATCH: u64 = 50;
const BODY: usize = 1024;

/// Wall time, processor time and bytes at the start of a measurement.
struct Start {
    wall: Instant,
    cpu_us: i64,
    bytes: u64,
}

fn cpu_us() -> i64 {
    // SAFETY: an all-zero `rusage` is valid, and the call fills it.
    let usage = unsafe {
        let mut usage: libc::rusage = std::mem::zeroed();
        libc::getrusage(libc::RUSAGE_SELF, &raw mut usage);
        usage
    };
    let us = |time: libc::timeval| time.tv_sec * 1_000_000 + time.tv_usec;
    us(usage.ru_utime) + us(usage.ru_stime)
}

fn bytes(a: &Instance) -> u64 {
    let counters = &a.handle.counters;
    counters.connection_bytes_sent.get() + counters.connection_bytes_received.get()
}

impl Start {
    fn now(bytes: u64) -> Self {
        Self {
            wall: Instant::now(),
            cpu_us: cpu_us(),
            bytes,
        }
    }

    fn print(&self, what: &str, bytes: u64, rounds: u64) {
        let n = rounds as f64;
        let wall = self.wall.elapsed().as_secs_f64() * 1e6 / n;
        let cpu = (cpu_us() - self.cpu_us) as f64 / n;
        let bytes = (bytes - self.bytes) as f64 / n;
        println!("{what}: {wall:.1} us, {cpu:.1} us of processor time, {bytes:.1} bytes");
    }
}

/// Sends and receives `BODY` bytes, one exchange after another.
async fn bare_exchange() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.set_nodelay(true).unwrap();
        let mut buf = [0; BODY];
        while stream.read_exact(&mut buf).await.is_ok() {
            stream.write_all(&buf).await.unwrap();
        }
    });
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let mut buf = [0; BODY];
    let start = Start::now(0);
    for _ in 0..ROUNDS {
        stream.write_all(&buf).await.unwrap();
        stream.read_exact(&mut buf).await.unwrap();
    }
    start.print("bare exchange", ROUNDS * 2 * BODY as u64, ROUNDS);
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "a measurement, run it by hand on a quiet machine in release mode"]
async fn cost() {
    let mut b = Instance::start("b", 2);
    let mut a = connected("a", &b.me, b.handle.local_addr).await;

    let start = Start::now(bytes(&a));
    for round in 0..ROUNDS {
        a.send(&b.me, heartbeat(round)).await;
        b.wait_message().await;
    }
    start.print("heartbeat, one at a time", bytes(&a), ROUNDS);

    let calls = a.handle.counters.control_calls_sent.get();
    let start = Start::now(bytes(&a));
    for round in 0..ROUNDS / BATCH {
        for i in 0..BATCH {
            a.send(&b.me, heartbeat(round * BATCH + i)).await;
        }
        for _ in 0..BATCH {
            b.wait_message().await;
        }
    }
    start.print("heartbeat, 50 at once", bytes(&a), ROUNDS);
    let calls = a.handle.counters.control_calls_sent.get() - calls;
    println!("  in {calls} calls");

    let start = Start::now(bytes(&a));
    let body = vec![7; BODY];
    for round in 0..ROUNDS {
        a.forward(round, &b.me, request(&body)).await;
        let (ticket, _) = b.wait_forwarded().await;
        b.reply(ticket, answer(&body)).await;
        a.wait_done().await;
    }
    start.print("forward, body and answer of 1 KiB", bytes(&a), ROUNDS);
    bare_exchange().await;
}
