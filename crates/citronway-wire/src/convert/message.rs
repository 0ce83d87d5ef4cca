//! Control messages.

use capnp::message::TypedBuilder;
use citronway_core::gateway::crashes::{Fingerprint, Sign};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::ids::{EndpointName, Epoch, ServiceName, ShardId, Version};
use citronway_core::peer::{EndpointLost, Heartbeat, PeerMessage, ShardReleased};
use citronway_core::platform::{Row, RowKey};
use citronway_core::time::Wall;

use super::{Field, read_hold, read_load, read_session, write_hold, write_load, write_session};
use crate::WireError;
use crate::limits::{MAX_BATCH, MAX_KEY_BYTES, MAX_NAME_BYTES, MAX_ROW_BYTES, MAX_ROWS, MAX_SIGNS};
use crate::peer_capnp::{endpoint_lost, heartbeat, link, peer_message, row, shard_released, sign};

/// The codec counts in words of 64 bits.
const BYTES_PER_WORD: usize = 8;

const BATCH: Field = Field::new("control.messages", MAX_BATCH);
const CASE: Field = Field::new("message", 0);
const HEARTBEAT: Field = Field::new("message.heartbeat", 0);
const SIGNS: Field = Field::new("heartbeat.signs", MAX_SIGNS);
const ROWS: Field = Field::new("message.rows", MAX_ROWS);
const HOLD: Field = Field::new("message.hold", 0);
const LOST: Field = Field::new("message.endpointLost", 0);
const RELEASED: Field = Field::new("message.shardReleased", 0);
const LOAD: Field = Field::new("message.load", 0);
const PROBE: Field = Field::new("message.probe", 0);
const PROBE_ENDPOINT: Field = Field::new("probe.endpoint", MAX_NAME_BYTES);
const PROBED: Field = Field::new("message.probed", 0);
const PROBED_ENDPOINT: Field = Field::new("probed.endpoint", MAX_NAME_BYTES);
const ROW_TABLE: Field = Field::new("row.table", MAX_NAME_BYTES);
const ROW_KEY: Field = Field::new("row.key", MAX_KEY_BYTES);
const ROW_VALUE: Field = Field::new("row.value", MAX_ROW_BYTES);
const LOST_ENDPOINT: Field = Field::new("endpointLost.endpoint", MAX_NAME_BYTES);
const RELEASED_SERVICE: Field = Field::new("shardReleased.service", MAX_NAME_BYTES);
const RELEASED_FROM: Field = Field::new("shardReleased.from", MAX_NAME_BYTES);
const RELEASED_DISPATCHER: Field = Field::new("shardReleased.dispatcher", 0);

/// Length of a list as the codec counts it.
///
/// # Panics
///
/// The list has more entries than fit into 32 bits; a message of that size
/// could not be built anyway.
pub(super) fn list_len<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).expect("lists in messages have fewer than 2^32 entries")
}

/// A control message encoded once, to be copied into the calls of several links.
#[expect(missing_debug_implementations, reason = "the codec's builder has none")]
pub struct EncodedMessage {
    builder: TypedBuilder<peer_message::Owned>,
    bytes: usize,
}

impl EncodedMessage {
    /// Encodes a message.
    #[must_use]
    pub fn new(message: &PeerMessage) -> Self {
        let mut builder = TypedBuilder::new_default();
        write_message(message, builder.init_root());
        let bytes = builder.borrow_inner().size_in_words() * BYTES_PER_WORD;
        Self { builder, bytes }
    }

    /// Size in bytes, without the envelope of the call.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// The message, to be copied into a list.
    ///
    /// # Errors
    ///
    /// Never for a message made by [`EncodedMessage::new`].
    pub fn reader(&self) -> capnp::Result<peer_message::Reader<'_>> {
        self.builder.get_root_as_reader()
    }
}

