//! What is written is read back the same, for any value of any message.

use bytes::Bytes;
use capnp::message::TypedBuilder;
use citronway_core::dispatch::fingerprint::Fingerprint;
use citronway_core::gateway::crashes::{self, Sign};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::ids::{ClassName, EndpointName, Epoch, Key, RequestId, ServiceName};
use citronway_core::ids::{Session, ShardId, Version};
use citronway_core::outcome::{
    Answer, MayHaveRun, MayHaveRunReason, NotRun, NotRunReason, Outcome,
};
use citronway_core::peer::{
    EndpointLoad, EndpointLost, Heartbeat, HoldMessage, HotKey, KnownRequests,
};
use citronway_core::peer::{KnownRequest, PeerMessage, ShardLoad, ShardReleased};
use citronway_core::platform::{Row, RowKey};
use citronway_core::request::{Repeat, Request};
use citronway_core::shard::KeyHash;
use citronway_core::time::Wall;
use citronway_wire::convert::{
    EncodedMessage, read_message, read_outcome, read_request, write_outcome, write_request,
};
use citronway_wire::peer_capnp::{outcome, request};
use citronway_wire::size;
use googletest::prelude::*;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::{Just, Strategy, any};
use proptest::prop_oneof;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use uuid::Uuid;

const SEED: [u8; 32] = [17; 32];
const CASES: u32 = 512;

/// Runs a property on the same values each time.
fn check<T: std::fmt::Debug>(values: impl Strategy<Value = T>, property: impl Fn(T)) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let result = TestRunner::new_with_rng(config, rng).run(&values, |value| {
        property(value);
        Ok(())
    });
    if let Err(err) = result {
        panic!("{err}");
    }
}

fn text() -> impl Strategy<Value = String> {
    "\\PC{0,40}"
}

fn body() -> impl Strategy<Value = Bytes> {
    vec(any::<u8>(), 0..300).prop_map(Bytes::from)
}

fn id() -> impl Strategy<Value = RequestId> {
    any::<u128>().prop_map(|n| RequestId(Uuid::from_u128(n)))
}

fn epoch() -> impl Strategy<Value = Epoch> {
    any::<u64>().prop_map(Epoch)
}

fn version() -> impl Strategy<Value = Version> {
    any::<u64>().prop_map(Version)
}

fn not_run_reason() -> impl Strategy<Value = NotRunReason> {
    proptest::sample::select(vec![
        NotRunReason::StaleConfig,
        NotRunReason::UnknownService,
        NotRunReason::NoRoute,
        NotRunReason::NoOwner,
        NotRunReason::Moving,
        NotRunReason::NotDispatcher,
        NotRunReason::NoHold,
        NotRunReason::DispatcherUnreachable,
        NotRunReason::QueueFull,
        NotRunReason::DeadlineTooClose,
        NotRunReason::Expired,
        NotRunReason::Draining,
        NotRunReason::EndpointUnreachable,
        NotRunReason::EndpointRefused,
        NotRunReason::EndpointShed,
        NotRunReason::HotKeyLimited,
        NotRunReason::ShuttingDown,
        NotRunReason::Cancelled,
        NotRunReason::Overloaded,
        NotRunReason::BadId,
        NotRunReason::CrashesEndpoints,
        NotRunReason::UnderTrial,
    ])
}

fn may_have_run_reason() -> impl Strategy<Value = MayHaveRunReason> {
    proptest::sample::select(vec![
        MayHaveRunReason::ConnectionLost,
        MayHaveRunReason::Timeout,
        MayHaveRunReason::BadAnswer,
        MayHaveRunReason::DispatcherLost,
        MayHaveRunReason::BeforeFloor,
        MayHaveRunReason::AnswerGone,
    ])
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        (any::<u16>(), option::of(text()), body()).prop_map(|(status, content_type, body)| {
            Outcome::Answered(Answer {
                status,
                content_type,
                body,
            })
        }),
        (not_run_reason(), any::<u64>())
            .prop_map(|(reason, ms)| Outcome::NotRun(NotRun::new(reason, ms))),
        (may_have_run_reason(), any::<u64>()).prop_map(|(reason, retry_after_ms)| {
            Outcome::MayHaveRun(MayHaveRun {
                reason,
                retry_after_ms,
            })
        }),
    ]
}

fn request() -> impl Strategy<Value = Request> {
    let names = (text(), text(), text(), text());
    let http = ("[A-Z]{1,8}", text(), option::of(text()), body());
    let repeat = prop_oneof![Just(Repeat::Idempotent), Just(Repeat::NonIdempotent)];
    (id(), names, repeat, any::<u64>(), http).prop_map(|(id, names, repeat, deadline, http)| {
        Request {
            id,
            service: ServiceName::new(&names.0),
            key: Key::new(&names.1),
            tenant: names.2,
            class: ClassName::new(&names.3),
            repeat,
            deadline: Wall(deadline),
            method: http.0,
            path: http.1,
            content_type: http.2,
            body: http.3,
        }
    })
}

