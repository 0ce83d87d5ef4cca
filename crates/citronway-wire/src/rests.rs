//! Endpoints that have asked for rest, as parts of datagrams.

use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::rests::RestReport;

use crate::report_capnp::rest;

pub(crate) fn write_all(from: &[RestReport], mut to: capnp::struct_list::Builder<'_, rest::Owned>) {
    for (from, i) in from.iter().zip(0..) {
        let mut to = to.reborrow().get(i);
        to.set_endpoint(from.endpoint.0);
        to.set_left_ms(from.left_ms);
        to.set_instances(u16::try_from(from.instances).unwrap_or(u16::MAX));
    }
}

pub(crate) fn read_all(from: capnp::struct_list::Reader<'_, rest::Owned>) -> Vec<RestReport> {
    let all = from.iter().map(|from| RestReport {
        endpoint: EndpointTag(from.get_endpoint()),
        left_ms: from.get_left_ms(),
        instances: u32::from(from.get_instances()),
    });
    all.collect()
}
