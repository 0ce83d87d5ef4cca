//! Bytes of requests at endpoints, between releases that know them and one that does not.

use capnp::message::Builder;
use capnp::serialize;
use citronway_core::gateway::pace::{Answers, EndpointTag};
use citronway_core::gateway::report::{EndpointTotal, EndpointUse};
use citronway_wire::report::{Datagram, decode, encode};
use citronway_wire::report_capnp::datagram;
use googletest::prelude::*;

/// A report and totals as the earlier release writes them: one endpoint with requests, and nothing
/// of their bytes.
fn of_the_earlier_release() -> [Vec<u8>; 2] {
    let mut report = Builder::new_default();
    let mut root = report.init_root::<datagram::Builder<'_>>().init_report();
    root.set_instance("one");
    let mut used = root.init_endpoints(1).get(0);
    used.set_tag(7);
    used.set_in_flight(3);
    let mut totals = Builder::new_default();
    let mut root = totals.init_root::<datagram::Builder<'_>>().init_totals();
    root.set_instance("one");
    let mut total = root.init_endpoints(1).get(0);
    total.set_tag(7);
    total.set_in_flight(3);
    [report, totals].map(|message| serialize::write_message_to_words(&message))
}

/// Failure: an instance of the earlier release alongside is not understood, or gets endpoints a
/// bound of zero bytes.
#[gtest]
fn what_the_earlier_release_writes_means_no_bytes_and_no_bounds() -> Result<()> {
    let [report, totals] = of_the_earlier_release();
    let used = EndpointUse {
        tag: EndpointTag(7),
        in_flight: 3,
        ..EndpointUse::default()
    };
    let Datagram::Report(report) = decode(&report).or_fail()? else {
        return fail!("not a report");
    };
    expect_that!(report.endpoints, eq(&vec![used]));
    let total = EndpointTotal {
        tag: EndpointTag(7),
        in_flight: 3,
        ..EndpointTotal::default()
    };
    let Datagram::Totals(totals) = decode(&totals).or_fail()? else {
        return fail!("not totals");
    };
    expect_that!(totals.endpoints, eq(&vec![total]));
    expect_that!(totals.byte_bounds, is_empty());
    Ok(())
}

/// Failure: the bytes of a report are lost on the way, and endpoints get too many.
#[gtest]
fn bytes_of_a_report_are_read_as_they_were_written() -> Result<()> {
    let [report, _] = of_the_earlier_release();
    let Datagram::Report(mut report) = decode(&report).or_fail()? else {
        return fail!("not a report");
    };
    report.endpoints.push(EndpointUse {
        tag: EndpointTag(8),
        in_flight: 2,
        waiting: 1,
        answers: Answers::default(),
        kb: u32::MAX,
    });
    let report = Datagram::Report(report);
    expect_that!(decode(&encode(&report)).or_fail()?, eq(&report));
    Ok(())
}
