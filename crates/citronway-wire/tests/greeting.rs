//! What a proof of the greeting binds.

use citronway_core::ids::{Session, ZoneName};
use citronway_wire::greeting::{Claim, Hello, Nonce, Prover, RefusalReason, SharedKey, Welcome};
use googletest::prelude::*;

// Somebody without the key returns the connecting side's own proof as the answer.
#[gtest]
fn a_proof_sent_back_proves_nothing() {
    let key = SharedKey::new(b"key");
    let (me, zone) = (Session::new("a", 1), ZoneName::new("zone-a"));
    let (nonce, challenge) = (Nonce::random(), Nonce::random());
    let hello = Hello::new(&me, &zone, nonce, &challenge, &key);
    let mirrored = Welcome {
        session: me,
        zone,
        proof: hello.proof,
    };
    expect_that!(mirrored.is_proved(&nonce, &challenge, &key), eq(false));
}

// A byte is moved across the borders of name, session id and zone, which are all
// zero there: the bytes in a row are the same, who they name is not.
#[gtest]
fn a_proof_keeps_its_parts_apart() {
    let key = SharedKey::new(b"key");
    let nonce = Nonce::random();
    let prove = |name: &str, zone: &str| {
        let session = Session::new(name, 0);
        let claim = Claim {
            prover: Prover::Connector,
            version: 1,
            session: &session,
            zone: &ZoneName::new(zone),
            connector_nonce: &nonce,
            listener_nonce: &nonce,
        };
        claim.prove(&key)
    };
    expect_that!(prove("a", "\0z"), not(eq(prove("a\0", "z"))));
}

// An instance is started under the name of a running one.
#[gtest]
fn the_own_name_is_refused() {
    let key = SharedKey::new(b"key");
    let challenge = Nonce::random();
    let zone = ZoneName::new("zone-a");
    let other = Session::new("a", 2);
    let hello = Hello::new(&other, &zone, Nonce::random(), &challenge, &key);
    let checked = hello.check(&Session::new("a", 1), Some(&challenge), &key);
    expect_that!(checked, err(eq(RefusalReason::SameInstance)));
}
