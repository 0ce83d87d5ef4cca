//! Cost of grouping instances, aggregating reports and encoding assignments in large fleets, by
//! size.

use std::hint::black_box;
use std::net::SocketAddr;

use citronway_core::gateway::assignment::{Assignment, Holder, Range};
use citronway_core::gateway::election::Strength;
use citronway_core::gateway::pace::{Answers, EndpointTag};
use citronway_core::gateway::report::{EndpointTotal, EndpointUse, Observations};
use citronway_core::gateway::tree::{Candidate, GatheredReports, Tree};
use citronway_core::ids::{EndpointStart, InstanceName, ZoneName};
use citronway_core::time::Mono;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const SIZES: [usize; 4] = [30, 300, 3_000, 6_412];

fn plan(c: &mut Criterion) {
    let mut group = c.benchmark_group("plan of groups, by instances");
    for size in SIZES {
        let names: Vec<_> = (0..size)
            .map(|i| InstanceName::new(&format!("front-{i}")))
            .collect();
        let zones: Vec<_> = (0..9)
            .map(|i| ZoneName::new(&format!("zone-{i}")))
            .collect();
        let now = Mono(10_000);
        let candidate = |(i, instance)| Candidate {
            instance,
            address: SocketAddr::from(([10, 0, 0, 1], 7_660)),
            zone: &zones[i % zones.len()],
            heard: Some(now),
            heard_directly: Some(now),
            strength: Strength(200),
            is_staying: true,
        };
        let all: Vec<_> = names.iter().enumerate().map(candidate).collect();
        let mut tree = Tree::default();
        tree.plan(now, &all);
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| black_box(tree.plan(now, &all)));
        });
    }
    group.finish();
}

fn gather(c: &mut Criterion) {
    let mut group = c.benchmark_group("sum of a group's reports, by members");
    for members in [5_usize, 17, 55, 80] {
        let used = |tag: usize| EndpointUse {
            tag: EndpointTag(u32::try_from(tag).unwrap_or(u32::MAX)),
            in_flight: 1,
            waiting: 0,
            answers: Answers {
                served: 1.0,
                relative: 1.0,
                failed: 0.0,
            },
            kb: 0,
        };
        let reports: Vec<Vec<_>> = (0..members)
            .map(|member| (0..10).map(|i| used(member * 7 + i * 13)).collect())
            .collect();
        let mut gathered = GatheredReports::default();
        group.bench_function(BenchmarkId::from_parameter(members), |b| {
            b.iter(|| {
                for report in &reports {
                    gathered.add(report, &[]);
                }
                let in_flight = reports.iter().flatten().map(|used| EndpointTotal {
                    tag: used.tag,
                    in_flight: 1,
                    ..EndpointTotal::default()
                });
                black_box(gathered.take_with(&Observations::default(), in_flight))
            });
        });
    }
    group.finish();
}

fn row(c: &mut Criterion) {
    let mut group = c.benchmark_group("assignment written and read, by ranges");
    for ranges in [30_usize, 300, 1_200] {
        let range = |i: usize| Range {
            first: u16::try_from(i * 65_536 / ranges).unwrap_or(u16::MAX),
            last: u16::try_from((i + 1) * 65_536 / ranges - 1).unwrap_or(u16::MAX),
            holder: Holder {
                endpoint: EndpointStart::new(&format!("i-{:010x}", i / 2), Some(1)),
                address: SocketAddr::from(([10, 0, 0, 1], 8_000)),
                fence: i as u64,
            },
            next: None,
        };
        let assignment = Assignment {
            term: 1,
            next_fence: 1_000_000,
            ranges: (0..ranges).map(range).collect(),
        };
        group.bench_function(BenchmarkId::from_parameter(ranges), |b| {
            b.iter(|| {
                let bytes = assignment.to_bytes().unwrap_or_default();
                black_box(Assignment::from_bytes(&bytes).map(|row| row.ranges.len()))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, plan, gather, row);
criterion_main!(benches);
