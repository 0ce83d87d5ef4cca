//! Cost of a request while there are suspects, and cost of the crash ledger.
//!
//! While there are no suspects, a request costs one lookup in an empty table, which the first
//! benchmark shows.

use std::hint::black_box;

use citronway_core::gateway::crashes::{
    CrashSnapshot, Fingerprint, FingerprintKey, Ledger, Sign, TrialId, TrialRequest, Trials, Work,
};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::ids::SessionId;
use citronway_core::time::Mono;
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};

/// Body sizes in bytes: none, a usual one, and the longest at the sites.
const BODIES: [usize; 3] = [0, 4_000, 30_000];

/// Number of works in a full ledger.
const FULL: u32 = 4_096;

fn request(c: &mut Criterion) {
    let key = FingerprintKey::new([7; 16]);
    let nothing = CrashSnapshot::default();
    c.bench_function("request, nothing under suspicion", |b| {
        b.iter(|| black_box(&nothing).refused.is_empty());
    });
    let known = full().snapshot(Some(key), 0);
    for bytes in BODIES {
        let body = vec![9; bytes];
        let work = Work {
            caller: b"",
            host: "gateway.example",
            method: "POST",
            path: "/plans/1f62/9f4c?page=35",
            key: Some(28_465),
            body: &body,
        };
        c.bench_function(
            &format!("request with a body of {bytes} bytes, full table"),
            |b| {
                b.iter(|| {
                    let work = black_box(&work).fingerprint(&key);
                    known.is_suspect(work) || known.is_refused(Mono(1), work)
                });
            },
        );
    }
}

fn crash(n: u32) -> Sign {
    Sign::Crash {
        work: Fingerprint(u64::from(n)),
        endpoint: EndpointTag(n / 8),
    }
}

fn full() -> Ledger {
    let mut ledger = Ledger::default();
    for n in 0..FULL {
        ledger.apply(Mono(u64::from(n)), crash(n));
    }
    ledger
}

fn table(c: &mut Criterion) {
    let now = Mono(u64::from(FULL));
    c.bench_function("a crash of new work, full table", |b| {
        let take = |mut ledger: Ledger| ledger.apply(now, crash(FULL + 8));
        b.iter_batched(full, take, BatchSize::LargeInput);
    });
    let ledger = full();
    c.bench_function("what the traffic goes by, full table", |b| {
        b.iter(|| black_box(&ledger).snapshot(None, 0));
    });
}

fn trial_request(number: u64) -> TrialRequest {
    TrialRequest {
        id: TrialId {
            session: SessionId(1),
            number,
        },
        work: Fingerprint(number),
        expected_ms: 350,
        limit_ms: 4_000,
    }
}

fn trials(c: &mut Criterion) {
    let known = full().snapshot(None, 0);
    c.bench_function("a look at a suspect, full table", |b| {
        b.iter(|| known.is_suspect(black_box(Fingerprint(7))));
    });
    let mut open = Trials::default();
    for number in 0..u64::from(FULL) {
        open.request(Mono(0), &trial_request(number));
    }
    c.bench_function("a request for a trial, full table", |b| {
        b.iter(|| open.request(Mono(1), black_box(&trial_request(7))));
    });
}

criterion_group!(benches, request, table, trials);
criterion_main!(benches);
