//! Conversions between generated types and those of `citronway-core`.
//!
//! `read_*` takes a reader and returns an owned value or a
//! [`WireError`](crate::WireError); `write_*` fills a builder from a borrowed
//! value.

mod field;
mod hello;
mod hold;
mod load;
mod message;
mod outcome;
mod request;
mod session;

pub(crate) use field::Field;
pub use hello::{
    read_challenge, read_greet_reply, read_hello, write_hello, write_refusal, write_welcome,
};
pub use hold::{read_hold, write_hold};
pub use load::{read_load, write_load};
pub use message::{EncodedMessage, read_message, read_messages, write_message};
pub use outcome::{read_outcome, write_outcome};
pub use request::{ForwardParams, read_forward, read_request, write_request};
pub use session::{read_session, write_session};
