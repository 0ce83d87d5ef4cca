//! Cost of a dispatcher's decisions by the number of queued requests and known ids.

use std::hint::black_box;

use bytes::Bytes;
use citronway_core::config::Class;
use citronway_core::dispatch::duplicates::Duplicates;
use citronway_core::dispatch::fingerprint::Fingerprint;
use citronway_core::dispatch::queue::{Queue, QueuedRequest};
use citronway_core::dispatch::service::ServiceTimes;
use citronway_core::dispatch::{DispatchSettings, ShardRef};
use citronway_core::hotkeys::HotKeys;
use citronway_core::ids::{ClassName, RequestId, ShardId};
use citronway_core::outcome::{Answer, Outcome};
use citronway_core::request::{Repeat, Request};
use citronway_core::time::{Mono, Wall};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use indexmap::IndexMap;
use uuid::Builder;

const START: u64 = 1_700_000_000_000;
const QUEUED: [u64; 3] = [64, 512, 4_096];
const KNOWN: [u64; 3] = [1_000, 10_000, 100_000];
const COUNTERS: [usize; 3] = [64, 512, 4_096];

/// Deterministic hash that spreads consecutive numbers.
const fn spread(n: u64) -> u64 {
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32
}

fn request(n: u64) -> Request {
    let mut random = [0; 10];
    random[..8].copy_from_slice(&n.to_le_bytes());
    let id = Builder::from_unix_timestamp_millis(START + n, &random).into_uuid();
    let class = if n.is_multiple_of(4) {
        "batch"
    } else {
        "interactive"
    };
    Request {
        id: RequestId(id),
        service: "intake".into(),
        key: format!("bottle-{n}").as_str().into(),
        tenant: "mill".to_owned(),
        class: class.into(),
        repeat: Repeat::NonIdempotent,
        deadline: Wall(START + spread(n) % 10_000),
        method: "POST".to_owned(),
        path: "/bookings".to_owned(),
        content_type: None,
        body: Bytes::from_static(&[7; 512]),
    }
}

fn waiting(n: u64) -> QueuedRequest {
    QueuedRequest {
        origin: n,
        request: request(n),
        at: ShardRef {
            service: "intake".into(),
            shard: ShardId(1),
        },
        not_before: Wall(0),
    }
}

fn queue(len: u64) -> Queue {
    let mut classes = IndexMap::new();
    let interactive = Class {
        priority: 1,
        kept_share: 0,
    };
    let batch = Class {
        priority: 5,
        kept_share: 10,
    };
    classes.insert(ClassName::new("interactive"), interactive);
    classes.insert(ClassName::new("batch"), batch);
    let mut queue = Queue::new(&classes);
    for n in 0..len {
        queue.push(waiting(n));
    }
    queue
}

fn enqueue_and_pick(c: &mut Criterion) {
    let mut group = c.benchmark_group("enqueue_and_pick");
    for len in QUEUED {
        let mut queue = queue(len);
        let mut next = waiting(len);
        group.bench_function(BenchmarkId::from_parameter(len), |b| {
            let mut n = 0;
            b.iter(|| {
                n += 1;
                queue.push(next.clone());
                next = queue.pop_fit(Mono(n), |_| true).expect("something waits");
            });
        });
    }
    group.finish();
}

fn work_ahead(c: &mut Criterion) {
    let mut group = c.benchmark_group("work_ahead");
    let class = ClassName::new("interactive");
    for len in QUEUED {
        let queue = queue(len);
        let times = ServiceTimes::new(20);
        group.bench_function(BenchmarkId::from_parameter(len), |b| {
            b.iter(|| queue.ahead_of(black_box(&class), Wall(START + 5_000), &times));
        });
    }
    group.finish();
}

fn duplicate_check(c: &mut Criterion) {
    let mut group = c.benchmark_group("duplicate_check");
    let done = Outcome::Answered(Answer {
        status: 200,
        content_type: None,
        body: Bytes::from_static(b"booked"),
    });
    for len in KNOWN {
        let cfg = DispatchSettings::builder().max_ids(1 << 20).build();
        let mut table = Duplicates::new(&cfg, Wall(0));
        for n in 0..len {
            let req = request(n);
            table.register(req.id, Fingerprint::of(&req));
            table.settle(req.id, &done);
        }
        let new = request(len);
        let now = Wall(START + len);
        group.bench_function(BenchmarkId::from_parameter(len), |b| {
            b.iter(|| {
                let fingerprint = Fingerprint::of(black_box(&new));
                table.check(new.id, fingerprint, Wall(0), now)
            });
        });
    }
    group.finish();
}

fn sketch_update(c: &mut Criterion) {
    let mut group = c.benchmark_group("sketch_update");
    for counters in COUNTERS {
        let mut sketch = HotKeys::new(counters);
        let mut n = 0;
        group.bench_function(BenchmarkId::from_parameter(counters), |b| {
            b.iter(|| {
                n += 1;
                // Every key is new, so that each evicts another.
                sketch.add(black_box(&n));
            });
        });
    }
    group.finish();
}

criterion_group!(
    benches,
    enqueue_and_pick,
    work_ahead,
    duplicate_check,
    sketch_update
);
criterion_main!(benches);
