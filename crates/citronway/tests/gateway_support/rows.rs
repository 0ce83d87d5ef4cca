//! A caller that sends further requests on its connection before the earlier ones are answered.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};

use super::{Reply, WAIT_MS, WAIT_TIMEOUT, first_answer, head};

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

    /// The next whole answer; `None` if the connection ends before it begins.
    ///
    /// # Panics
    ///
    /// If the connection ends within the answer.
    pub fn next(&mut self) -> Option<Reply> {
        loop {
            if let Some((reply, length)) = first_answer(&self.unread) {
                self.unread.drain(..length);
                return Some(reply);
            }
            let mut part = [0; 16_384];
            let read = self.stream.read(&mut part);
            let Ok(count @ 1..) = read else {
                let got = self.unread.len();
                assert_eq!(got, 0, "the connection ended within an answer: {read:?}");
                return None;
            };
            self.unread.extend_from_slice(&part[..count]);
        }
    }

    /// All answers until the connection ends.
    pub fn rest(&mut self) -> Vec<Reply> {
        std::iter::from_fn(|| self.next()).collect()
    }
}
