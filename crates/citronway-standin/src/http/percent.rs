//! Percent encoding of path segments and header values.

use std::fmt::Write;

/// Encodes everything but the unreserved characters of RFC 3986.
#[must_use]
pub fn encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            out.push(char::from(byte));
            continue;
        }
        write!(out, "%{byte:02X}").expect("writing to a string does not fail");
    }
    out
}

/// Decodes; `None` if an escape is cut short or the result is not UTF-8.
#[must_use]
pub fn decode(text: &str) -> Option<String> {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let high = hex(bytes.next()?)?;
        let low = hex(bytes.next()?)?;
        out.push(high << 4 | low);
    }
    String::from_utf8(out).ok()
}

fn hex(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}
