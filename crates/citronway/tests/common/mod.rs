//! Small fakes for tests of the edges: one side of a connection, played by hand.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use citronway_core::node::Event;
use tokio::sync::mpsc::Receiver;

/// Bound of every wait, far above what a passing test needs.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// Pause between two looks for a connection.
const GLANCE: Duration = Duration::from_millis(1);

/// A listener on the loopback address.
pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("loopback can be bound");
    listener.set_nonblocking(true).expect("non-blocking");
    let address = listener.local_addr().expect("listener has an address");
    (listener, address)
}

/// An address where nobody listens.
pub fn dead_address() -> SocketAddr {
    listener().1
}

/// The next event.
pub fn next(events: &mut Receiver<Event>) -> Event {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("runtime");
    runtime
        .block_on(async { tokio::time::timeout(PATIENCE, events.recv()).await })
        .expect("an event in time")
        .expect("an open ring")
}

/// One side of an HTTP/1.1 connection.
pub struct Peer {
    stream: TcpStream,
    buf: Vec<u8>,
}

/// A request or answer as it came.
#[derive(Debug)]
pub struct Message {
    /// First line and headers.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// The first line without the protocol's version.
    pub fn start(&self) -> &str {
        let line = self.head.lines().next().unwrap_or_default();
        line.trim_start_matches("HTTP/1.1 ")
            .trim_end_matches(" HTTP/1.1")
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.start().split(' ').next();
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut values = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value)
    }

    /// The body as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("JSON")
    }
}

impl Peer {
    /// Takes the next connection of `listener`.
    pub fn accept(listener: &TcpListener) -> Self {
        let end = Instant::now() + PATIENCE;
        loop {
            match listener.accept() {
                Ok((stream, _)) => return Self::new(stream),
                Err(err) => assert_eq!(err.kind(), ErrorKind::WouldBlock),
            }
            assert!(Instant::now() < end, "no connection came");
            std::thread::sleep(GLANCE);
        }
    }

    /// Connects to `address`.
    pub fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).expect("a connection"))
    }

    fn new(stream: TcpStream) -> Self {
        stream.set_nonblocking(false).expect("blocking");
        stream.set_read_timeout(Some(PATIENCE)).expect("timeout");
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Reads one request or answer with a stated length.
    pub fn read(&mut self) -> Message {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|part| part == b"\r\n\r\n") {
                break at + 4;
            }
            assert!(self.fill() > 0, "connection closed before a message");
        };
        let head = String::from_utf8(self.buf.drain(..end).collect()).expect("text");
        let mut message = Message { head, body: vec![] };
        let length = message.header("content-length");
        let length = length.map_or(0, |length| length.parse().expect("a number"));
        while self.buf.len() < length {
            assert!(self.fill() > 0, "connection closed within a body");
        }
        message.body = self.buf.drain(..length).collect();
        message
    }

    /// Writes bytes; the other side may have closed already.
    pub fn write(&mut self, text: &str) {
        if let Err(err) = self.stream.write_all(text.as_bytes()) {
            assert!(matches!(
                err.kind(),
                ErrorKind::BrokenPipe | ErrorKind::ConnectionReset
            ));
        }
    }

    /// Writes bytes that the other side has to take to the last one.
    pub fn write_whole(&mut self, text: &str) {
        let written = self.stream.write_all(text.as_bytes());
        written.expect("an open connection");
    }

    /// Writes an answer with a stated length; `headers` end with a line break each.
    pub fn answer(&mut self, status: u16, headers: &str, body: &str) {
        let length = body.len();
        self.write(&format!(
            "HTTP/1.1 {status} X\r\n{headers}content-length: {length}\r\n\r\n{body}"
        ));
    }

    /// Ends this side's writing, as a server does that closes an idle connection.
    pub fn finish_writing(&self) {
        self.stream
            .shutdown(std::net::Shutdown::Write)
            .expect("an open connection");
    }

    /// Waits until the other side has closed, and gives the bytes that came before.
    pub fn until_closed(&mut self) -> usize {
        while self.fill() > 0 {}
        self.buf.len()
    }

    fn fill(&mut self) -> usize {
        let mut buf = [0; 8192];
        match self.stream.read(&mut buf) {
            Ok(count) => {
                self.buf.extend_from_slice(&buf[..count]);
                count
            }
            Err(err) if err.kind() == ErrorKind::ConnectionReset => 0,
            Err(err) => panic!("connection broke: {err}"),
        }
    }
}
