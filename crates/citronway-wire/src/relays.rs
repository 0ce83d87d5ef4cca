//! Relays that are longer than a datagram.

use citronway_core::gateway::rows::Relay;

use crate::report::{self, Datagram, MAX_DATAGRAM};

/// A relay as datagrams, in the order of its rows.
///
/// Failure guarded against: thousands of endpoints list themselves within a second, their rows
/// are longer than a datagram and not passed on, and each instance asks for the whole table.
#[must_use]
pub fn in_datagrams(mut relay: Relay) -> Vec<Vec<u8>> {
    let bytes = report::encode(&Datagram::Relay(relay.clone()));
    if bytes.len() <= MAX_DATAGRAM || relay.rows.len() < 2 {
        return vec![bytes];
    }
    relay.rows.sort_by_key(|row| row.version);
    let second = relay.rows.split_off(relay.rows.len() / 2);
    let between = relay.rows.last().map_or(relay.after, |row| row.version);
    let rest = Relay {
        after: between.max(relay.after),
        rows: second,
        ..relay.clone()
    };
    let first = Relay {
        position: between,
        patches: Vec::new(),
        ..relay
    };
    let mut all = in_datagrams(first);
    all.extend(in_datagrams(rest));
    all
}
