//! The greeting.

use citronway_core::ids::ZoneName;

use super::{Field, read_session, write_session};
use crate::WireError;
use crate::greeting::{Hello, NONCE_BYTES, Nonce, PROOF_BYTES, Refusal, RefusalReason, Welcome};
use crate::limits::MAX_NAME_BYTES;
use crate::peer_capnp::{self as wire, greet_reply, hello, link, peer, refusal, welcome};

const CHALLENGE: Field = Field::new("challenge.nonce", NONCE_BYTES);
const SESSION: Field = Field::new("hello.session", 0);
const ZONE: Field = Field::new("hello.zone", MAX_NAME_BYTES);
const NONCE: Field = Field::new("hello.nonce", NONCE_BYTES);
const PROOF: Field = Field::new("hello.proof", PROOF_BYTES);
const CASE: Field = Field::new("greetReply", 0);
const ACCEPTED: Field = Field::new("greetReply.accepted", 0);
const REFUSED: Field = Field::new("greetReply.refused", 0);
const REFUSAL_REASON: Field = Field::new("refusal.reason", 0);
const WELCOME_SESSION: Field = Field::new("welcome.session", 0);
const WELCOME_ZONE: Field = Field::new("welcome.zone", MAX_NAME_BYTES);
const WELCOME_PROOF: Field = Field::new("welcome.proof", PROOF_BYTES);
const WELCOME_LINK: Field = Field::new("welcome.link", 0);

/// Reads the first message of the connecting side.
///
/// # Errors
///
/// A field is missing, malformed or over its limit.
pub fn read_hello(r: hello::Reader<'_>) -> Result<Hello, WireError> {
    let nonce = read_nonce(NONCE.bytes(r.has_nonce(), r.get_nonce())?)?;
    Ok(Hello {
        version: r.get_version(),
        session: read_session(SESSION.pointer(r.has_session(), r.get_session())?)?,
        zone: ZoneName::new(ZONE.text(r.has_zone(), r.get_zone())?),
        nonce,
        proof: PROOF.bytes(r.has_proof(), r.get_proof())?.to_vec(),
    })
}

/// Reads the nonce that a listening instance draws for the next greeting.
///
/// # Errors
///
/// It is missing or has the wrong length.
pub fn read_challenge(r: peer::challenge_results::Reader<'_>) -> Result<Nonce, WireError> {
    read_nonce(CHALLENGE.bytes(r.has_nonce(), r.get_nonce())?)
}

/// Writes the first message of the connecting side.
pub fn write_hello(hello: &Hello, mut b: hello::Builder<'_>) {
    b.set_version(hello.version);
    write_session(&hello.session, b.reborrow().init_session());
    b.set_zone(hello.zone.as_str());
    b.set_nonce(hello.nonce.as_bytes());
    b.set_proof(&hello.proof);
}

/// Reads the answer to a greeting: a welcome with its link, or a refusal.
///
/// # Errors
///
/// A field is missing, unknown, malformed or over its limit.
pub fn read_greet_reply(
    r: greet_reply::Reader<'_>,
) -> Result<Result<(Welcome, link::Client), Refusal>, WireError> {
    match CASE.known(r.which())? {
        greet_reply::Which::Accepted(got) => {
            let r = ACCEPTED.pointer(r.has_accepted(), got)?;
            let link = WELCOME_LINK.pointer(r.has_link(), r.get_link())?;
            Ok(Ok((read_welcome(r)?, link)))
        }
        greet_reply::Which::Refused(got) => {
            let r = REFUSED.pointer(r.has_refused(), got)?;
            read_refusal(r).map(Err)
        }
    }
}

/// Writes the answer to an accepted greeting.
pub fn write_welcome(welcome: &Welcome, link: link::Client, mut b: welcome::Builder<'_>) {
    write_session(&welcome.session, b.reborrow().init_session());
    b.set_zone(welcome.zone.as_str());
    b.set_proof(&welcome.proof);
    b.set_link(link);
}

/// Writes the answer to a refused greeting.
pub fn write_refusal(refusal: &Refusal, mut b: refusal::Builder<'_>) {
    b.set_reason(match refusal.reason {
        RefusalReason::Version => wire::RefusalReason::Version,
        RefusalReason::Proof => wire::RefusalReason::Proof,
        RefusalReason::NotChallenged => wire::RefusalReason::NotChallenged,
        RefusalReason::SameInstance => wire::RefusalReason::SameInstance,
    });
    b.set_version(refusal.version);
}

fn read_nonce(bytes: &[u8]) -> Result<Nonce, WireError> {
    Nonce::from_slice(bytes).ok_or(WireError::BadLength {
        place: "nonce",
        found: bytes.len(),
        expected: NONCE_BYTES,
    })
}

fn read_welcome(r: welcome::Reader<'_>) -> Result<Welcome, WireError> {
    let session = WELCOME_SESSION.pointer(r.has_session(), r.get_session())?;
    Ok(Welcome {
        session: read_session(session)?,
        zone: ZoneName::new(WELCOME_ZONE.text(r.has_zone(), r.get_zone())?),
        proof: WELCOME_PROOF.bytes(r.has_proof(), r.get_proof())?.to_vec(),
    })
}

fn read_refusal(r: refusal::Reader<'_>) -> Result<Refusal, WireError> {
    let reason = match REFUSAL_REASON.known(r.get_reason())? {
        wire::RefusalReason::Version => RefusalReason::Version,
        wire::RefusalReason::Proof => RefusalReason::Proof,
        wire::RefusalReason::NotChallenged => RefusalReason::NotChallenged,
        wire::RefusalReason::SameInstance => RefusalReason::SameInstance,
    };
    Ok(Refusal {
        reason,
        version: r.get_version(),
    })
}
