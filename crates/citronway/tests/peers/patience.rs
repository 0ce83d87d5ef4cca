//! Waits of a process that is held up.

use std::time::{Duration, Instant};

use citronway::peers::within;
use googletest::prelude::*;
use tokio::sync::oneshot;
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_millis(50);
const SOON: Duration = Duration::from_millis(5);

/// An answer that reaches its reader through two tasks, as one from a socket does.
fn answer_soon() -> oneshot::Receiver<()> {
    let (came, read) = oneshot::channel();
    let (tx, rx) = oneshot::channel();
    tokio::spawn(async move {
        sleep(SOON).await;
        came.send(()).expect("it is read");
    });
    tokio::spawn(async move {
        read.await.expect("it came");
        tx.send(()).expect("it is waited for");
    });
    rx
}

/// Guards against a link that is given up because this process was held up, not its peer.
#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn an_answer_that_came_while_the_process_was_held_up_counts() {
    for _ in 0..20 {
        let rx = answer_soon();
        let held_up = async { std::thread::sleep(2 * LIMIT) };
        let (answer, ()) = tokio::join!(within(LIMIT, rx), held_up);
        expect_that!(answer, some(anything()));
    }
}

/// Guards against a silent peer that is waited for without end.
#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn a_silent_peer_is_given_up_at_the_limit() {
    let begun = Instant::now();
    let answer = within(LIMIT, std::future::pending::<()>()).await;
    expect_that!(answer, none());
    expect_that!(begun.elapsed(), ge(LIMIT));
}
