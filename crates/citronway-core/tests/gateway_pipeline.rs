//! Which requests of a connection are begun before the earlier ones are answered.

use std::collections::VecDeque;

use citronway_core::gateway::pipeline::{
    Arrival, Hold, InstanceRoom, Pipeline, PipelineLimits, is_expired,
};
use citronway_core::gateway::routes::Repeat;
use citronway_core::time::Mono;
use googletest::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;

const ROOM: InstanceRoom = InstanceRoom {
    has_room: true,
    is_stopping: false,
};

const fn arrival(repeat: Repeat, answer_bytes: u64) -> Arrival {
    Arrival {
        repeat: Some(repeat),
        answer_bytes,
    }
}

const LOOK: Arrival = arrival(Repeat::Idempotent, 1_000);

fn pipeline(requests: u32, answer_bytes: u64) -> Pipeline {
    Pipeline::new(PipelineLimits {
        requests,
        answer_bytes,
    })
}

/// Guards against a bound of the connection, or of the instance, that is not kept.
#[gtest]
fn each_bound_holds_the_next_request() {
    let stopping = InstanceRoom {
        is_stopping: true,
        ..ROOM
    };
    let full = InstanceRoom {
        has_room: false,
        ..ROOM
    };
    let mut row = pipeline(3, 2_500);
    row.begin(&LOOK);
    expect_that!(row.may_begin(&LOOK, ROOM), ok(anything()));
    expect_that!(row.may_begin(&LOOK, full), err(eq(Hold::Instance)));
    expect_that!(row.may_begin(&LOOK, stopping), err(eq(Hold::Closing)));
    let large = arrival(Repeat::Idempotent, 2_501);
    expect_that!(row.may_begin(&large, ROOM), err(eq(Hold::AnswerBytes)));
    let number = row.begin(&LOOK);
    expect_that!(row.may_begin(&LOOK, ROOM), ok(anything()));
    row.record_answer(number, 1_501);
    expect_that!(row.may_begin(&LOOK, ROOM), err(eq(Hold::AnswerBytes)));
    row.record_answer(number, 1_500);
    row.begin(&LOOK);
    expect_that!(row.may_begin(&LOOK, ROOM), err(eq(Hold::Requests)));
    row.record_delivered();
    expect_that!(row.may_begin(&LOOK, ROOM), ok(anything()));
    row.close();
    expect_that!(row.may_begin(&LOOK, ROOM), err(eq(Hold::Closing)));
}

/// Guards against a request without a known route that is begun before it is read.
#[gtest]
fn what_has_no_route_is_begun_in_its_turn() {
    let unknown = Arrival {
        repeat: None,
        ..LOOK
    };
    let mut row = pipeline(8, 100_000);
    row.begin(&unknown);
    expect_that!(row.may_begin(&LOOK, ROOM), err(eq(Hold::InOrder)));
    row.record_first(Some(Repeat::Idempotent));
    expect_that!(row.may_begin(&LOOK, ROOM), ok(anything()));
    expect_that!(row.may_begin(&unknown, ROOM), err(eq(Hold::InOrder)));
}

/// Guards against a request that is refused in the millisecond in which it arrived.
#[gtest]
fn a_request_expires_at_its_time_and_not_before_it_could_be_begun() {
    let arrived = Mono(1_000);
    expect_that!(is_expired(arrived, arrived, 0), eq(false));
    expect_that!(is_expired(arrived.plus(99), arrived, 100), eq(false));
    expect_that!(is_expired(arrived.plus(100), arrived, 100), eq(true));
}

/// What happens to a connection.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A request arrives.
    Arrives(Arrival),
    /// The answer to one of those that are begun is known.
    Answered(usize, u64),
    /// The answer to the first is delivered.
    Delivered,
    Closes,
}

fn event() -> impl Strategy<Value = Event> {
    let repeat = prop_oneof![
        4 => Just(Some(Repeat::Idempotent)),
        1 => Just(Some(Repeat::AtMostOnce)),
        1 => Just(None),
    ];
    prop_oneof![
        8 => (repeat, 0..40_000_u64)
            .prop_map(|(repeat, answer_bytes)| Event::Arrives(Arrival { repeat, answer_bytes })),
        4 => (0..8_usize, 0..40_000_u64).prop_map(|(n, bytes)| Event::Answered(n, bytes)),
        6 => Just(Event::Delivered),
        1 => Just(Event::Closes),
    ]
}

/// A request of the model that is begun, with the size of its answer as far as it is known.
struct Begun {
    number: u64,
    is_repeatable: bool,
    bytes: u64,
}

proptest! {
    /// Guards against rows in which a request overtakes another, exceeds a bound, or is begun
    /// ahead while the outcome of one that must not be repeated is open.
    #[test]
    fn random_rows_keep_order_and_bounds(
        events in vec(event(), 1..120),
        requests in 1..6_u32,
        answer_bytes in 16_384..100_000_u64,
    ) {
        let mut row = pipeline(requests, answer_bytes);
        let mut arrived = VecDeque::new();
        let mut begun = VecDeque::<Begun>::new();
        let mut last_number = None;
        let mut closes = false;
        for event in events {
            match event {
                Event::Arrives(next) => arrived.push_back(next),
                Event::Answered(n, bytes) => if let Some(begun) = begun.get_mut(n) {
                    row.record_answer(begun.number, bytes);
                    begun.bytes = bytes;
                }
                Event::Delivered => if begun.pop_front().is_some() {
                    row.record_delivered();
                }
                Event::Closes => {
                    row.close();
                    closes = true;
                }
            }
            while let Some(next) = arrived.front().copied() {
                let is_ahead = !begun.is_empty();
                let may_begin = row.may_begin(&next, ROOM);
                if is_ahead && may_begin.is_err() {
                    break;
                }
                if !is_ahead && closes {
                    break;
                }
                arrived.pop_front();
                let number = row.begin(&next);
                prop_assert!(last_number < Some(number));
                last_number = Some(number);
                begun.push_back(Begun {
                    number,
                    is_repeatable: next.repeat == Some(Repeat::Idempotent),
                    bytes: if next.answer_bytes == 0 { 16_384 } else { next.answer_bytes },
                });
                if !is_ahead {
                    continue;
                }
                prop_assert!(!closes);
                prop_assert!(begun.iter().all(|begun| begun.is_repeatable));
                prop_assert!(begun.len() <= requests as usize);
                let waiting: u64 = begun.iter().skip(1).map(|begun| begun.bytes).sum();
                prop_assert!(waiting <= answer_bytes);
            }
            prop_assert_eq!(row.begun(), begun.len());
            prop_assert_eq!(row.is_at_last(), begun.len() <= 1);
        }
    }
}