/// Reads the messages of one `control` call, in order.
///
/// # Errors
///
/// Too many messages, or one of them is wrong; none is taken then.
pub fn read_messages(r: link::control_params::Reader<'_>) -> Result<Vec<PeerMessage>, WireError> {
    let list = BATCH.list(r.has_messages(), r.get_messages())?;
    let mut messages = Vec::with_capacity(list.len() as usize);
    for r in list {
        messages.push(read_message(r)?);
    }
    Ok(messages)
}

/// Reads a control message.
///
/// # Errors
///
/// A field is missing, unknown, malformed or over its limit.
pub fn read_message(r: peer_message::Reader<'_>) -> Result<PeerMessage, WireError> {
    let message = match CASE.known(r.which())? {
        peer_message::Which::Heartbeat(got) => {
            let r = HEARTBEAT.pointer(r.has_heartbeat(), got)?;
            PeerMessage::Heartbeat(read_heartbeat(r)?)
        }
        peer_message::Which::Rows(got) => {
            let list = ROWS.list(r.has_rows(), got)?;
            let mut rows = Vec::with_capacity(list.len() as usize);
            for r in list {
                rows.push(read_row(r)?);
            }
            PeerMessage::Rows { rows }
        }
        peer_message::Which::Hold(got) => {
            let (endpoint, message) = read_hold(HOLD.pointer(r.has_hold(), got)?)?;
            PeerMessage::Hold { endpoint, message }
        }
        peer_message::Which::EndpointLost(got) => {
            PeerMessage::EndpointLost(read_lost(LOST.pointer(r.has_endpoint_lost(), got)?)?)
        }
        peer_message::Which::ShardReleased(got) => {
            let r = RELEASED.pointer(r.has_shard_released(), got)?;
            PeerMessage::ShardReleased(read_released(r)?)
        }
        peer_message::Which::Load(got) => {
            PeerMessage::Load(read_load(LOAD.pointer(r.has_load(), got)?)?)
        }
        peer_message::Which::Probe(got) => {
            let r = PROBE.pointer(r.has_probe(), got)?;
            let endpoint = PROBE_ENDPOINT.text(r.has_endpoint(), r.get_endpoint())?;
            PeerMessage::Probe {
                endpoint: EndpointName::new(endpoint),
            }
        }
        peer_message::Which::Probed(got) => {
            let r = PROBED.pointer(r.has_probed(), got)?;
            let endpoint = PROBED_ENDPOINT.text(r.has_endpoint(), r.get_endpoint())?;
            let reached = r.get_reached();
            PeerMessage::Probed {
                endpoint: EndpointName::new(endpoint),
                reached,
            }
        }
    };
    Ok(message)
}

/// Writes a control message.
pub fn write_message(message: &PeerMessage, b: peer_message::Builder<'_>) {
    match message {
        PeerMessage::Heartbeat(heartbeat) => write_heartbeat(heartbeat, b.init_heartbeat()),
        PeerMessage::Rows { rows } => {
            let mut list = b.init_rows(list_len(rows));
            for (i, row) in (0..).zip(rows) {
                write_row(row, list.reborrow().get(i));
            }
        }
        PeerMessage::Hold { endpoint, message } => write_hold(endpoint, message, b.init_hold()),
        PeerMessage::EndpointLost(lost) => write_lost(lost, b.init_endpoint_lost()),
        PeerMessage::ShardReleased(released) => write_released(released, b.init_shard_released()),
        PeerMessage::Load(load) => write_load(load, b.init_load()),
        PeerMessage::Probe { endpoint } => {
            b.init_probe().set_endpoint(endpoint.as_str());
        }
        PeerMessage::Probed { endpoint, reached } => {
            let mut b = b.init_probed();
            b.set_endpoint(endpoint.as_str());
            b.set_reached(*reached);
        }
    }
}

