//! One request and its answer on a connection, as bytes.
//!
//! A client library hides what matters here: whether a connection that ended without an
//! answer ended before the request was read or after.

use std::fmt;
use std::io;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::http::answer;

/// Most bytes that a quick caller reads at once.
const PART: u64 = 64 * 1024;

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
    /// With bytes that are no answer, or that belong to no request.
    Wrong,
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unread => "its connection was reset",
            Self::Read => "it was read, and its connection ended",
            Self::Within => "its connection ended within the answer",
            Self::Open => "its connection stays open and silent",
            Self::Wrong => "bytes came that are no answer to it",
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
    let answer = read_answer(stream, &mut got).await?;
    if got.is_empty() {
        Ok(answer)
    } else {
        Err(Cut::Wrong)
    }
}

/// Reads the next answer; `got` holds what was read beyond it, before and after.
///
/// # Errors
///
/// When the connection ends without a whole answer.
pub async fn read_answer(stream: &mut TcpStream, got: &mut Vec<u8>) -> Result<Answer, Cut> {
    loop {
        if let Some(answer) = take_answer(got)? {
            return Ok(answer);
        }
        read_more(stream, got, PART).await?;
    }
}

/// Takes the first answer out of what was read; `None` if it is not whole.
pub(super) fn take_answer(got: &mut Vec<u8>) -> Result<Option<Answer>, Cut> {
    let whole = match answer::first(got) {
        Ok(Some(whole)) => whole,
        Ok(None) => return Ok(None),
        Err(answer::Malformed) => return Err(Cut::Wrong),
    };
    let answer = Answer {
        status: whole.status,
        body: String::from_utf8_lossy(&whole.body).into_owned(),
        is_last: whole.is_last,
    };
    let length = whole.length;
    got.drain(..length);
    Ok(Some(answer))
}

/// Reads at most `most` bytes of an answer that is not whole yet.
pub(super) async fn read_more(
    stream: &mut TcpStream,
    got: &mut Vec<u8>,
    most: u64,
) -> Result<(), Cut> {
    let has_begun = !got.is_empty();
    match stream.take(most).read_buf(got).await {
        Ok(1..) => Ok(()),
        Ok(_) | Err(_) if has_begun => Err(Cut::Within),
        Ok(_) => Err(Cut::Read),
        Err(_reset) => Err(Cut::Unread),
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
