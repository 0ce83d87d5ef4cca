//! Sessions.

use citronway_core::ids::{InstanceName, Session, SessionId};

use super::Field;
use crate::WireError;
use crate::limits::MAX_NAME_BYTES;
use crate::peer_capnp::session;

const INSTANCE: Field = Field::new("session.instance", MAX_NAME_BYTES);

/// Reads a session.
///
/// # Errors
///
/// The instance's name is missing, too long or not UTF-8.
pub fn read_session(r: session::Reader<'_>) -> Result<Session, WireError> {
    Ok(Session {
        instance: InstanceName::new(INSTANCE.text(r.has_instance(), r.get_instance())?),
        id: SessionId(r.get_id()),
    })
}

/// Writes a session.
pub fn write_session(session: &Session, mut b: session::Builder<'_>) {
    b.set_instance(session.instance.as_str());
    b.set_id(session.id.0);
}
