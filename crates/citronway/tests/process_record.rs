//! A real entry process records itself, and its record can be run again.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;

use citronway_core::node::replay::{NodeOutcome, Told, replay};
use citronway_core::outcome::NotRunReason;
use citronway_standin::caller::{Call, Caller, Verdict};
use citronway_standin::env::{Launcher, wait};
use citronway_standin::http::answer;
use citronway_standin::trial::{Deployment, SERVICE};
use googletest::prelude::*;

const SECRET: &str = "for your eyes only";
const TOKEN: &str = "token=6b1f";

/// An operator looks for a decision of last night. A record that cannot be read, or
/// that decides otherwise than the process did, is of no use; one that holds
/// callers' contents may not be looked at.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_recorded_run_is_replayed_as_it_was() {
    let launcher = Launcher::binary(env!("CARGO_BIN_EXE_citronway"));
    let mut env = Deployment::new(1).entries(1).start(launcher).await.unwrap();
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("recorded.jsonl");
    env.set_further(&format!("\n[trace]\nrecord = {}\n", file.display()));
    env.start_entry("recorded", "zone-0").await.unwrap();
    env.all_healthy().await.unwrap();
    let entry = env.entry("recorded").unwrap().callers();

    let caller = Caller::default();
    wait("ids of now are beyond the floor", async || {
        let call = Call::new(SERVICE, "bottle-1").non_idempotent();
        matches!(caller.send(entry, &call).await, Verdict::Answered { .. })
    })
    .await
    .unwrap();
    let first = Call::new(SERVICE, "bottle-1").non_idempotent().body(SECRET);
    let other = first.clone().body("otherwise");
    let mut verdicts = Vec::new();
    for call in [&first, &first, &other] {
        verdicts.push(caller.send(entry, call).await);
    }
    ask_with_token(entry);
    expect_that!(verdicts[0], matches_pattern!(Verdict::Answered { .. }));
    expect_that!(verdicts[1], matches_pattern!(Verdict::Answered { .. }));
    env.entry_mut("recorded")
        .unwrap()
        .shut_down()
        .await
        .unwrap();

    let text = fs::read_to_string(&file).unwrap();
    let outcome = replay(&text).unwrap();
    expect_that!(replay(&text).unwrap(), eq(&outcome));
    let told = told(&outcome);
    let last = &told[told.len() - 4..];
    expect_that!(last[0], matches_pattern!(Told::Answered { .. }));
    expect_that!(last[1], eq(last[0]));
    let reason = NotRunReason::BadId;
    expect_that!(last[2], eq(Told::NotRun { reason }));
    expect_that!(last[3], matches_pattern!(Told::Answered { .. }));
    expect_that!(text, not(contains_substring(TOKEN)));
    expect_that!(text, not(contains_substring(as_numbers(SECRET))));
}

/// Work whose path holds a token.
fn ask_with_token(entry: SocketAddr) {
    let mut stream = TcpStream::connect(entry).unwrap();
    let request = format!(
        "GET /v1/services/{SERVICE}/runs?{TOKEN} HTTP/1.1\r\nhost: entry\r\n\
         connection: close\r\ncitronway-key: bottle-1\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut text = Vec::new();
    stream.read_to_end(&mut text).unwrap();
    let whole = answer::first(&text).unwrap().expect("a whole answer");
    expect_that!((whole.status, whole.length), eq((200, text.len())));
}

/// What callers were told, in order.
fn told(outcome: &NodeOutcome) -> Vec<Told> {
    let replies = outcome.replies.iter();
    let callers = replies.filter(|(ticket, _)| **ticket < 1 << 32);
    callers.flat_map(|(_, told)| told.clone()).collect()
}

/// A body in the form that JSON has for bytes.
fn as_numbers(body: &str) -> String {
    let json = serde_json::to_string(body.as_bytes()).unwrap();
    json.trim_matches(['[', ']']).to_owned()
}
