//! Which heads of answers say how their body ends.

use citronway::answer_head::{HeadError, check};
use googletest::prelude::*;
use http::header::{CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, StatusCode};

const BODILESS: [(Method, u16); 4] = [
    (Method::HEAD, 200),
    (Method::HEAD, 404),
    (Method::GET, 204),
    (Method::GET, 304),
];

fn headers(fields: &[(HeaderName, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        headers.append(name, HeaderValue::from_static(value));
    }
    headers
}

fn check_fields(
    method: &Method,
    status: u16,
    fields: &[(HeaderName, &'static str)],
) -> std::result::Result<(), HeadError> {
    let status = StatusCode::from_u16(status).expect("three digits");
    check(method, status, &headers(fields))
}

/// Guards against answers without a body that are taken for broken ones.
#[gtest]
fn answers_without_a_body_may_state_the_framing_of_one() {
    for (method, status) in &BODILESS {
        for fields in [
            &[][..],
            &[(CONTENT_LENGTH, "13")],
            &[(TRANSFER_ENCODING, "chunked")],
            &[(TRANSFER_ENCODING, "gzip"), (TRANSFER_ENCODING, "chunked")],
        ] {
            let checked = check_fields(method, *status, fields);
            expect_that!(checked, ok(eq(())), "{method} {status} {fields:?}");
        }
    }
}

/// Guards against a length that cannot be read and is passed on with an answer without a body.
#[gtest]
fn a_length_is_valid_in_answers_without_a_body_too() {
    for (method, status) in &BODILESS {
        for length in ["", "13, 13", "+13", "0x0d", "18446744073709551616"] {
            let checked = check_fields(method, *status, &[(CONTENT_LENGTH, length)]);
            expect_that!(
                checked,
                err(eq(HeadError::Framing)),
                "{method} {status} {length}"
            );
        }
    }
}

/// Guards against statuses of other than final answers that are passed on.
#[gtest]
fn only_final_statuses_are_those_of_answers() {
    for status in [100, 101, 103, 199, 600, 999] {
        let checked = check_fields(&Method::GET, status, &[]);
        expect_that!(checked, err(eq(HeadError::Status)), "{status}");
    }
    for status in [200, 299, 304, 499, 500, 599] {
        let checked = check_fields(&Method::GET, status, &[(CONTENT_LENGTH, "0")]);
        expect_that!(checked, ok(eq(())), "{status}");
    }
}
