//! HTTP/1.1 as far as the stand-ins need it: one message at a time on a blocking connection.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A message as it was read: its first line, its headers with names in lower case, its body.
#[derive(Debug, Clone)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn method_and_target(&self) -> (&str, &str) {
        let mut parts = self.first.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }

    /// Stated length of the body.
    pub fn length(&self) -> usize {
        let length = self.header("content-length").and_then(|l| l.parse().ok());
        length.unwrap_or(0)
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let mut parts = self.first.split(' ');
        parts.nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    /// Reads a message with a length or in chunks; `None` at the end of the connection.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        message.body = self.read_body(&message)?;
        Ok(Some(message))
    }

    /// Reads the head of a message; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.ahead.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers: Vec<_> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
            .collect();
        Ok(Some(Message {
            first,
            headers,
            body: Vec::new(),
        }))
    }

    fn read_body(&mut self, message: &Message) -> io::Result<Vec<u8>> {
        if message.header("transfer-encoding") == Some("chunked") {
            return self.chunks();
        }
        let length = message.length();
        while self.ahead.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..length).collect())
    }

    /// Reads a body with a length and drops it, a part each `period`, or without a pause; returns
    /// false if the connection ends before.
    pub fn drop_body(&mut self, length: usize, part: usize, period: Duration) -> bool {
        let mut read = self.ahead.len().min(length);
        self.ahead.drain(..read);
        let mut buf = vec![0; part];
        while read < length {
            let most = part.min(length - read);
            match self.stream.read(&mut buf[..most]) {
                Ok(0) | Err(_) => return false,
                Ok(count) => read += count,
            }
            if !period.is_zero() {
                std::thread::sleep(period);
            }
        }
        true
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = self.ahead.windows(2).position(|w| w == b"\r\n") {
                    break at;
                }
                if !self.fill()? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let size = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            self.ahead.drain(..end + 2);
            while self.ahead.len() < size + 2 {
                if !self.fill()? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            body.extend(self.ahead.drain(..size));
            self.ahead.drain(..2);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut buf = [0; 8192];
        let count = self.stream.read(&mut buf)?;
        self.ahead.extend_from_slice(&buf[..count]);
        Ok(count > 0)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// An answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
