//! Finds the end of a caller's request in the bytes of its connection.
//!
//! Only a request that cannot be understood in two ways is framed. Any other is passed on as it
//! came, and so is everything behind it: the HTTP library alone then decides what it means.

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderName, HeaderValue, Method, Request, Uri, Version};

/// Most header lines of a request; the HTTP library refuses a request with more.
const MAX_HEADERS: usize = 100;

/// Length of the longest line end with the empty line behind it that ends a head.
const BLANK_LINE_BYTES: usize = 4;

/// What the bytes of a head mean.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Head {
    /// The head is not complete.
    Partial,
    /// The request may be understood in several ways, or is none.
    Unclear,
    Plain(PlainHead),
}

/// A head whose request ends at a known byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PlainHead {
    pub head_bytes: usize,
    pub body: BodyFrame,
    /// Whether the caller asks to close the connection after the answer.
    pub closes: bool,
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyFrame {
    /// It has so many bytes.
    Length(u64),
    Chunked,
}

/// Reads the head at the start of `buf`.
pub(super) fn read_head(buf: &[u8]) -> Head {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    let head_bytes = match req.parse(buf) {
        Ok(httparse::Status::Complete(bytes)) => bytes,
        Ok(httparse::Status::Partial) => return Head::Partial,
        Err(_malformed) => return Head::Unclear,
    };
    if req.version != Some(1)
        || req.method == Some(Method::CONNECT.as_str())
        || has_bare_line_feed(&buf[..head_bytes])
    {
        return Head::Unclear;
    }
    let mut body = None;
    let mut closes = false;
    for header in req.headers.iter() {
        if is_unclear(header.name) {
            return Head::Unclear;
        }
        if header.name.eq_ignore_ascii_case("connection") {
            match read_connection(header.value) {
                Some(close) => closes |= close,
                None => return Head::Unclear,
            }
        }
        let found = if header.name.eq_ignore_ascii_case("content-length") {
            read_length(header.value).map(BodyFrame::Length)
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            let is_chunked = header.value.eq_ignore_ascii_case(b"chunked");
            is_chunked.then_some(BodyFrame::Chunked)
        } else {
            continue;
        };
        // Two of them are unclear even if they agree.
        if found.is_none() || body.is_some() {
            return Head::Unclear;
        }
        body = found;
    }
    Head::Plain(PlainHead {
        head_bytes,
        body: body.unwrap_or(BodyFrame::Length(0)),
        closes,
    })
}

/// Builds the head at the start of `buf` as the HTTP library would; `None` if it would not.
pub(super) fn build_head(buf: &[u8]) -> Option<Parts> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    if !parsed.parse(buf).ok()?.is_complete() {
        return None;
    }
    let mut req = Request::new(());
    *req.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    // Shared bytes are what the library parses; what it accepts of a text may differ.
    *req.uri_mut() =
        Uri::from_maybe_shared(Bytes::copy_from_slice(parsed.path?.as_bytes())).ok()?;
    *req.version_mut() = Version::HTTP_11;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        req.headers_mut().append(name, value);
    }
    Some(req.into_parts().0)
}

/// Whether `buf` may contain the end of a head behind its first `searched` bytes; a cheap check
/// before it is parsed.
pub(super) fn has_blank_line(buf: &[u8], searched: usize) -> bool {
    let mut after_line_feed = false;
    for byte in &buf[searched.saturating_sub(BLANK_LINE_BYTES - 1)..] {
        match byte {
            b'\n' if after_line_feed => return true,
            b'\n' => after_line_feed = true,
            b'\r' => {}
            _ => after_line_feed = false,
        }
    }
    false
}

fn has_bare_line_feed(head: &[u8]) -> bool {
    let mut last = 0;
    for &byte in head {
        if byte == b'\n' && last != b'\r' {
            return true;
        }
        last = byte;
    }
    false
}

/// Whether a header changes how a request ends or what follows it.
fn is_unclear(name: &str) -> bool {
    const NAMES: [&str; 4] = ["expect", "upgrade", "http2-settings", "trailer"];
    NAMES.iter().any(|other| name.eq_ignore_ascii_case(other))
}

/// Whether a `Connection` header asks to close; `None` if it says anything but `close` or
/// `keep-alive`.
fn read_connection(value: &[u8]) -> Option<bool> {
    if value.eq_ignore_ascii_case(b"close") {
        return Some(true);
    }
    value.eq_ignore_ascii_case(b"keep-alive").then_some(false)
}

/// A body's length, if it is written in digits only.
fn read_length(value: &[u8]) -> Option<u64> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}
