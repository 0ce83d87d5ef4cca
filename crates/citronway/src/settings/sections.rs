//! Reads the sections one by one.

use citronway_core::ids::{InstanceName, ZoneName};

use super::keys;
use super::model::{
    Callers, Clock, Dispatch, Hold, Instance, Log, Operators, Peers, Platform, Settings, Shutdown,
    Trace,
};
use super::reader::Reader;

/// Reads all sections; the settings count only if the reader found nothing.
pub(super) fn read(rd: &mut Reader<'_>) -> Settings {
    Settings {
        instance: instance(rd),
        platform: platform(rd),
        peers: peers(rd),
        operators: Operators {
            token: rd.secret(keys::TOKEN, keys::TOKEN_FILE),
        },
        callers: callers(rd),
        hold: hold(rd),
        clock: Clock {
            skew_ms: rd.number(&keys::SKEW),
        },
        dispatch: dispatch(rd),
        log: Log {
            level: rd.level(keys::LEVEL),
        },
        shutdown: Shutdown {
            lame_duck_ms: rd.number(&keys::LAME_DUCK),
            grace_ms: rd.number(&keys::GRACE),
        },
        trace: Trace {
            record: rd.optional_path(keys::RECORD),
        },
    }
}

fn instance(rd: &mut Reader<'_>) -> Instance {
    Instance {
        name: InstanceName::new(rd.name(keys::NAME)),
        zone: ZoneName::new(rd.name(keys::ZONE)),
        callers_listen: rd.address(keys::CALLERS_LISTEN),
        peers_listen: rd.address(keys::PEERS_LISTEN),
        peers_advertise: rd.optional_address(keys::PEERS_ADVERTISE),
        operators_listen: rd.address(keys::OPERATORS_LISTEN),
    }
}

fn platform(rd: &mut Reader<'_>) -> Platform {
    Platform {
        address: rd.address(keys::ADDRESS),
        timeout_ms: rd.number(&keys::PLATFORM_TIMEOUT),
        poll_ms: rd.number(&keys::POLL),
    }
}

fn peers(rd: &mut Reader<'_>) -> Peers {
    Peers {
        shared_key: rd.secret(keys::SHARED_KEY, keys::SHARED_KEY_FILE),
        heartbeat_ms: rd.number(&keys::HEARTBEAT),
        timeout_ms: rd.number(&keys::PEERS_TIMEOUT),
    }
}

fn callers(rd: &mut Reader<'_>) -> Callers {
    Callers {
        max_body_bytes: rd.number(&keys::MAX_BODY),
        header_timeout_ms: rd.number(&keys::HEADER_TIMEOUT),
        body_timeout_ms: rd.number(&keys::BODY_TIMEOUT),
        default_timeout_ms: rd.number(&keys::DEFAULT_TIMEOUT),
        max_timeout_ms: rd.number(&keys::MAX_TIMEOUT),
        max_in_flight: rd.number(&keys::MAX_IN_FLIGHT),
    }
}

fn hold(rd: &mut Reader<'_>) -> Hold {
    Hold {
        promise_ms: rd.number(&keys::PROMISE),
        ask_ms: rd.number(&keys::ASK),
        suspicion_ms: rd.number(&keys::SUSPICION),
    }
}

fn dispatch(rd: &mut Reader<'_>) -> Dispatch {
    Dispatch {
        grant_ms: rd.number(&keys::GRANT),
        renew_ms: rd.number(&keys::RENEW),
        max_order_ms: rd.number(&keys::MAX_ORDER),
        queue_limit: rd.number(&keys::QUEUE_LIMIT),
        duplicate_window_ms: rd.number(&keys::DUPLICATE_WINDOW),
        probe_timeout_ms: rd.number(&keys::PROBE_TIMEOUT),
        policy: rd.policy(keys::POLICY),
    }
}
