//! Requests that instances pass on to each other.
//!
//! An instance that does not reach an endpoint hands the request to a neighbor that may, over an
//! address that only instances use. The neighbor decides and sends as for its own callers, and
//! states the outcome in a header, so that nothing is called not run that may have run. It never
//! passes the request on again.

mod message;
mod send;

pub(super) use message::{
    ForwardError, ForwardedRequest, read_forwarded, write_endpoint, write_outcome, write_reached,
};

/// Instance that has the request from its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// This one.
    Caller,
    /// Another one, which passed it on.
    Neighbor,
}
