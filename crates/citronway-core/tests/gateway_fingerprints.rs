//! Fingerprints: equal for attempts at the same work, different for all other work.

use citronway_core::gateway::crashes::{FingerprintKey, Work};
use googletest::prelude::*;

fn key() -> FingerprintKey {
    FingerprintKey::new([7; 16])
}

const fn work() -> Work<'static> {
    Work {
        caller: b"Bearer one",
        host: "h.example",
        method: "POST",
        path: "/plan/1?x=2",
        key: Some(3),
        body: b"a body",
    }
}

#[gtest]
fn attempts_at_one_work_have_one_fingerprint_under_one_key() {
    expect_that!(work().fingerprint(&key()), eq(work().fingerprint(&key())));
    let other = FingerprintKey::new([8; 16]);
    expect_that!(
        work().fingerprint(&other),
        not(eq(work().fingerprint(&key())))
    );
}

/// A caller crashes endpoints with requests that differ from another caller's in one part, or that
/// divide the same bytes differently. With equal fingerprints the other's work would be refused.
#[gtest]
fn each_part_tells_work_apart() {
    let others = [
        Work {
            caller: b"Bearer two",
            ..work()
        },
        Work {
            host: "i.example",
            ..work()
        },
        Work {
            method: "PUT",
            ..work()
        },
        Work {
            path: "/plan/1?x=3",
            ..work()
        },
        Work {
            key: None,
            ..work()
        },
        Work {
            body: b"a bodY",
            ..work()
        },
        Work {
            host: "h.exampleP",
            method: "OST",
            ..work()
        },
    ];
    for other in others {
        expect_that!(
            other.fingerprint(&key()),
            not(eq(work().fingerprint(&key()))),
            "{other:?}"
        );
    }
}

#[gtest]
fn a_key_is_stored_as_digits_and_not_shown() {
    let text = serde_json::to_string(&key()).expect("it can be written");
    expect_that!(
        serde_json::from_str::<FingerprintKey>(&text).ok(),
        some(eq(key()))
    );
    expect_that!(format!("{:?}", key()), not(contains_substring("7")));
    for wrong in [
        "\"\"",
        "\"0707\"",
        "\"zz070707070707070707070707070707\"",
        "7",
    ] {
        expect_that!(
            serde_json::from_str::<FingerprintKey>(wrong).is_err(),
            eq(true),
            "{wrong}"
        );
    }
}
