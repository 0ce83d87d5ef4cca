//! Forms of names and of label values.

use std::ops::RangeInclusive;

/// Allowed lengths of a name, in bytes.
const NAME_LENGTH: RangeInclusive<usize> = 1..=63;

/// Most bytes of a label's value.
const MAX_VALUE: usize = 63;

/// Form of a name, as findings state it.
pub const NAME_FORM: &str =
    "1 to 63 of a-z, 0-9, `-`, `_` and `.`, with a letter or digit at both ends";

/// Form of a label's value, as findings state it.
pub const VALUE_FORM: &str = "1 to 63 of A-Z, a-z, 0-9, `-`, `_`, `.`, `:` and `/`";

/// Whether the text has the form of a name of a thing or a label.
#[must_use]
pub fn is_name(text: &str) -> bool {
    NAME_LENGTH.contains(&text.len())
        && text.bytes().all(is_name_byte)
        && text.bytes().next().is_some_and(is_name_end)
        && text.bytes().last().is_some_and(is_name_end)
}

/// Whether the text has the form of a label's value.
#[must_use]
pub fn is_label_value(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_VALUE && text.bytes().all(is_value_byte)
}

/// Whether the byte may stand in a label's value without quotes.
#[must_use]
pub const fn is_value_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':' | b'/')
}

const fn is_name_byte(byte: u8) -> bool {
    is_name_end(byte) || matches!(byte, b'-' | b'_' | b'.')
}

const fn is_name_end(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit()
}
