//! Answers to orders that come twice, while endpoints are replaced one after the other.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use citronway_standin::shared::SharedStore;
use serde_json::json;

use crate::callers::{Callers, Kind};
use crate::endpoint::{Endpoint, Faults};
use crate::record::Record;
use crate::{Places, Verdict, fleet};

const INSTANCES: u8 = 3;
const ENDPOINTS: u64 = 12;

/// The largest dose of the site file is: `garble` `extra late` sends 0.03 of the answers of 0.6 of
/// the endpoints twice for 5 s. Here it is every second endpoint.
const EXTRA: f64 = 0.03;
const EXTRA_S: f64 = 5.0;
const CALM_S: f64 = 0.25;

/// Planned work: an endpoint is replaced each second, the new one starts first. The old one serves
/// for `drainS`, 2 s, and a little longer.
const GAP_S: f64 = 1.0;
const DRAIN_S: f64 = 2.3;

const PLAY_S: f64 = 100.0;

/// Work and hold must overlap by this much to count, in milliseconds.
const MARGIN_MS: f64 = 5.0;

pub fn play(places: &Places) -> Verdict {
    let record = Arc::new(Record::create(&places.record));
    let Ok(store) = SharedStore::start() else {
        return Verdict::NotRun("no store".to_owned());
    };
    let start = |n: u64| {
        let name = format!("i-{n:03}");
        let endpoint = Endpoint::start(
            &name,
            "timetable",
            true,
            (6, 24),
            (150, 350),
            n + 1,
            &record,
        );
        store.put("servers", &endpoint.name, &endpoint.entry("ready"));
        endpoint
    };
    let mut endpoints: Vec<_> = (0..ENDPOINTS).map(start).collect();
    store.put("op", "config", &configuration());
    let instances = fleet::start(
        &places.root,
        &places.folder,
        store.address(),
        INSTANCES,
        true,
    );
    if !fleet::wait_ready(&instances) {
        return Verdict::NotRun("the instances are not ready".to_owned());
    }
    let addresses: Vec<_> = instances.iter().map(|instance| instance.callers).collect();
    let kind = Kind {
        method: "POST",
        path: "/book/",
        wait_ms: 4_000,
        body_bytes: 400,
    };
    let callers = Callers::start(70, Duration::from_millis(500), kind, &addresses, &record);
    std::thread::sleep(Duration::from_secs(4));
    let began = Instant::now();
    let mut next = ENDPOINTS;
    let mut leaving: Vec<(Arc<Endpoint>, Instant)> = Vec::new();
    let mut replace_at = began;
    let mut oldest = 0;
    while began.elapsed().as_secs_f64() < PLAY_S {
        let now = Instant::now();
        let in_round = began.elapsed().as_secs_f64() % (EXTRA_S + CALM_S);
        let extra = if places.trouble && in_round < EXTRA_S {
            EXTRA
        } else {
            0.0
        };
        for (n, endpoint) in endpoints.iter().enumerate() {
            let garbled = n % 2 == 0;
            endpoint.set_faults(Faults {
                extra: if garbled { extra } else { 0.0 },
            });
        }
        if now >= replace_at {
            replace_at += Duration::from_secs_f64(GAP_S);
            endpoints.push(start(next));
            next += 1;
            let old = &endpoints[oldest];
            oldest += 1;
            record.line(&format!("endpoint {} drains", old.name));
            store.put("servers", &old.name, &old.entry("draining"));
            leaving.push((Arc::clone(old), now + Duration::from_secs_f64(DRAIN_S)));
        }
        leaving.retain(|(old, until)| {
            let stays = now < *until;
            if !stays {
                old.end();
                store.remove("servers", &old.name);
            }
            stays
        });
        std::thread::sleep(Duration::from_millis(20));
    }
    let answers = callers.stop();
    drop(instances);
    let extras: u64 = endpoints
        .iter()
        .map(|e| e.extras.load(Ordering::Relaxed))
        .sum();
    record.flush();
    let text = std::fs::read_to_string(&places.record).unwrap_or_default();
    let (broken, releases) = judge(&text);
    let answers = answers.lock().expect("no panic");
    let served = answers.values().filter(|status| **status == 200).count();
    let sums = format!(
        "{} requests, {served} served, {releases} releases, {extras} answers came twice, {} grants break the rule",
        answers.len(),
        broken.len()
    );
    record.line(&sums);
    for line in &broken {
        record.line(line);
    }
    record.flush();
    println!("{sums}");
    if served < 1_000 || releases < 10 {
        return Verdict::NotRun(sums);
    }
    match broken.first() {
        Some(first) => Verdict::Broken(format!("{first}; {sums}")),
        None => Verdict::Held,
    }
}

