//! Prints how many bytes each control message takes when encoded.
//!
//! `cargo run --release -p citronway-wire --example message_sizes`

use citronway_core::ids::{EndpointName, Epoch, ServiceName, Session, ShardId, Version};
use citronway_core::peer::{EndpointLoad, Heartbeat, HoldMessage, HotKey, PeerMessage, ShardLoad};
use citronway_core::platform::{Row, RowKey};
use citronway_core::shard::{DispatchRow, KeyHash};
use citronway_core::time::Wall;
use citronway_wire::convert::EncodedMessage;

/// Hot keys in a load report, as many as a dispatcher reports.
const HOT_KEYS: u64 = 8;
/// Shards of an endpoint.
const SHARDS: u64 = 8;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let bare = load(0, SHARDS);
    let full = load(HOT_KEYS, SHARDS);
    let messages = [
        ("heartbeat", heartbeat()),
        ("promise, question", hold(ask())),
        ("promise, answer", hold(promise())),
        ("load report, 8 shards, no hot key", bare),
        ("load report, 8 shards, 8 hot keys", full),
        ("dispatch row", PeerMessage::Rows { rows: vec![row()?] }),
    ];
    for (name, message) in messages {
        println!("{name}: {} bytes", EncodedMessage::new(&message).bytes());
    }
    Ok(())
}

const fn heartbeat() -> PeerMessage {
    PeerMessage::Heartbeat(Heartbeat {
        config: Version(1_000),
        store_age_ms: 200,
        leaving: false,
        first_sign: 0,
        signs: Vec::new(),
    })
}

fn endpoint() -> EndpointName {
    EndpointName::new("intake-0001")
}

fn hold(message: HoldMessage) -> PeerMessage {
    PeerMessage::Hold {
        endpoint: endpoint(),
        message,
    }
}

const fn ask() -> HoldMessage {
    HoldMessage::Ask {
        epoch: Epoch(7),
        row_version: Version(12),
        round: 1_000,
        duration_ms: 800,
    }
}

const fn promise() -> HoldMessage {
    HoldMessage::Promise {
        epoch: Epoch(7),
        round: 1_000,
    }
}

fn load(hot: u64, shards: u64) -> PeerMessage {
    let service = ServiceName::new("intake");
    let hot = (0..hot).map(|n| HotKey {
        service: service.clone(),
        hash: KeyHash(n),
        requests: n,
    });
    let shards = (0..shards).map(|n| ShardLoad {
        service: service.clone(),
        shard: ShardId(n),
        requests: n,
    });
    PeerMessage::Load(EndpointLoad {
        endpoint: endpoint(),
        requests: 1_000,
        service_ms: 20,
        queued: 3,
        draining: false,
        hot: hot.collect(),
        shards: shards.collect(),
    })
}

fn row() -> serde_json::Result<Row> {
    let session = |n: u32| Session::new(&format!("entry-{n:04}"), 1);
    let value = DispatchRow {
        endpoint: endpoint(),
        dispatcher: session(0),
        epoch: Epoch(7),
        successors: vec![session(1), session(2)],
        former: Vec::new(),
        floor: Wall(0),
    };
    Ok(Row {
        at: RowKey {
            table: "dispatch".to_owned(),
            key: "intake-0001".to_owned(),
        },
        version: Version(12),
        value: serde_json::to_string(&value)?,
    })
}
