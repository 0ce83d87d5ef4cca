//! How the cost of an instance's decisions grows with the system around it.
//!
//! Each figure is the time of [`Node::handle`] for one event; what others
//! answer in between is not counted. `docs/CAPACITY.md` has the slopes.
//!
//! [`Node::handle`]: citronway_core::node::Node::handle

mod node_scene;

use std::hint::black_box;
use std::time::{Duration, Instant};

use citronway_core::node::Event;
use criterion::measurement::WallTime;
use criterion::{BenchmarkGroup, BenchmarkId, Criterion, criterion_group, criterion_main};
use node_scene::{Scene, Shape};

/// Keys that the requests of a run take in turn.
const KEYS: usize = 64;
/// Requests after which time moves on, so that a dispatcher may forget them.
const REQUESTS_PER_TICK: u64 = 50;

/// The sizes along which costs are measured, one at a time.
fn shapes() -> Vec<(String, Shape)> {
    let today = Shape::today();
    let mut all = Vec::new();
    for instances in [12, 100, 1_000] {
        all.push((
            format!("instances/{instances}"),
            Shape { instances, ..today },
        ));
    }
    for endpoints in [30, 300, 3_000] {
        all.push((
            format!("endpoints/{endpoints}"),
            Shape { endpoints, ..today },
        ));
    }
    for shards in [4_096, 65_536] {
        all.push((format!("shards/{shards}"), Shape { shards, ..today }));
    }
    for mine in [0, 30, 300] {
        let succeeds = mine * 2;
        let endpoints = 3_000;
        let shape = Shape {
            endpoints,
            mine,
            succeeds,
            ..today
        };
        all.push((format!("dispatched/{mine}"), shape));
    }
    let large = Shape {
        instances: 1_000,
        endpoints: 3_000,
        ..today
    };
    all.push(("both/1000x3000".to_owned(), large));
    all
}

/// Time of one event, made by `event`, over `count` rounds.
fn time_events(
    scene: &mut Scene,
    count: u64,
    event: impl Fn(&mut Scene, u64) -> Event,
) -> Duration {
    let mut total = Duration::ZERO;
    for round in 0..count {
        let event = event(scene, round);
        let now = scene.now();
        let begun = Instant::now();
        let actions = black_box(scene.node.handle(event, now));
        total += begun.elapsed();
        scene.answer(actions);
        if round % REQUESTS_PER_TICK == 0 {
            scene.pass();
        }
    }
    total
}

fn short<'a>(c: &'a mut Criterion, name: &str) -> BenchmarkGroup<'a, WallTime> {
    let mut group = c.benchmark_group(name);
    group.sample_size(10);
    group.warm_up_time(Duration::from_millis(200));
    group.measurement_time(Duration::from_millis(800));
    group
}

fn ticks(c: &mut Criterion) {
    let mut group = short(c, "tick");
    for (name, shape) in shapes() {
        let mut scene = Scene::new(shape);
        assert_eq!(scene.dispatched(), shape.mine as usize, "{name}");
        group.bench_function(BenchmarkId::from_parameter(name), |b| {
            b.iter_custom(|count| {
                let mut total = Duration::ZERO;
                for _ in 0..count {
                    let begun = Instant::now();
                    let actions = black_box(scene.tick());
                    total += begun.elapsed();
                    scene.answer(actions);
                    scene.after_tick();
                }
                total
            });
        });
    }
    group.finish();
}

fn heartbeats(c: &mut Criterion) {
    let mut group = short(c, "heartbeat");
    let mut all = shapes();
    for endpoints in [30, 300, 3_000] {
        let shape = Shape {
            endpoints,
            plans: true,
            ..Shape::today()
        };
        all.push((format!("elected/{endpoints}"), shape));
    }
    for (name, shape) in all {
        let mut scene = Scene::new(shape);
        group.bench_function(BenchmarkId::from_parameter(name), |b| {
            b.iter_custom(|count| time_events(&mut scene, count, |_, _| Scene::heartbeat(1)));
        });
    }
    group.finish();
}

fn requests(c: &mut Criterion) {
    for (name, mine) in [("entry", false), ("dispatcher", true)] {
        let mut group = short(c, name);
        for (name, shape) in shapes() {
            if mine && shape.mine == 0 {
                continue;
            }
            let mut scene = Scene::new(shape);
            let keys = scene.keys(mine, KEYS);
            time_requests(&mut scene, &keys, mine, 1);
            assert_eq!(scene.answered(), 1, "the request reached no endpoint");
            group.bench_function(BenchmarkId::from_parameter(name), |b| {
                b.iter_custom(|count| time_requests(&mut scene, &keys, mine, count));
            });
        }
        group.finish();
    }
}

/// All events of one request at this instance: from the caller to the forward
/// and back, or from the forward to the endpoint and back.
fn time_requests(
    scene: &mut Scene,
    keys: &[citronway_core::ids::Key],
    mine: bool,
    count: u64,
) -> Duration {
    let mut total = Duration::ZERO;
    for round in 0..count {
        let key = &keys[usize::try_from(round).unwrap_or(0) % keys.len()];
        let event = if mine {
            scene.forwarded(key)
        } else {
            scene.caller(key)
        };
        let now = scene.now();
        let begun = Instant::now();
        let actions = scene.node.handle(event, now);
        scene.answer(black_box(actions));
        total += begun.elapsed();
        if round % REQUESTS_PER_TICK == 0 {
            scene.pass();
        }
    }
    total
}

fn rows(c: &mut Criterion) {
    let mut group = short(c, "new_assignment");
    for (name, shape) in shapes() {
        let mut scene = Scene::new(shape);
        group.bench_function(BenchmarkId::from_parameter(name), |b| {
            b.iter_custom(|count| {
                time_events(&mut scene, count, |scene, _| Event::RowsRead {
                    table: "assignment".to_owned(),
                    rows: vec![scene.next_assignment()],
                    asked: scene.now(),
                })
            });
        });
    }
    group.finish();
    for table in ["config", "assignment", "dispatch"] {
        let mut group = short(c, &format!("same_{table}"));
        for (name, shape) in shapes() {
            let mut scene = Scene::new(shape);
            let read = scene.read(table);
            group.bench_function(BenchmarkId::from_parameter(name), |b| {
                b.iter_custom(|count| time_events(&mut scene, count, |_, _| read.clone()));
            });
        }
        group.finish();
    }
}

criterion_group!(benches, ticks, heartbeats, requests, rows);
criterion_main!(benches);
