//! What instances tell each other.

use citronway_core::gateway::election::Strength;
use citronway_core::gateway::pace::{Answers, EndpointTag};
use citronway_core::gateway::report::{EndpointUse, KeySamples, Report, Versions};
use citronway_core::ids::{InstanceName, ServiceName, SessionId};
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
    }
}

/// Many instances in several zones told each other of each request in flight, and most
/// bytes between zones were theirs. Who keeps, and where callers wait, has to be told.
#[gtest]
fn a_brief_report_tells_where_requests_wait_and_nothing_of_the_rest() {
    let full = Report {
        instance: InstanceName::new("one"),
        session: SessionId(7),
        number: 8,
        stopping: true,
        unfit: true,
        strength: Strength(250),
        term: 3,
        seen: Versions {
            config: 4,
            endpoints: 5,
            own: 6,
        },
        endpoints: vec![used(1, 1, 0), used(2, 0, 4), used(3, 2, 0)],
        keys: vec![KeySamples {
            service: ServiceName::new("batch"),
            keys: vec![1, 2, 3],
        }],
    };
    let brief = full.brief(false);
    let tags: Vec<_> = brief.endpoints.iter().map(|used| used.tag.0).collect();
    expect_that!(tags, elements_are![eq(&2), eq(&3)]);
    expect_that!(brief.endpoints[0].waiting, eq(4));
    expect_that!(brief.endpoints[0].answers, eq(Answers::default()));
    expect_that!(brief.keys, is_empty());
    let same = Report {
        endpoints: full.endpoints.clone(),
        keys: full.keys.clone(),
        ..brief
    };
    expect_that!(same, eq(&full));
    // The leader tells the sums of all.
    expect_that!(full.brief(true).endpoints, is_empty());
}
