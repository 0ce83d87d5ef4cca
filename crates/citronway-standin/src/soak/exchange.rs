//! One request and its answer on a connection, as bytes.
//!
//! A client library hides what matters here: whether a connection that ended without an
//! answer ended before the request was read or after.

use std::fmt;
use std::io;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// How a connection ended on which a whole request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Before a byte of the request was read: the system then resets the connection.
    Unread,
    /// After the request was read, without a byte of an answer.
    Read,
    /// Within the answer.
    Within,
    /// Not at all: its caller gave up.
    Open,
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unread => "its connection was reset",
            Self::Read => "it was read, and its connection ended",
            Self::Within => "its connection ended within the answer",
            Self::Open => "its connection stays open and silent",
        })
    }
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: String,
    /// The connection takes no more requests.
    pub is_last: bool,
}

/// Sends a request and reads its answer.
///
/// # Errors
///
/// When the connection ends without a whole answer.
pub async fn exchange(stream: &mut TcpStream, req: &[u8]) -> Result<Answer, Cut> {
    if stream.write_all(req).await.is_err() {
        return Err(Cut::Unread);
    }
    let mut got = Vec::new();
    let mut answer = read_answer(stream, &mut got).await?;
    // Bytes that belong to no request are shown with the answer.
    answer.body.push_str(&String::from_utf8_lossy(&got));
    Ok(answer)
}

/// Reads the next answer; `got` holds what was read beyond it, before and after.
///
/// # Errors
///
/// When the connection ends without a whole answer.
pub async fn read_answer(stream: &mut TcpStream, got: &mut Vec<u8>) -> Result<Answer, Cut> {
    loop {
        if let Some((answer, length)) = whole(got) {
            got.drain(..length);
            return Ok(answer);
        }
        match stream.read_buf(got).await {
            Ok(1..) => {}
            Ok(_) | Err(_) if !got.is_empty() => return Err(Cut::Within),
            Ok(_) => return Err(Cut::Read),
            Err(_reset) => return Err(Cut::Unread),
        }
    }
}

/// Whether a connection that had ended in order was reset afterwards.
///
/// An end and a request may cross: the other side ends its half, the request arrives, the
/// other side closes without having read it. The end is seen first, and the reset that
/// says "not read" once the other side's process is gone at the latest.
///
/// # Errors
///
/// When the system does not say.
pub fn was_reset(stream: &TcpStream) -> io::Result<bool> {
    Ok(stream.take_error()?.is_some())
}

/// Whether an open connection may take another request.
pub(super) fn is_open(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0]);
    matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// The first answer and its length in bytes; `None` if it is not whole.
fn whole(got: &[u8]) -> Option<(Answer, usize)> {
    let end = got.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&got[..end]).to_ascii_lowercase();
    let body = &got[end + 4..];
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let value = |name: &str| {
        let mut pairs = head.lines().filter_map(|line| line.split_once(": "));
        pairs.find(|pair| pair.0 == name).map(|pair| pair.1)
    };
    let length: usize = value("content-length")?.parse().ok()?;
    let body = body.get(..length)?;
    let answer = Answer {
        status,
        body: String::from_utf8_lossy(body).into_owned(),
        is_last: value("connection") == Some("close"),
    };
    Some((answer, end + 4 + length))
}
