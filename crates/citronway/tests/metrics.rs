//! Metrics: histograms for each tenant and class, bounded in number.

use bytes::Bytes;
use citronway::metrics::{
    Direction, EndpointReading, Finished, Metrics, OTHER_TENANTS, ServiceReading, TenantNames,
};
use citronway_core::ids::{ClassName, EndpointName, ServiceName};
use citronway_core::outcome::{Answer, NotRun, NotRunReason, Outcome};
use googletest::prelude::*;

fn finish(metrics: &Metrics, tenant: &str, outcome: &Outcome) {
    metrics.requests.finished(&Finished {
        service: &ServiceName::new("console"),
        tenant,
        class: &ClassName::new("interactive"),
        outcome,
        waiting_ms: Some(4),
        service_ms: Some(30),
        total_ms: 36,
    });
}

fn answered() -> Outcome {
    Outcome::Answered(Answer {
        status: 200,
        content_type: None,
        body: Bytes::new(),
    })
}

#[gtest]
fn times_and_outcomes_are_counted_for_each_tenant_and_class() {
    let metrics = Metrics::new();
    finish(&metrics, "bank", &answered());
    finish(
        &metrics,
        "shop",
        &Outcome::NotRun(NotRun::new(NotRunReason::QueueFull, 50)),
    );
    let text = metrics.text().unwrap();

    let work = |tenant| format!("service=\"console\",tenant=\"{tenant}\",class=\"interactive\"");
    for name in ["waiting", "service", "total"] {
        let count = format!(
            "citronway_request_{name}_seconds_count{{{}}} 1",
            work("bank")
        );
        expect_that!(text, contains_substring(count));
    }
    expect_that!(
        text,
        contains_substring(format!(
            "citronway_requests_total{{{},outcome=\"not_run\",reason=\"queue_full\"}} 1",
            work("shop")
        ))
    );
    expect_that!(text, ends_with("# EOF\n"));
}

/// The process grows until it is killed, hours after a caller began to send a
/// new tenant name with each request. Each name made a new set of histograms.
#[gtest]
fn tenants_beyond_the_bound_share_one_label() {
    let tenants = TenantNames::new(2);
    expect_that!(tenants.label("bank"), eq("bank"));
    expect_that!(tenants.label("shop"), eq("shop"));
    for n in 0..100 {
        expect_that!(tenants.label(&format!("made-up-{n}")), eq(OTHER_TENANTS));
    }
    expect_that!(tenants.label("bank"), eq("bank"));
    expect_that!(
        TenantNames::new(2).label(&"x".repeat(65)),
        eq(OTHER_TENANTS)
    );
    expect_that!(tenants.label(""), eq("none"));
}

/// Two instances show the same endpoint after its dispatcher has changed: the
/// old one's queue stands still at its last figure and keeps an alarm lit.
#[gtest]
fn an_endpoint_dispatched_elsewhere_is_no_longer_shown() {
    let metrics = Metrics::new();
    let endpoint = EndpointName::new("console-1");
    let reading = EndpointReading {
        queued: 9,
        may_act: true,
        hold_age_ms: 250,
        ..EndpointReading::default()
    };
    metrics.endpoints.show(&endpoint, &reading);
    let shown = metrics.text().unwrap();
    expect_that!(
        shown,
        contains_substring("citronway_endpoint_queued{endpoint=\"console-1\"} 9")
    );
    expect_that!(
        shown,
        contains_substring("citronway_endpoint_hold_age_seconds{endpoint=\"console-1\"} 0.25")
    );

    metrics.endpoints.forget(&endpoint);
    expect_that!(
        metrics.text().unwrap(),
        not(contains_substring("console-1"))
    );
}

#[gtest]
fn control_and_services_are_shown() {
    let metrics = Metrics::new();
    metrics.control.config_version.set(12);
    metrics.control.message(Direction::Sent, "heartbeat", 80);
    metrics.control.message(Direction::Sent, "heartbeat", 20);
    metrics.control.dropped("callers");
    let reading = ServiceReading {
        unowned: 3,
        moving: 1,
        imbalance: 1.25,
    };
    metrics
        .endpoints
        .show_service(&ServiceName::new("console"), &reading);
    let text = metrics.text().unwrap();

    let traffic = "{direction=\"sent\",kind=\"heartbeat\"}";
    expect_that!(text, contains_substring("citronway_config_version 12\n"));
    expect_that!(
        text,
        contains_substring(format!("citronway_control_bytes_total{traffic} 100"))
    );
    expect_that!(
        text,
        contains_substring(format!("citronway_control_messages_total{traffic} 2"))
    );
    expect_that!(
        text,
        contains_substring("citronway_ring_drops_total{ring=\"callers\"} 1")
    );
    expect_that!(
        text,
        contains_substring("citronway_shards_unowned{service=\"console\"} 3")
    );
    expect_that!(
        text,
        contains_substring("citronway_imbalance_ratio{service=\"console\"} 1.25")
    );
}
