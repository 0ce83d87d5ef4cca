//! The platform's store, changes of the configuration, and cuts between entries.

mod process_support;

use bytes::Bytes;
use citronway::operators::Refusal;
use citronway::operators::answers::Accepted;
use citronway_core::config::Config;
use citronway_core::ids::{EndpointName, Version};
use citronway_core::request::Repeat;
use citronway_standin::caller::{Call, Caller, Verdict};
use citronway_standin::env::{Admin, wait};
use citronway_standin::platform::PlatformFaults;
use citronway_standin::trial::{Deployment, Links, SERVICE, entry_name};
use googletest::prelude::*;
use http::{Method, Response, StatusCode};

use process_support::{Bench, unanswered};

const ENDPOINT: &str = "endpoint-0";
/// Calls that must be answered while the store is down.
const CALLS_IN_OUTAGE: usize = 600;

/// The same configuration with a label that places no key elsewhere.
fn labelled(config: &Config, value: &str) -> Config {
    let mut config = config.clone();
    let endpoint = config.endpoints.get_mut(&EndpointName::new(ENDPOINT));
    let labels = &mut endpoint.unwrap().labels;
    labels.insert("rack".to_owned(), value.to_owned());
    config
}

async fn put(admin: &Admin, config: &Config, version: Version) -> Response<Bytes> {
    let body = Bytes::from(serde_json::to_vec(config).unwrap());
    let sent = admin.send(Method::PUT, "config", Some(version), body).await;
    sent.unwrap()
}

fn accepted(rsp: &Response<Bytes>) -> Version {
    let accepted: Accepted = serde_json::from_slice(rsp.body()).unwrap();
    accepted.version
}

/// The platform's store is down for long. Nobody can take a role over or move a
/// key, but holds, grants and heartbeats need no store: callers must not notice.
/// When it is back, changes are accepted again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_do_not_notice_that_the_store_is_down() {
    let bench = Bench::start(Deployment::new(3)).await;
    let platform = bench.env.platform();
    let down = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    platform.set_faults(&down).await.unwrap();
    let from = bench.traffic.elapsed();
    bench.traffic.answers(CALLS_IN_OUTAGE).await.unwrap();
    let until = bench.traffic.elapsed();
    platform
        .set_faults(&PlatformFaults::default())
        .await
        .unwrap();

    let before = bench.config(&entry_name(0)).await;
    let admin = bench.env.entry(&entry_name(0)).unwrap().admin();
    let rsp = put(&admin, &labelled(&before.config, "after"), before.version).await;
    expect_that!(rsp.status(), eq(StatusCode::OK));
    bench.in_force(accepted(&rsp)).await;
    let records = bench.finish().await;
    expect_that!(unanswered(&records), is_empty());
    let inside = |record: &&_| (from..until).contains(&intended(record));
    for kind in [Repeat::Idempotent, Repeat::NonIdempotent] {
        let of_kind = records.iter().filter(inside).filter(|it| it.repeat == kind);
        expect_that!(of_kind.count(), ge(CALLS_IN_OUTAGE / 3));
    }
}

const fn intended(record: &citronway_standin::measure::Record) -> std::time::Duration {
    record.intended
}

/// An operator's change takes effect in the store, but the store's answer is lost.
/// Told "refused", the operator would send it again or think that it is not in
/// force. The entry asks the row and must neither write again nor guess.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_answer_was_lost_is_accepted_once() {
    let bench = Bench::start(Deployment::new(2)).await;
    let platform = bench.env.platform();
    let before = bench.config(&entry_name(0)).await;
    let writes = platform.stats().await.unwrap().writes;
    let losing = PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    };
    platform.set_faults(&losing).await.unwrap();
    let admin = bench.env.entry(&entry_name(0)).unwrap().admin();
    let wanted = labelled(&before.config, "lost");
    let rsp = put(&admin, &wanted, before.version).await;
    expect_that!(rsp.status(), eq(StatusCode::OK));
    bench.in_force(accepted(&rsp)).await;
    expect_that!(platform.stats().await.unwrap().writes, eq(writes + 1));
    for entry in bench.env.entries() {
        let known = bench.config(entry.settings().name.as_str()).await;
        expect_that!(known.version, eq(accepted(&rsp)));
        expect_that!(*known.config, eq(&wanted));
    }
    bench.finish().await;
}

