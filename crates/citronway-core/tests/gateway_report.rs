//! Aggregation of the members' reports by a delegate.

use citronway_core::gateway::pace::{Answers, EndpointTag};
use citronway_core::gateway::report::{EndpointTotal, EndpointUse, KeySamples, Observations};
use citronway_core::gateway::tree::GatheredReports;
use citronway_core::ids::ServiceName;
use googletest::prelude::*;

fn used(tag: u32, in_flight: u32, waiting: u32) -> EndpointUse {
    EndpointUse {
        tag: EndpointTag(tag),
        in_flight,
        waiting,
        answers: Answers {
            served: 3.0,
            relative: 2.0,
            failed: 1.0,
        },
        kb: in_flight * 100,
    }
}

fn keys(keys: &[u16]) -> Vec<KeySamples> {
    vec![KeySamples {
        service: ServiceName::new("batch"),
        keys: keys.to_vec(),
    }]
}

/// Guards against reports of each request from every instance to every other, which make up most of
/// the traffic between zones. The leader needs the waiting requests, the answers of endpoints and
/// the requested keys, each of them counted once.
#[gtest]
fn a_delegate_sums_up_answers_and_keys_of_all_reports_and_what_is_in_flight_now() {
    let mut gathered = GatheredReports::default();
    // Two reports of one member: its first request has been answered in between.
    gathered.add(&[used(1, 1, 0)], &keys(&[5]));
    gathered.add(&[used(1, 0, 2), used(2, 1, 0)], &keys(&[6, 7]));
    let own = Observations {
        endpoints: vec![used(2, 3, 0)],
        keys: keys(&[8]),
    };
    let present = |tag, in_flight, waiting| EndpointTotal {
        tag: EndpointTag(tag),
        in_flight,
        waiting,
        kb: in_flight * 100,
    };
    let now = [present(1, 0, 2), present(2, 1, 0)];
    let mut sum = gathered.take_with(&own, now.into_iter());
    sum.endpoints.sort_by_key(|used| used.tag);
    expect_that!(sum.endpoints.len(), eq(2));
    let [one, two] = [sum.endpoints[0], sum.endpoints[1]];
    expect_that!((one.in_flight, one.waiting), eq((0, 2)));
    expect_that!((two.in_flight, two.waiting), eq((4, 0)));
    expect_that!((one.kb, two.kb), eq((0, 400)));
    expect_that!(one.answers.served, eq(6.0));
    expect_that!(two.answers.failed, eq(2.0));
    expect_that!(sum.keys, eq(&keys(&[5, 6, 7, 8])));
    let nothing = gathered.take_with(&Observations::default(), std::iter::empty());
    expect_that!(nothing, eq(&Observations::default()));
}
