//! Percent-encoding of text in HTTP headers.

use std::fmt::Write as _;

use serde::Serialize;

/// Why a text could not be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum DecodeError {
    /// A percent sign without two hexadecimal digits.
    #[error("a percent sign is not followed by two hexadecimal digits")]
    BadEscape,
    /// The decoded bytes are not UTF-8.
    #[error("the decoded text is not UTF-8")]
    NotUtf8,
}

/// Encodes everything but letters, digits and `-._~`.
#[must_use]
pub fn encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            out.push(char::from(byte));
            continue;
        }
        // Writing to a string cannot fail.
        let _ = write!(out, "%{byte:02X}");
    }
    out
}

/// Decodes escapes; everything else stands for itself.
///
/// # Errors
///
/// If an escape is malformed or the result is not UTF-8.
pub fn decode(text: &[u8]) -> Result<String, DecodeError> {
    let mut out = Vec::with_capacity(text.len());
    let mut rest = text.iter();
    while let Some(&byte) = rest.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let high = digit(rest.next()).ok_or(DecodeError::BadEscape)?;
        let low = digit(rest.next()).ok_or(DecodeError::BadEscape)?;
        out.push(high << 4 | low);
    }
    String::from_utf8(out).ok().ok_or(DecodeError::NotUtf8)
}

fn digit(byte: Option<&u8>) -> Option<u8> {
    let value = char::from(*byte?).to_digit(16)?;
    u8::try_from(value).ok()
}
