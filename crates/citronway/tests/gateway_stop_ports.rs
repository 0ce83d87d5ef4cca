//! Connections to the ports for readiness and metrics.

mod gateway_support;

use std::io::{Read as _, Write as _};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use citronway_standin::shared::Addresses;
use gateway_support::{Deployment, Instance, Reply, parse, until};
use googletest::prelude::*;

/// Port of the metrics, as in the deploy file.
const METRICS_PORT: u16 = 9_464;

/// Receive buffer of a slow reader, in bytes.
const NARROW: u32 = 4_096;

/// Connections that are opened and left.
const LEFT_OPEN: usize = 300;

/// Most of them that may stay open.
const MAX_OPEN: usize = 100;

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

fn metrics_of(instance: &Instance) -> SocketAddr {
    SocketAddr::new(instance.callers.ip(), METRICS_PORT)
}

/// Whether all of the body has come that the head states.
fn is_whole(reply: &Reply) -> bool {
    let length = reply.header("content-length").map(str::parse::<usize>);
    length == Some(Ok(reply.body.len()))
}

/// Guards against a reset that discards what a slow reader of the metrics has not received.
#[gtest]
fn metrics_are_whole_although_the_reader_sends_on() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    let mut reader = connect_narrow(metrics_of(&instance));
    let head = "GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
    reader.write_all(head.as_bytes()).expect("it is sent");
    let mut text = Vec::new();
    let mut part = [0; 1_024];
    loop {
        thread::sleep(Duration::from_millis(20));
        // The other side may have ended the connection by now.
        let _ = reader.write_all(b"more");
        match reader.read(&mut part) {
            Ok(0) | Err(_) => break,
            Ok(count) => text.extend_from_slice(&part[..count]),
        }
        if parse(&text).is_some_and(|reply| is_whole(&reply)) {
            break;
        }
    }
    let reply = parse(&text).expect("a head");
    expect_that!(is_whole(&reply), eq(true), "{} bytes", reply.body.len());
}

/// Number of connections that the other side has not ended.
fn open_count(streams: &[TcpStream]) -> usize {
    let is_open = |stream: &&TcpStream| {
        let mut stream = *stream;
        stream.set_nonblocking(true).expect("an open stream");
        let read = stream.read(&mut [0]);
        read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    };
    streams.iter().filter(is_open).count()
}

/// Sends a readiness check on a kept connection; returns the status line.
fn probe(stream: &mut TcpStream) -> String {
    let head = "GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("it is sent");
    let mut text = Vec::new();
    let mut part = [0; 1_024];
    while parse(&text).is_none() {
        let count = stream.read(&mut part).expect("an answer");
        assert!(count > 0, "the connection has ended");
        text.extend_from_slice(&part[..count]);
    }
    let reply = parse(&text).expect("a head");
    reply.head.lines().next().unwrap_or_default().to_owned()
}

/// Guards against connections without end to an internal port, which take all descriptors and leave
/// none for callers.
#[gtest]
fn idle_connections_to_internal_ports_are_bounded() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    let IpAddr::V4(ip) = instance.callers.ip() else {
        panic!("an address of version 4");
    };
    let ready = Addresses::at(ip).ready;
    let mut balancer = TcpStream::connect(ready).expect("a connection");
    for address in [ready, metrics_of(&instance)] {
        let mut idle = Vec::new();
        for _ in 0..LEFT_OPEN {
            idle.push(TcpStream::connect(address).expect("a connection"));
            if idle.len().is_multiple_of(10) {
                expect_that!(probe(&mut balancer), eq("HTTP/1.1 200 OK"));
            }
        }
        until("the oldest have ended", || open_count(&idle) <= MAX_OPEN);
    }
    expect_that!(probe(&mut balancer), eq("HTTP/1.1 200 OK"));
    expect_that!(instance.is_ready(), eq(true));
    expect_that!(instance.metrics(), contains_substring("citronway_"));
}
