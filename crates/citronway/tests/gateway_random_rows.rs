//! Random rows of requests on one connection, compared with what one request after the other gives.

mod gateway_support;

use std::thread;
use std::time::Duration;

use citronway_standin::shared::Ran;
use gateway_support::rows::{RowCaller, look, order};
use gateway_support::{Deployment, Instance};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::{Config, TestRunner};

/// Work of each request.
const WORK: Duration = Duration::from_millis(5);

/// A request of a row.
#[derive(Debug, Clone, Copy)]
enum Kind {
    Look,
    /// Idempotent, with a body of so many bytes.
    Put(usize),
    /// Idempotent, with a body in chunks.
    Chunked(usize),
    /// At most once, with a body of so many bytes.
    Order(usize),
}

impl Kind {
    const fn body_bytes(self) -> usize {
        match self {
            Self::Look => 0,
            Self::Put(bytes) | Self::Chunked(bytes) | Self::Order(bytes) => bytes,
        }
    }

    fn text(self, id: &str) -> String {
        match self {
            Self::Look => look("GET /status/1", id),
            Self::Put(bytes) => order("PUT /status/1", id, &"p".repeat(bytes)),
            Self::Order(bytes) => order("POST /order/1", id, &"o".repeat(bytes)),
            Self::Chunked(bytes) => {
                let head = look("PUT /status/1", id);
                let (first, second) = (bytes / 3, bytes - bytes / 3);
                let chunk = |bytes: usize| match bytes {
                    0 => String::new(),
                    _ => format!("{bytes:x}\r\n{}\r\n", "c".repeat(bytes)),
                };
                head.trim_end().to_owned()
                    + "\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + &chunk(first)
                    + &chunk(second)
                    + "0\r\n\r\n"
            }
        }
    }
}

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![
        6 => Just(Kind::Look),
        2 => (0..20_000_usize).prop_map(Kind::Put),
        1 => (0..20_000_usize).prop_map(Kind::Chunked),
        2 => (0..20_000_usize).prop_map(Kind::Order),
    ]
}

/// Whether the requests of a row ran once each, and those that may run at most once neither before
/// an earlier one had ended nor beside a later one.
fn check_ran(kinds: &[Kind], mut ran: Vec<Ran>) -> Result<(), TestCaseError> {
    ran.sort_by_key(|ran| ran.id.clone());
    prop_assert_eq!(ran.len(), kinds.len());
    for (n, (kind, own)) in kinds.iter().zip(&ran).enumerate() {
        prop_assert_eq!(own.body.len(), kind.body_bytes());
        if !matches!(kind, Kind::Order(_)) {
            continue;
        }
        for (other_n, other) in ran.iter().enumerate() {
            let apart = if other_n < n {
                own.at.saturating_duration_since(other.at)
            } else {
                other.at.saturating_duration_since(own.at)
            };
            prop_assert!(
                n == other_n || apart >= WORK,
                "{} beside {}",
                own.id,
                other.id
            );
        }
    }
    Ok(())
}

fn check_row(
    deployment: &Deployment,
    instance: &Instance,
    kinds: &[Kind],
    cuts: &[(Index, bool)],
) -> Result<(), TestCaseError> {
    let before = deployment.c.ran().len();
    let ids: Vec<_> = (0..kinds.len()).map(|n| format!("r{n:02}")).collect();
    let row: String = kinds
        .iter()
        .zip(&ids)
        .map(|(kind, id)| kind.text(id))
        .collect();
    let mut cuts: Vec<_> = cuts
        .iter()
        .map(|(at, pauses)| (at.index(row.len()), *pauses))
        .collect();
    cuts.sort_unstable();
    let mut caller = RowCaller::connect(instance.callers);
    let mut sent = 0;
    for (cut, pauses) in cuts {
        caller.send(&row[sent..cut]);
        sent = cut;
        if pauses {
            thread::sleep(Duration::from_millis(3));
        }
    }
    caller.send(&row[sent..]);
    for id in &ids {
        let reply = caller.next();
        let body = reply.map(|reply| reply.body);
        prop_assert_eq!(body, Some(format!("answer of i-c to {id}")));
    }
    check_ran(kinds, deployment.c.ran().split_off(before))
}

/// Failure: an answer of another request or in another order, a part of a body that becomes a
/// request, or a request that runs beside one that may run at most once.
#[test]
fn random_rows_are_answered_as_one_request_after_the_other() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    deployment.c.echo();
    deployment.c.work(WORK);
    let mut runner = TestRunner::new(Config {
        cases: 60,
        failure_persistence: None,
        ..Config::default()
    });
    let rows = (vec(kind(), 1..14), vec(any::<(Index, bool)>(), 0..6));
    runner
        .run(&rows, |(kinds, cuts)| {
            check_row(&deployment, &instance, &kinds, &cuts)
        })
        .expect("each row is answered");
}
