//! Upper bounds of encoded sizes, so that a message too large for the receiver
//! is refused before it is sent: the receiver could only drop the connection.

use citronway_core::outcome::Outcome;
use citronway_core::request::Request;

/// Room for the envelope of a call, the structs, and the padding of each text.
const ENVELOPE_BYTES: usize = 512;

/// Most bytes that a forwarded request takes, without the endpoint's name.
#[must_use]
pub fn of_request(req: &Request) -> usize {
    let content_type = req.content_type.as_ref().map_or(0, String::len);
    ENVELOPE_BYTES
        + req.service.as_str().len()
        + req.key.as_str().len()
        + req.tenant.len()
        + req.class.as_str().len()
        + req.method.len()
        + req.path.len()
        + content_type
        + req.body.len()
}

/// Most bytes that an outcome takes.
#[must_use]
pub fn of_outcome(outcome: &Outcome) -> usize {
    let Outcome::Answered(answer) = outcome else {
        return ENVELOPE_BYTES;
    };
    let content_type = answer.content_type.as_ref().map_or(0, String::len);
    ENVELOPE_BYTES + content_type + answer.body.len()
}