fn hold() -> impl Strategy<Value = HoldMessage> {
    let known = (id(), option::of(any::<[u8; 16]>()), option::of(outcome())).prop_map(
        |(id, bytes, outcome)| KnownRequest {
            id,
            fingerprint: bytes.map(Fingerprint::from_bytes),
            outcome,
        },
    );
    prop_oneof![
        (epoch(), version(), any::<u64>(), any::<u64>()).prop_map(
            |(epoch, row_version, round, duration_ms)| HoldMessage::Ask {
                epoch,
                row_version,
                round,
                duration_ms
            }
        ),
        (epoch(), any::<u64>()).prop_map(|(epoch, round)| HoldMessage::Promise { epoch, round }),
        (epoch(), any::<u64>(), version()).prop_map(|(epoch, round, row_version)| {
            HoldMessage::Refuse {
                epoch,
                round,
                row_version,
            }
        }),
        version().prop_map(|row_version| HoldMessage::Renounce { row_version }),
        (epoch(), version(), any::<u64>(), vec(known, 0..5)).prop_map(
            |(epoch, row_version, floor, requests)| {
                HoldMessage::Handover {
                    epoch,
                    row_version,
                    known: KnownRequests {
                        floor: Wall(floor),
                        requests,
                    },
                }
            }
        ),
    ]
}

fn load() -> impl Strategy<Value = EndpointLoad> {
    let hot = (text(), any::<u64>(), any::<u64>()).prop_map(|(service, hash, requests)| HotKey {
        service: ServiceName::new(&service),
        hash: KeyHash(hash),
        requests,
    });
    let shard =
        (text(), any::<u64>(), any::<u64>()).prop_map(|(service, id, requests)| ShardLoad {
            service: ServiceName::new(&service),
            shard: ShardId(id),
            requests,
        });
    let numbers = (any::<u64>(), any::<u64>(), any::<u64>());
    let lists = (vec(hot, 0..4), vec(shard, 0..4));
    (text(), numbers, any::<bool>(), lists).prop_map(|(name, n, draining, (hot, shards))| {
        EndpointLoad {
            endpoint: EndpointName::new(&name),
            requests: n.0,
            service_ms: n.1,
            queued: n.2,
            draining,
            hot,
            shards,
        }
    })
}

fn row() -> impl Strategy<Value = Row> {
    (text(), text(), version(), text()).prop_map(|(table, key, version, value)| Row {
        at: RowKey { table, key },
        version,
        value,
    })
}

fn sign() -> impl Strategy<Value = Sign> {
    (any::<u64>(), option::of(any::<u32>())).prop_map(|(work, crashed)| {
        let work = crashes::Fingerprint(work);
        match crashed.map(EndpointTag) {
            Some(endpoint) => Sign::Crash { work, endpoint },
            None => Sign::Answered { work },
        }
    })
}

fn heartbeat() -> impl Strategy<Value = Heartbeat> {
    let fields = (version(), any::<u64>(), any::<bool>());
    (fields, any::<u64>(), vec(sign(), 0..5)).prop_map(|(fields, first_sign, signs)| {
        let (config, store_age_ms, leaving) = fields;
        Heartbeat {
            config,
            store_age_ms,
            leaving,
            first_sign,
            signs,
        }
    })
}

fn message() -> impl Strategy<Value = PeerMessage> {
    let names = (text(), text(), text());
    let numbers = (any::<u64>(), any::<u64>(), any::<u64>());
    prop_oneof![
        heartbeat().prop_map(PeerMessage::Heartbeat),
        vec(row(), 0..5).prop_map(|rows| PeerMessage::Rows { rows }),
        (text(), hold()).prop_map(|(endpoint, message)| PeerMessage::Hold {
            endpoint: EndpointName::new(&endpoint),
            message,
        }),
        (text(), epoch(), any::<bool>()).prop_map(|(endpoint, dispatch_epoch, quiet)| {
            PeerMessage::EndpointLost(EndpointLost {
                endpoint: EndpointName::new(&endpoint),
                dispatch_epoch,
                quiet,
            })
        }),
        (names, numbers, any::<u64>()).prop_map(|(names, numbers, floor)| {
            PeerMessage::ShardReleased(ShardReleased {
                service: ServiceName::new(&names.0),
                shard: ShardId(numbers.0),
                epoch: Epoch(numbers.1),
                from: EndpointName::new(&names.1),
                dispatcher: Session::new(&names.2, numbers.2),
                floor: Wall(floor),
            })
        }),
        load().prop_map(PeerMessage::Load),
    ]
}

#[gtest]
fn control_messages() {
    check(message(), |sent| {
        let encoded = EncodedMessage::new(&sent);
        let read = read_message(encoded.reader().unwrap());
        assert_that!(read, ok(eq(&sent)));
    });
}

#[gtest]
fn requests_and_the_bound_of_their_size() {
    check(request(), |sent| {
        let mut message = TypedBuilder::<request::Owned>::new_default();
        write_request(&sent, message.init_root());
        let bytes = message.borrow_inner().size_in_words() * 8;
        assert_that!(bytes, le(size::of_request(&sent)));
        let read = read_request(message.get_root_as_reader().unwrap());
        assert_that!(read, ok(eq(&sent)));
    });
}

#[gtest]
fn outcomes_and_the_bound_of_their_size() {
    check(outcome(), |sent| {
        let mut message = TypedBuilder::<outcome::Owned>::new_default();
        write_outcome(&sent, message.init_root());
        let bytes = message.borrow_inner().size_in_words() * 8;
        assert_that!(bytes, le(size::of_outcome(&sent)));
        let read = read_outcome(message.get_root_as_reader().unwrap());
        assert_that!(read, ok(eq(&sent)));
    });
}
