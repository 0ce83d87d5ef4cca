//! Broken heads as the reader of callers' answers sees them.

use citronway_standin::http::answer::{Malformed, first};
use citronway_standin::shared::HeadChange;
use googletest::prelude::*;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 4\r\n\r\nfull";

/// Guards against a broken head that reaches a caller of a test and is read as an answer.
#[gtest]
fn a_broken_head_is_no_answer() {
    assert_that!(first(ANSWER).map(|whole| whole.is_some()), ok(eq(true)));
    for change in HeadChange::BROKEN {
        let read = first(&change.apply(ANSWER)).map(|_| ());
        expect_that!(read, err(eq(Malformed)), "{change:?}");
    }
}

/// Guards against changes of a head that break the rest of the answer too.
#[gtest]
fn only_the_head_of_an_answer_is_changed() {
    let chunked = HeadChange::Chunked("transfer-encoding: chunked").apply(ANSWER);
    let framed = HeadChange::Framing("content-length: LENGTH").apply(ANSWER);
    for changed in [chunked, framed] {
        let whole = first(&changed).expect("an answer").expect("a whole one");
        expect_that!(whole.body, eq(b"full"));
        expect_that!(whole.length, eq(changed.len()));
    }
}
