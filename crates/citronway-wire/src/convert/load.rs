//! Load reports.

use citronway_core::ids::{EndpointName, ServiceName, ShardId};
use citronway_core::peer::{EndpointLoad, HotKey, ShardLoad};
use citronway_core::shard::KeyHash;

use super::Field;
use super::message::list_len;
use crate::WireError;
use crate::limits::{MAX_LOADS, MAX_NAME_BYTES};
use crate::peer_capnp::endpoint_load;

const ENDPOINT: Field = Field::new("load.endpoint", MAX_NAME_BYTES);
const HOT: Field = Field::new("load.hot", MAX_LOADS);
const HOT_SERVICE: Field = Field::new("hotKey.service", MAX_NAME_BYTES);
const SHARDS: Field = Field::new("load.shards", MAX_LOADS);
const SHARD_SERVICE: Field = Field::new("shardLoad.service", MAX_NAME_BYTES);

/// Reads a load report.
///
/// # Errors
///
/// A field is missing, malformed or over its limit.
pub fn read_load(r: endpoint_load::Reader<'_>) -> Result<EndpointLoad, WireError> {
    Ok(EndpointLoad {
        endpoint: EndpointName::new(ENDPOINT.text(r.has_endpoint(), r.get_endpoint())?),
        requests: r.get_requests(),
        service_ms: r.get_service_ms(),
        queued: r.get_queued(),
        draining: r.get_draining(),
        hot: read_hot(r)?,
        shards: read_shards(r)?,
    })
}

/// Writes a load report.
pub fn write_load(load: &EndpointLoad, mut b: endpoint_load::Builder<'_>) {
    b.set_endpoint(load.endpoint.as_str());
    b.set_requests(load.requests);
    b.set_service_ms(load.service_ms);
    b.set_queued(load.queued);
    b.set_draining(load.draining);
    let mut hot = b.reborrow().init_hot(list_len(&load.hot));
    for (i, key) in (0..).zip(&load.hot) {
        let mut b = hot.reborrow().get(i);
        b.set_service(key.service.as_str());
        b.set_hash(key.hash.0);
        b.set_requests(key.requests);
    }
    let mut shards = b.init_shards(list_len(&load.shards));
    for (i, shard) in (0..).zip(&load.shards) {
        let mut b = shards.reborrow().get(i);
        b.set_service(shard.service.as_str());
        b.set_shard(shard.shard.0);
        b.set_requests(shard.requests);
    }
}

fn read_hot(r: endpoint_load::Reader<'_>) -> Result<Vec<HotKey>, WireError> {
    let list = HOT.list(r.has_hot(), r.get_hot())?;
    let mut hot = Vec::with_capacity(list.len() as usize);
    for r in list {
        hot.push(HotKey {
            service: ServiceName::new(HOT_SERVICE.text(r.has_service(), r.get_service())?),
            hash: KeyHash(r.get_hash()),
            requests: r.get_requests(),
        });
    }
    Ok(hot)
}

fn read_shards(r: endpoint_load::Reader<'_>) -> Result<Vec<ShardLoad>, WireError> {
    let list = SHARDS.list(r.has_shards(), r.get_shards())?;
    let mut shards = Vec::with_capacity(list.len() as usize);
    for r in list {
        shards.push(ShardLoad {
            service: ServiceName::new(SHARD_SERVICE.text(r.has_service(), r.get_service())?),
            shard: ShardId(r.get_shard()),
            requests: r.get_requests(),
        });
    }
    Ok(shards)
}