fn read_heartbeat(r: heartbeat::Reader<'_>) -> Result<Heartbeat, WireError> {
    let signs = SIGNS.list(true, r.get_signs())?;
    Ok(Heartbeat {
        config: Version(r.get_config()),
        store_age_ms: r.get_store_age_ms(),
        leaving: r.get_leaving(),
        first_sign: r.get_first_sign(),
        signs: signs.iter().map(read_sign).collect(),
    })
}

fn write_heartbeat(heartbeat: &Heartbeat, mut b: heartbeat::Builder<'_>) {
    b.set_config(heartbeat.config.0);
    b.set_store_age_ms(heartbeat.store_age_ms);
    b.set_leaving(heartbeat.leaving);
    b.set_first_sign(heartbeat.first_sign);
    let mut list = b.init_signs(list_len(&heartbeat.signs));
    for (i, sign) in (0..).zip(&heartbeat.signs) {
        write_sign(*sign, list.reborrow().get(i));
    }
}

fn read_sign(r: sign::Reader<'_>) -> Sign {
    let work = Fingerprint(r.get_work());
    if r.get_answered() {
        return Sign::Answered { work };
    }
    let endpoint = EndpointTag(r.get_endpoint());
    Sign::Crash { work, endpoint }
}

fn write_sign(sign: Sign, mut b: sign::Builder<'_>) {
    match sign {
        Sign::Crash { work, endpoint } => {
            b.set_work(work.0);
            b.set_endpoint(endpoint.0);
        }
        Sign::Answered { work } => {
            b.set_work(work.0);
            b.set_answered(true);
        }
    }
}

fn read_row(r: row::Reader<'_>) -> Result<Row, WireError> {
    Ok(Row {
        at: RowKey {
            table: ROW_TABLE.text(r.has_table(), r.get_table())?.to_owned(),
            key: ROW_KEY.text(r.has_key(), r.get_key())?.to_owned(),
        },
        version: Version(r.get_version()),
        value: ROW_VALUE.text(r.has_value(), r.get_value())?.to_owned(),
    })
}

fn write_row(row: &Row, mut b: row::Builder<'_>) {
    b.set_table(&row.at.table);
    b.set_key(&row.at.key);
    b.set_version(row.version.0);
    b.set_value(&row.value);
}

fn read_lost(r: endpoint_lost::Reader<'_>) -> Result<EndpointLost, WireError> {
    Ok(EndpointLost {
        endpoint: EndpointName::new(LOST_ENDPOINT.text(r.has_endpoint(), r.get_endpoint())?),
        dispatch_epoch: Epoch(r.get_dispatch_epoch()),
        quiet: r.get_quiet(),
    })
}

fn write_lost(lost: &EndpointLost, mut b: endpoint_lost::Builder<'_>) {
    b.set_endpoint(lost.endpoint.as_str());
    b.set_dispatch_epoch(lost.dispatch_epoch.0);
    b.set_quiet(lost.quiet);
}

fn read_released(r: shard_released::Reader<'_>) -> Result<ShardReleased, WireError> {
    let dispatcher = RELEASED_DISPATCHER.pointer(r.has_dispatcher(), r.get_dispatcher())?;
    Ok(ShardReleased {
        service: ServiceName::new(RELEASED_SERVICE.text(r.has_service(), r.get_service())?),
        shard: ShardId(r.get_shard()),
        epoch: Epoch(r.get_epoch()),
        from: EndpointName::new(RELEASED_FROM.text(r.has_from(), r.get_from())?),
        dispatcher: read_session(dispatcher)?,
        floor: Wall(r.get_floor()),
    })
}

fn write_released(released: &ShardReleased, mut b: shard_released::Builder<'_>) {
    b.set_service(released.service.as_str());
    b.set_shard(released.shard.0);
    b.set_epoch(released.epoch.0);
    b.set_from(released.from.as_str());
    b.set_floor(released.floor.0);
    write_session(&released.dispatcher, b.init_dispatcher());
}