/// Two operators change the same label at the same moment through two entries. If
/// both were told "accepted", one of them would find the other's value in force.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_one_is_shown_both_changes() {
    let bench = Bench::start(Deployment::new(2)).await;
    let before = bench.config(&entry_name(0)).await;
    let admins = [0, 1].map(|number| bench.env.entry(&entry_name(number)).unwrap().admin());
    let wanted = ["mine", "yours"].map(|value| labelled(&before.config, value));
    let (first, second) = tokio::join!(
        put(&admins[0], &wanted[0], before.version),
        put(&admins[1], &wanted[1], before.version),
    );
    let first_won = first.status() == StatusCode::OK;
    let (won, lost) = if first_won {
        (first, second)
    } else {
        (second, first)
    };
    let (theirs, mine) = if first_won {
        ("mine", "yours")
    } else {
        ("yours", "mine")
    };
    expect_that!(won.status(), eq(StatusCode::OK));
    expect_that!(lost.status(), eq(StatusCode::CONFLICT));
    let refusal: Refusal = serde_json::from_slice(lost.body()).unwrap();
    let Refusal::Conflict(conflict) = refusal else {
        panic!("no conflict: {refusal}");
    };
    expect_that!(conflict.found, eq(accepted(&won)));
    let changes = format!("{:?}", conflict.changes);
    expect_that!(
        changes,
        all!(contains_substring(theirs), contains_substring(mine))
    );
    bench.in_force(accepted(&won)).await;
    let value = theirs.to_owned();
    for entry in bench.env.entries() {
        let known = bench.config(entry.settings().name.as_str()).await;
        expect_that!(*known.config, eq(&labelled(&before.config, &value)));
    }
    bench.finish().await;
}

/// The network parts the dispatcher from all other entries, but not from the
/// endpoint or the store. It must stop by itself before its successor begins. When
/// the cut ends, what was under way in it arrives late.
async fn cut_and_heal(cut: impl Fn(&Links, &str)) {
    let (bench, links) = Bench::start_linked(Deployment::new(3).checks(false)).await;
    let old = bench.row(ENDPOINT).await.dispatcher;
    cut(&links, old.instance.as_str());
    bench.successor_at_work(ENDPOINT, &old).await;
    links.heal();
    bench.deployment.settled(&bench.env).await.unwrap();
    bench.traffic.all_served().await.unwrap();
    bench.finish().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_dispatcher_cut_from_its_peers_is_replaced() {
    cut_and_heal(Links::cut_from_peers).await;
}

/// The same with a cut in one direction only: the dispatcher hears its successors
/// and may think that all is well, but nothing of it reaches them.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_dispatcher_that_only_hears_its_peers_is_replaced() {
    cut_and_heal(Links::cut_to_peers).await;
}

/// An entry loses store and peers, and operators change the configuration. It
/// cannot know, so after a while it must stop serving by the old one, and say so to
/// the balancer. Afterwards it has the new one in force.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_cut_from_everything_stops_serving() {
    let (bench, links) = Bench::start_linked(Deployment::new(3)).await;
    let alone = entry_name(2);
    links.cut_from_peers(&alone);
    links.cut_from_platform(&alone);
    let before = bench.config(&entry_name(0)).await;
    let admin = bench.env.entry(&entry_name(0)).unwrap().admin();
    let rsp = put(&admin, &labelled(&before.config, "unheard"), before.version).await;
    expect_that!(rsp.status(), eq(StatusCode::OK));

    let entry = bench.env.entry(&alone).unwrap();
    let caller = Caller::default();
    let unhealthy = async || !entry.is_healthy().await;
    wait("it fails its check", unhealthy).await.unwrap();
    let call = Call::new(SERVICE, "bottle-0").non_idempotent();
    let verdict = caller.send(entry.callers(), &call).await;
    let Verdict::NotRun(unanswered) = verdict else {
        panic!("a stale entry answers: {verdict:?}");
    };
    expect_that!(unanswered.reason, eq("stale_config"));

    links.heal();
    bench.in_force(accepted(&rsp)).await;
    bench.deployment.settled(&bench.env).await.unwrap();
    bench.traffic.all_served().await.unwrap();
    bench.finish().await;
}
