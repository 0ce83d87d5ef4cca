//! Endpoints that state that they leave, as parts of datagrams.

use citronway_core::gateway::departures::Departure;
use citronway_core::gateway::pace::EndpointTag;

use crate::report_capnp::departure;

pub(crate) fn write_all(
    from: &[Departure],
    mut to: capnp::struct_list::Builder<'_, departure::Owned>,
) {
    for (from, i) in from.iter().zip(0..) {
        let mut to = to.reborrow().get(i);
        to.set_endpoint(from.endpoint.0);
        to.set_age_ms(from.age_ms);
    }
}

pub(crate) fn read_all(from: capnp::struct_list::Reader<'_, departure::Owned>) -> Vec<Departure> {
    let all = from.iter().map(|from| Departure {
        endpoint: EndpointTag(from.get_endpoint()),
        age_ms: from.get_age_ms(),
    });
    all.collect()
}
