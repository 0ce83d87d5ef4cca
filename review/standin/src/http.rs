//! Plain HTTP/1.1 over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer: its first line, headers and body.
pub struct Message {
    pub first: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        let found = all.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Second word of the first line: the path of a request, the status of an answer.
    pub fn second(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads messages with a stated length from a connection.
pub struct Reader {
    buf: Vec<u8>,
}

impl Reader {
    pub const fn new() -> Self {
        Self { buf: Vec::new() }
    }

    /// The next message; `None` if the connection ends before one begins.
    pub fn next(&mut self, stream: &mut TcpStream) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                break at;
            }
            if self.fill(stream)? == 0 {
                if self.buf.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(": "));
        let headers: Vec<_> = headers.map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
        let mut message = Message {
            first,
            headers,
            body: Vec::new(),
        };
        let length = message
            .header("content-length")
            .and_then(|n| n.parse().ok());
        let length: usize = length.unwrap_or(0);
        self.buf.drain(..end + 4);
        while self.buf.len() < length {
            if self.fill(stream)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buf.drain(..length).collect();
        Ok(Some(message))
    }

    fn fill(&mut self, stream: &mut TcpStream) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let count = stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..count]);
        Ok(count)
    }
}

fn find(buf: &[u8], what: &[u8]) -> Option<usize> {
    buf.windows(what.len()).position(|part| part == what)
}

/// Sends a request on a connection of its own and reads the answer.
pub fn exchange(to: SocketAddr, text: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(text)?;
    let answer = Reader::new().next(&mut stream)?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
