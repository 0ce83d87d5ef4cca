//! Rejections whose answers come twice, and requests that must not run twice.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use citronway_standin::shared::SharedStore;
use serde_json::json;

use crate::callers::{Callers, Kind};
use crate::endpoint::{Endpoint, Faults};
use crate::record::Record;
use crate::{Places, Verdict, fleet};

const INSTANCES: u8 = 6;
const ENDPOINTS: u64 = 10;

/// An endpoint runs two requests at once, queues two more and rejects what is beyond.
const SLOTS: usize = 2;
const QUEUE: usize = 2;

/// Largest dose of the site file: `garble` `extra late` sends 0.03 of the answers of 0.6 of the
/// endpoints twice for 5 s.
const EXTRA: f64 = 0.03;
const EXTRA_SHARE: f64 = 0.6;
const EXTRA_S: f64 = 5.0;

/// How often it comes, and the calm between.
const ROUNDS: u32 = 17;
const CALM_S: f64 = 0.5;

pub fn play(places: &Places) -> Verdict {
    let record = Arc::new(Record::create(&places.record));
    let Ok(store) = SharedStore::start() else {
        return Verdict::NotRun("no store".to_owned());
    };
    let endpoints: Vec<_> = (0..ENDPOINTS)
        .map(|n| {
            let name = format!("i-{n:02}");
            Endpoint::start(
                &name,
                "booking",
                true,
                (SLOTS, QUEUE),
                (60, 180),
                n + 1,
                &record,
            )
        })
        .collect();
    for endpoint in &endpoints {
        store.put("servers", &endpoint.name, &endpoint.entry("ready"));
    }
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
    // 140 requests a second to endpoints that can run 166.
    let callers = Callers::start(70, Duration::from_millis(500), kind, &addresses, &record);
    std::thread::sleep(Duration::from_secs(3));
    let set = |extra: f64| {
        let garbled = (endpoints.len() as f64 * EXTRA_SHARE) as usize;
        for (n, endpoint) in endpoints.iter().enumerate() {
            let is_garbled = places.trouble && n < garbled;
            endpoint.set_faults(Faults {
                extra: if is_garbled { extra } else { 0.0 },
            });
        }
    };
    for round in 0..ROUNDS {
        record.line(&format!("round {round}: some answers come twice"));
        set(EXTRA);
        std::thread::sleep(Duration::from_secs_f64(EXTRA_S));
        set(0.0);
        std::thread::sleep(Duration::from_secs_f64(CALM_S));
    }
    let answers = callers.stop();
    drop(instances);
    let extras: u64 = endpoints
        .iter()
        .map(|e| e.extras.load(Ordering::Relaxed))
        .sum();
    let verdict = judge(&record, places, &answers.lock().expect("no panic"), extras);
    record.flush();
    verdict
}

/// TWICE: a request ran more than once. REFUSED: it was answered 429 or 503 and ran.
fn judge(record: &Record, places: &Places, answers: &HashMap<String, u16>, extras: u64) -> Verdict {
    record.flush();
    let text = std::fs::read_to_string(&places.record).unwrap_or_default();
    let mut runs = HashMap::<&str, Vec<&str>>::new();
    for line in text.lines() {
        let words: Vec<_> = line.split_whitespace().collect();
        if let [_, "endpoint", endpoint, "runs", id, ..] = words.as_slice() {
            runs.entry(id).or_default().push(endpoint);
        }
    }
    let mut served = 0;
    let mut broken = Vec::new();
    for (id, status) in answers {
        let ran = runs.get(id.as_str()).map_or(0, Vec::len);
        served += u32::from(*status == 200);
        if ran > 1 {
            broken.push(format!("TWICE: {id} ran {ran} times, answered {status}"));
        } else if ran > 0 && matches!(status, 429 | 503) {
            broken.push(format!("REFUSED: {id} ran, answered {status}"));
        }
    }
    broken.sort();
    let sums = format!(
        "{} requests, {served} served, {extras} answers came twice, {} requests break the rule",
        answers.len(),
        broken.len()
    );
    println!("{sums}");
    record.line(&sums);
    for line in &broken {
        record.line(line);
    }
    if answers.len() < 1_000 || served * 2 < answers.len() as u32 && !places.trouble {
        return Verdict::NotRun(sums);
    }
    match broken.first() {
        Some(first) => Verdict::Broken(format!("{first}; {sums}")),
        None => Verdict::Held,
    }
}

fn configuration() -> serde_json::Value {
    json!({
        "version": 3,
        "routes": [{"name": "book", "host": "h.example", "pathPrefix": "/book/",
            "kind": "non_idempotent", "timeoutS": 2.0, "sloS": 0.8, "priority": 0,
            "service": "booking", "attempts": 2}],
        "services": [{"name": "booking", "healthPath": "/healthz", "maxConns": 130,
            "sharded": true, "warmS": 0.0}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "headerTimeoutS": 3,
            "idleTimeoutS": 15},
    })
}
