//! Checks endpoints.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::super::model::{Config, Endpoint};
use super::{check_labels, check_name, check_range, push};
use crate::findings::{Findings, Problem};
use crate::ids::EndpointName;

/// Fewest connections of an endpoint: one for orders, and the two that are kept
/// for grants and cancellations. With fewer it would get more than it states.
const MIN_CONNECTIONS: u64 = 3;
/// Most slots of an endpoint.
const MAX_SLOTS: u64 = 10_000;

/// Most connections of an endpoint.
const MAX_CONNECTIONS: u64 = 65_535;

/// Checks endpoints.
pub(super) fn check(cfg: &Config, findings: &mut Findings) {
    let mut addresses = IndexMap::<SocketAddr, &EndpointName>::new();
    for (name, endpoint) in &cfg.endpoints {
        let path = format!("endpoints.{name}");
        check_name(findings, &path, name.as_str());
        check_name(findings, &format!("{path}.zone"), endpoint.zone.as_str());
        check_labels(findings, &path, &endpoint.labels);
        check_numbers(findings, &path, endpoint);
        check_address(findings, &path, endpoint.address);
        let Some(other) = addresses.insert(endpoint.address, name) else {
            continue;
        };
        let problem = Problem::SameAddress {
            address: endpoint.address.to_string(),
            other: other.to_string(),
        };
        let path = format!("{path}.address");
        push(findings, &path, problem, "an address of its own");
    }
}

fn check_numbers(findings: &mut Findings, path: &str, endpoint: &Endpoint) {
    let slots = u64::from(endpoint.slots);
    let connections = u64::from(endpoint.connections);
    check_range(findings, &format!("{path}.slots"), slots, 1, MAX_SLOTS);
    let connections_path = format!("{path}.connections");
    check_range(
        findings,
        &connections_path,
        connections,
        MIN_CONNECTIONS,
        MAX_CONNECTIONS,
    );
}

fn check_address(findings: &mut Findings, path: &str, address: SocketAddr) {
    if address.port() > 0 && !address.ip().is_unspecified() {
        return;
    }
    let path = format!("{path}.address");
    let problem = Problem::OutOfRange(address.to_string());
    push(findings, &path, problem, "IP number and port of one server");
}