/// A run of a request at an endpoint.
struct Run<'a> {
    endpoint: &'a str,
    id: &'a str,
    key: u32,
    from: f64,
    until: f64,
    /// When the hold of the key at the endpoint would have run out, by the grants until its end.
    held_until: f64,
}

/// OWNER: an endpoint is given a key on which another, which is up, is still at work, before that
/// one's hold would have run out. Returns what breaks it, and the number of releases.
fn judge(text: &str) -> (Vec<String>, usize) {
    let mut grants: Vec<(f64, &str, u32, u32, &str, f64)> = Vec::new();
    let mut runs: Vec<Run<'_>> = Vec::new();
    let mut open = HashMap::<(&str, &str), usize>::new();
    let mut ended = HashMap::<&str, f64>::new();
    let mut releases = 0;
    for line in text.lines() {
        let words: Vec<_> = line.split_whitespace().collect();
        let Some(at) = words.first().and_then(|at| at.parse::<f64>().ok()) else {
            continue;
        };
        match words.as_slice() {
            [
                _,
                "endpoint",
                e,
                "is",
                "granted",
                from,
                "to",
                target,
                "fence",
                fence,
                "for",
                hold,
            ] => {
                let (from, target) = (from.parse().unwrap_or(0), target.parse().unwrap_or(0));
                grants.push((at, e, from, target, fence, hold.parse().unwrap_or(0.0)));
            }
            [_, "endpoint", e, "runs", id, "key", key] => {
                open.insert((e, id), runs.len());
                runs.push(Run {
                    endpoint: e,
                    id,
                    key: key.parse().unwrap_or(u32::MAX),
                    from: at,
                    until: f64::MAX,
                    held_until: 0.0,
                });
            }
            [_, "endpoint", e, "has", "run", id, ..] => {
                if let Some(place) = open.remove(&(*e, *id)) {
                    runs[place].until = at;
                }
            }
            [_, "endpoint", e, "ends"] => {
                ended.insert(e, at);
            }
            [_, "endpoint", _, "has", "released", ..] => releases += 1,
            _ => {}
        }
    }
    for run in &mut runs {
        run.until = run
            .until
            .min(ended.get(run.endpoint).copied().unwrap_or(f64::MAX));
        for (at, e, from, target, _, hold) in &grants {
            let is_of = *e == run.endpoint && (*from..=*target).contains(&run.key);
            if is_of && *at <= run.until {
                run.held_until = run.held_until.max(at + hold);
            }
        }
    }
    let mut broken = Vec::new();
    for (at, e, from, target, fence, _) in &grants {
        let at_work = runs.iter().find(|run| {
            run.endpoint != *e
                && (*from..=*target).contains(&run.key)
                && run.from + MARGIN_MS < *at
                && *at < run.until.min(run.held_until) - MARGIN_MS
        });
        let Some(run) = at_work else { continue };
        broken.push(format!(
            "OWNER: at {at} {e} is granted {from} to {target} with fence {fence}, while {} is at work on key {} for {} from {} to {}, with a hold until {}",
            run.endpoint, run.key, run.id, run.from, run.until, run.held_until
        ));
    }
    (broken, releases)
}

fn configuration() -> serde_json::Value {
    json!({
        "version": 3,
        "routes": [{"name": "book", "host": "h.example", "pathPrefix": "/book/",
            "kind": "non_idempotent", "timeoutS": 2.0, "sloS": 0.8, "priority": 0,
            "service": "timetable", "attempts": 2}],
        "services": [{"name": "timetable", "healthPath": "/healthz", "maxConns": 130,
            "sharded": true, "warmS": 0.0}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "headerTimeoutS": 3,
            "idleTimeoutS": 15},
    })
}
