//! Each kind of broken message is refused with the field at fault.

use capnp::message::{ReaderOptions, SegmentArray, TypedBuilder};
use citronway_wire::WireError;
use citronway_wire::convert::{
    read_forward, read_greet_reply, read_hello, read_message, read_outcome, read_request,
};
use citronway_wire::peer_capnp::{greet_reply, hello, link, outcome, peer_message, request};
use googletest::prelude::*;

/// Reads a message made by `write` and returns the error.
macro_rules! error_of {
    ($read:path, $type:ty, $write:expr) => {{
        let mut message = TypedBuilder::<$type>::new_default();
        let write: fn(<$type as capnp::traits::Owned>::Builder<'_>) = $write;
        write(message.init_root());
        describe($read(message.get_root_as_reader().unwrap()).map(|_| ()))
    }};
}

/// The error as it is logged.
fn describe(read: std::result::Result<(), WireError>) -> String {
    read.map_or_else(|err| err.to_string(), |()| "no error".to_owned())
}

/// A request that can be read, to be broken in one place.
fn good(mut b: request::Builder<'_>) -> request::Builder<'_> {
    b.set_id(&[7; 16]);
    b.set_service("booking");
    b.set_key("bottle-17");
    b.set_tenant("");
    b.set_class("batch");
    b.set_method("GET");
    b.set_path("/");
    b.set_body(&[]);
    b
}

#[gtest]
fn a_request_that_is_good_is_read() {
    let error = error_of!(read_request, request::Owned, |b| {
        good(b);
    });
    expect_that!(error, eq("no error"));
}

#[gtest]
fn missing_pointers() {
    expect_that!(
        error_of!(read_request, request::Owned, |_| {}),
        eq("request.id is missing")
    );
    expect_that!(
        error_of!(read_request, request::Owned, |mut b| b.set_id(&[7; 16])),
        eq("request.service is missing")
    );
    expect_that!(
        error_of!(read_forward, link::forward_params::Owned, |mut b| b
            .set_endpoint("endpoint-1")),
        eq("forward.request is missing")
    );
    expect_that!(
        error_of!(read_hello, hello::Owned, |_| {}),
        eq("hello.nonce is missing")
    );
}

// Zeroed memory must not pass for an answer, a promise or a heartbeat.
#[gtest]
fn unions_that_were_never_set() {
    expect_that!(
        error_of!(read_outcome, outcome::Owned, |_| {}),
        eq("outcome.answered is missing")
    );
    expect_that!(
        error_of!(read_message, peer_message::Owned, |_| {}),
        eq("message.heartbeat is missing")
    );
    expect_that!(
        error_of!(read_message, peer_message::Owned, |b| {
            b.init_hold().set_endpoint("endpoint-1");
        }),
        eq("hold.ask is missing")
    );
    expect_that!(
        error_of!(read_greet_reply, greet_reply::Owned, |_| {}),
        eq("greetReply.accepted is missing")
    );
}

#[gtest]
fn request_ids_that_are_no_uuid() {
    expect_that!(
        error_of!(read_request, request::Owned, |b| good(b).set_id(&[7; 15])),
        eq("request.id is no UUID: it has 15 bytes instead of 16")
    );
    expect_that!(
        error_of!(read_message, peer_message::Owned, |b| {
            let mut hold = b.init_hold();
            hold.set_endpoint("endpoint-1");
            hold.init_handover().init_requests(1).get(0).set_id(&[]);
        }),
        eq("knownRequest.id is no UUID: it has 0 bytes instead of 16")
    );
}

#[gtest]
fn nonces_of_another_length() {
    expect_that!(
        error_of!(read_hello, hello::Owned, |mut b| b.set_nonce(&[7; 31])),
        eq("nonce has 31 bytes instead of 32")
    );
}

#[gtest]
fn text_that_is_not_utf_8() {
    expect_that!(
        error_of!(read_request, request::Owned, |b| {
            good(b).init_key(2).as_bytes_mut()[0] = 0xff;
        }),
        eq("request.key is not UTF-8")
    );
}

#[gtest]
fn fields_over_their_limit() {
    expect_that!(
        error_of!(read_request, request::Owned, |b| {
            good(b).set_service("x".repeat(257));
        }),
        eq("request.service has a length of 257, the limit is 256")
    );
    expect_that!(
        error_of!(read_message, peer_message::Owned, |b| {
            b.init_rows(65_537);
        }),
        eq("message.rows has a length of 65537, the limit is 65536")
    );
}

// An instance of the future sends cases that this one does not know.
#[gtest]
fn values_that_are_not_known() {
    /// Bytes of the root pointer; the data of the struct follows.
    const ROOT: usize = 8;
    /// Bytes of the union's case and of the pointer to it; its data follows.
    const OUTCOME: usize = 16;
    let mut message = TypedBuilder::<outcome::Owned>::new_default();
    message.init_root().init_not_run();
    let sent = message.borrow_inner().get_segments_for_output()[0].to_vec();

    let mut case = sent.clone();
    case[ROOT] = 9;
    expect_that!(read_words(&case), eq("outcome has the unknown value 9"));
    let mut reason = sent;
    reason[ROOT + OUTCOME] = 99;
    expect_that!(
        read_words(&reason),
        eq("notRun.reason has the unknown value 99")
    );
}

// A pointer that leads out of the message.
#[gtest]
fn pointers_that_lead_nowhere() {
    let mut message = TypedBuilder::<outcome::Owned>::new_default();
    message.init_root().init_not_run();
    let mut sent = message.borrow_inner().get_segments_for_output()[0].to_vec();
    sent.truncate(sent.len() - 8);
    expect_that!(read_words(&sent), eq("outcome.notRun is malformed"));
}

/// Reads an outcome from the bytes of its only segment.
fn read_words(segment: &[u8]) -> String {
    // The codec wants its words aligned.
    let mut words = capnp::Word::allocate_zeroed_vec(segment.len() / 8);
    capnp::Word::words_to_bytes_mut(&mut words).copy_from_slice(segment);
    let segments = [capnp::Word::words_to_bytes(&words)];
    let segments = SegmentArray::new(&segments);
    let message = capnp::message::Reader::new(segments, ReaderOptions::new());
    let root = message.get_root::<outcome::Reader<'_>>().unwrap();
    describe(read_outcome(root).map(|_| ()))
}
