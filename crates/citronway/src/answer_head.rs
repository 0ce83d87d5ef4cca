//! Checks of the heads of answers, before anything of an answer is used.
//!
//! The HTTP library reads a body up to the end of the connection if it does not know the last
//! transfer coding, drops codings before the last one, prefers a coding to a length that is stated
//! beside it, and accepts each status of three digits. An answer with such a head looks whole,
//! although its body may not be the sender's.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, StatusCode};

/// Why a head is not that of a valid answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The status is outside 200 to 599.
    #[error("the status is not that of a final answer")]
    Status,
    /// It is not clear how the body ends.
    #[error("the head does not say how the body ends")]
    Framing,
}

/// Checks the head of an answer to a request of `method`.
///
/// A body has one stated length, or the transfer coding `chunked` alone, or ends with its connection
/// (RFC 9112, section 6.3).
///
/// # Errors
///
/// When the status is not between 200 and 599, or it is not clear how the body ends.
pub fn check(method: &Method, status: StatusCode, headers: &HeaderMap) -> Result<(), HeadError> {
    // Interim answers are not passed on, and no request asks to switch protocols.
    if !(200..=599).contains(&status.as_u16()) {
        return Err(HeadError::Status);
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let length = lengths.next();
    if lengths.next().is_some() || length.is_some_and(|length| !is_length(length)) {
        return Err(HeadError::Framing);
    }
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let coding = codings.next();
    if coding.is_none() || !has_body(method, status) {
        return Ok(());
    }
    let is_chunked =
        coding.is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    if !is_chunked || codings.next().is_some() || length.is_some() {
        return Err(HeadError::Framing);
    }
    Ok(())
}

/// Whether an answer has a body, whatever its headers say.
fn has_body(method: &Method, status: StatusCode) -> bool {
    *method != Method::HEAD
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

fn is_length(value: &HeaderValue) -> bool {
    let Ok(text) = value.to_str() else {
        return false;
    };
    text.bytes().all(|byte| byte.is_ascii_digit()) && text.parse::<u64>().is_ok()
}
