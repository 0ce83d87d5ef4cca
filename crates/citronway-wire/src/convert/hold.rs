//! Messages about the hold of an endpoint.

use citronway_core::dispatch::fingerprint::Fingerprint;
use citronway_core::ids::{EndpointName, Epoch, Version};
use citronway_core::peer::{HoldMessage, KnownRequest, KnownRequests};
use citronway_core::time::Wall;

use super::{Field, read_outcome, write_outcome};
use crate::WireError;
use crate::limits::{MAX_KNOWN_REQUESTS, MAX_NAME_BYTES};
use crate::peer_capnp::{hold, hold_handover, known_request};

/// Length of a fingerprint.
const FINGERPRINT_BYTES: usize = 16;

const CASE: Field = Field::new("hold", 0);
const ENDPOINT: Field = Field::new("hold.endpoint", MAX_NAME_BYTES);
const ASK: Field = Field::new("hold.ask", 0);
const PROMISE: Field = Field::new("hold.promise", 0);
const REFUSE: Field = Field::new("hold.refuse", 0);
const RENOUNCE: Field = Field::new("hold.renounce", 0);
const HANDOVER: Field = Field::new("hold.handover", 0);
const REQUESTS: Field = Field::new("handover.requests", MAX_KNOWN_REQUESTS);
const ID: Field = Field::new("knownRequest.id", usize::MAX);
const FINGERPRINT: Field = Field::new("knownRequest.fingerprint", FINGERPRINT_BYTES);
const OUTCOME: Field = Field::new("knownRequest.outcome", 0);

/// Reads the endpoint and the message about its hold.
///
/// A case that was never set is refused: read as a default it would be a
/// promise or a renunciation for epoch 0 that nobody gave.
///
/// # Errors
///
/// A field is missing, unknown, malformed or over its limit.
pub fn read_hold(r: hold::Reader<'_>) -> Result<(EndpointName, HoldMessage), WireError> {
    let endpoint = EndpointName::new(ENDPOINT.text(r.has_endpoint(), r.get_endpoint())?);
    let message = match CASE.known(r.which())? {
        hold::Which::Ask(got) => {
            let r = ASK.pointer(r.has_ask(), got)?;
            HoldMessage::Ask {
                epoch: Epoch(r.get_epoch()),
                row_version: Version(r.get_row_version()),
                round: r.get_round(),
                duration_ms: r.get_duration_ms(),
            }
        }
        hold::Which::Promise(got) => {
            let r = PROMISE.pointer(r.has_promise(), got)?;
            HoldMessage::Promise {
                epoch: Epoch(r.get_epoch()),
                round: r.get_round(),
            }
        }
        hold::Which::Refuse(got) => {
            let r = REFUSE.pointer(r.has_refuse(), got)?;
            HoldMessage::Refuse {
                epoch: Epoch(r.get_epoch()),
                round: r.get_round(),
                row_version: Version(r.get_row_version()),
            }
        }
        hold::Which::Renounce(got) => {
            let r = RENOUNCE.pointer(r.has_renounce(), got)?;
            HoldMessage::Renounce {
                row_version: Version(r.get_row_version()),
            }
        }
        hold::Which::Handover(got) => read_handover(HANDOVER.pointer(r.has_handover(), got)?)?,
    };
    Ok((endpoint, message))
}

/// Writes the endpoint and the message about its hold.
pub fn write_hold(endpoint: &EndpointName, message: &HoldMessage, mut b: hold::Builder<'_>) {
    b.set_endpoint(endpoint.as_str());
    match message {
        HoldMessage::Ask {
            epoch,
            row_version,
            round,
            duration_ms,
        } => {
            let mut b = b.init_ask();
            b.set_epoch(epoch.0);
            b.set_row_version(row_version.0);
            b.set_round(*round);
            b.set_duration_ms(*duration_ms);
        }
        HoldMessage::Promise { epoch, round } => {
            let mut b = b.init_promise();
            b.set_epoch(epoch.0);
            b.set_round(*round);
        }
        HoldMessage::Refuse {
            epoch,
            round,
            row_version,
        } => {
            let mut b = b.init_refuse();
            b.set_epoch(epoch.0);
            b.set_round(*round);
            b.set_row_version(row_version.0);
        }
        HoldMessage::Renounce { row_version } => {
            b.init_renounce().set_row_version(row_version.0);
        }
        HoldMessage::Handover {
            epoch,
            row_version,
            known,
        } => {
            let mut b = b.init_handover();
            b.set_epoch(epoch.0);
            b.set_row_version(row_version.0);
            b.set_floor(known.floor.0);
            write_known_requests(&known.requests, b);
        }
    }
}

fn read_handover(r: hold_handover::Reader<'_>) -> Result<HoldMessage, WireError> {
    let list = REQUESTS.list(r.has_requests(), r.get_requests())?;
    let mut requests = Vec::with_capacity(list.len() as usize);
    for known in list {
        requests.push(read_known_request(known)?);
    }
    Ok(HoldMessage::Handover {
        epoch: Epoch(r.get_epoch()),
        row_version: Version(r.get_row_version()),
        known: KnownRequests {
            floor: Wall(r.get_floor()),
            requests,
        },
    })
}

fn read_known_request(r: known_request::Reader<'_>) -> Result<KnownRequest, WireError> {
    let id = ID.request_id(r.has_id(), r.get_id())?;
    let fingerprint = read_fingerprint(r)?;
    if !r.has_outcome() {
        return Ok(KnownRequest {
            id,
            fingerprint,
            outcome: None,
        });
    }
    let outcome = OUTCOME.pointer(true, r.get_outcome())?;
    let outcome = Some(read_outcome(outcome)?);
    Ok(KnownRequest {
        id,
        fingerprint,
        outcome,
    })
}

fn read_fingerprint(r: known_request::Reader<'_>) -> Result<Option<Fingerprint>, WireError> {
    if !r.has_fingerprint() {
        return Ok(None);
    }
    let bytes = FINGERPRINT.bytes(true, r.get_fingerprint())?;
    let Ok(bytes) = bytes.try_into() else {
        let found = bytes.len();
        let expected = FINGERPRINT_BYTES;
        return Err(WireError::BadLength {
            place: "knownRequest.fingerprint",
            found,
            expected,
        });
    };
    Ok(Some(Fingerprint::from_bytes(bytes)))
}

fn write_known_requests(requests: &[KnownRequest], b: hold_handover::Builder<'_>) {
    let mut list = b.init_requests(super::message::list_len(requests));
    for (i, known) in (0..).zip(requests) {
        let mut b = list.reborrow().get(i);
        b.set_id(known.id.0.as_bytes());
        if let Some(fingerprint) = known.fingerprint {
            b.set_fingerprint(&fingerprint.to_bytes());
        }
        let Some(outcome) = &known.outcome else {
            continue;
        };
        write_outcome(outcome, b.init_outcome());
    }
}
