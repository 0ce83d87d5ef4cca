//! Answers as bytes: whole by their own framing, or not.

use thiserror::Error;

/// Most headers of an answer.
const HEADERS: usize = 64;

/// Bytes that are no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("what came is no answer with a stated length")]
pub struct Malformed;

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Whole<'a> {
    /// Its status.
    pub status: u16,
    /// Its status line and headers, without the empty line.
    pub head: &'a [u8],
    /// Its body, without the framing of chunks.
    pub body: Vec<u8>,
    /// Its length in bytes, framing included.
    pub length: usize,
    /// The connection takes no more requests.
    pub is_last: bool,
}

/// How the end of a body is known.
enum Framing {
    Length(usize),
    Chunks,
}

/// The first answer in `bytes`; `None` if it is not whole.
///
/// # Errors
///
/// When the bytes are no answer, or one whose length only the end of the connection tells.
pub fn first(bytes: &[u8]) -> Result<Option<Whole<'_>>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let end = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(end)) => end,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Malformed),
    };
    // No request of a test asks to switch protocols.
    let is_known = |status: &u16| matches!(status, 100 | 102..=599);
    let status = parsed.code.filter(is_known).ok_or(Malformed)?;
    let behind = &bytes[end..];
    let body = match framing(status, parsed.headers)? {
        Framing::Length(length) => behind.get(..length).map(|body| (body.to_vec(), length)),
        Framing::Chunks => chunks(behind)?,
    };
    let is_last = parsed.version == Some(0) || says(parsed.headers, "connection", "close");
    Ok(body.map(|(body, length)| Whole {
        status,
        head: bytes[..end].trim_ascii_end(),
        body,
        length: end + length,
        is_last,
    }))
}

fn framing(status: u16, headers: &[httparse::Header<'_>]) -> Result<Framing, Malformed> {
    if matches!(status, 100..=199 | 204 | 304) {
        return Ok(Framing::Length(0));
    }
    let lengths: Vec<_> = values(headers, "content-length").collect();
    let codings: Vec<_> = values(headers, "transfer-encoding").collect();
    match (lengths.as_slice(), codings.as_slice()) {
        ([length], []) if length.bytes().all(|byte| byte.is_ascii_digit()) => {
            let length = length.parse().ok().ok_or(Malformed)?;
            Ok(Framing::Length(length))
        }
        ([], [coding]) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunks),
        _ => Err(Malformed),
    }
}

/// The body and its length with its framing; `None` if its end has not come.
fn chunks(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let (start, size) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Malformed),
        };
        at += start;
        let size = usize::try_from(size).ok().ok_or(Malformed)?;
        if size == 0 {
            return trailers(&bytes[at..]).map(|length| length.map(|length| (body, at + length)));
        }
        let Some(chunk) = bytes.get(at..at.saturating_add(size).saturating_add(2)) else {
            return Ok(None);
        };
        let data = chunk.strip_suffix(b"\r\n").ok_or(Malformed)?;
        body.extend_from_slice(data);
        at += chunk.len();
    }
}

/// Length of what follows the last chunk; `None` if its end has not come.
fn trailers(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    match httparse::parse_headers(bytes, &mut headers) {
        Ok(httparse::Status::Complete((length, _))) => Ok(Some(length)),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(Malformed),
    }
}

fn values<'a>(
    headers: &'a [httparse::Header<'_>],
    name: &'a str,
) -> impl Iterator<Item = &'a str> + 'a {
    let named = headers
        .iter()
        .filter(move |header| header.name.eq_ignore_ascii_case(name));
    named.filter_map(|header| str::from_utf8(header.value).ok())
}

fn says(headers: &[httparse::Header<'_>], name: &str, word: &str) -> bool {
    let mut words = values(headers, name).flat_map(|value| value.split(','));
    words.any(|said| said.trim().eq_ignore_ascii_case(word))
}
