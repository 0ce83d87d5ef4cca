//! Answers as callers read them: whole by their own framing, or none.

use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};

use citronway_standin::http::answer;

use super::WAIT_TIMEOUT;

/// An answer as a caller gets it.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Reply {
    /// Value of a header, if present.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines
            .into_iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, v)| v)
    }
}

/// Sends a request on its own connection; `None` if the connection ends without a whole answer.
pub fn exchange(address: SocketAddr, head: &str, body: &str) -> Option<Reply> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    read_only_answer(&mut stream)
}

/// Sends a request from the source address `source`; `None` if the connection ends without a whole
/// answer.
pub fn exchange_from(source: Ipv4Addr, address: SocketAddr, head: &str) -> Option<Reply> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .ok()?;
    let stream = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from((source, 0)))?;
        socket.connect(address).await?.into_std()
    });
    let mut stream = stream.ok()?;
    stream.set_nonblocking(false).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    read_only_answer(&mut stream)
}

/// Reads to the end of a connection; `None` if it brings no whole answer.
///
/// # Panics
///
/// If bytes come behind the answer.
pub fn read_only_answer(stream: &mut TcpStream) -> Option<Reply> {
    let mut text = Vec::new();
    // How it ends tells nothing: an answer is whole by its own framing.
    let end = stream.read_to_end(&mut text);
    let Some((reply, length)) = first_answer(&text) else {
        eprintln!("no whole answer: {} bytes, {end:?}", text.len());
        return None;
    };
    assert_eq!(length, text.len(), "bytes behind an answer, {}", reply.head);
    Some(reply)
}

/// The first answer; `None` if it is not whole.
pub fn parse(text: &[u8]) -> Option<Reply> {
    first_answer(text).map(|(reply, _)| reply)
}

/// The first answer and its length; `None` if it is not whole.
pub fn first_answer(text: &[u8]) -> Option<(Reply, usize)> {
    let whole = answer::first(text).expect("an answer with a stated length")?;
    let reply = Reply {
        status: whole.status,
        head: String::from_utf8_lossy(whole.head).into_owned(),
        body: String::from_utf8_lossy(&whole.body).into_owned(),
    };
    Some((reply, whole.length))
}
