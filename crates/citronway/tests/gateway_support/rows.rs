//! A caller that sends further requests on its connection before the earlier ones are answered.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};

use super::{Reply, WAIT_MS, WAIT_TIMEOUT, head, parse};

/// A request of a row without a body; the connection is kept open after it.
pub fn look(start: &str, id: &str) -> String {
    look_within(start, id, WAIT_MS)
}

/// The same with the wait that its caller states, in milliseconds.
pub fn look_within(start: &str, id: &str, wait_ms: u64) -> String {
    let id = format!("X-Request-Id: {id}\r\n");
    head(start, &id, wait_ms, 0)
        .replace("Connection: close\r\n", "")
        .replace("Content-Length: 0\r\n", "")
}

/// A request of a row with a body.
pub fn order(start: &str, id: &str, body: &str) -> String {
    let id = format!("X-Request-Id: {id}\r\n");
    let head = head(start, &id, WAIT_MS, body.len());
    head.replace("Connection: close\r\n", "") + body
}

/// One connection of a caller.
pub struct RowCaller {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl RowCaller {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("a connection");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a limit");
        stream.set_nodelay(true).expect("an open stream");
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("it is sent");
    }

    /// The next whole answer; `None` if the connection ends before.
    pub fn next(&mut self) -> Option<Reply> {
        loop {
            if let Some(reply) = self.take_answer() {
                return Some(reply);
            }
            let mut part = [0; 16_384];
            match self.stream.read(&mut part) {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.unread.extend_from_slice(&part[..count]),
            }
        }
    }

    /// All answers until the connection ends.
    pub fn rest(&mut self) -> Vec<Reply> {
        std::iter::from_fn(|| self.next()).collect()
    }

    fn take_answer(&mut self) -> Option<Reply> {
        let end = self
            .unread
            .windows(4)
            .position(|bytes| bytes == b"\r\n\r\n")?
            + 4;
        let length: usize = parse(&self.unread[..end])?
            .header("content-length")?
            .parse()
            .ok()?;
        if self.unread.len() < end + length {
            return None;
        }
        let answer: Vec<_> = self.unread.drain(..end + length).collect();
        parse(&answer)
    }
}
