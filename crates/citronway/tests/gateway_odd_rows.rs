//! Rows of the store that another writer has left in a shape that nobody expects.

mod gateway_support;

use std::time::{Duration, Instant};

use citronway_standin::shared::FencedEndpoint;
use gateway_support::{Deployment, Instance, until};
use googletest::prelude::*;
use serde_json::json;

/// Time in which a change of the rows is in force.
const FOLLOWED_WITHIN: Duration = Duration::from_secs(5);

/// Nested so deeply that a parser without a bound runs out of stack.
const DEPTH: usize = 20_000;

/// Odd values in place of any row.
fn odd_values() -> Vec<Vec<u8>> {
    let texts = [
        "[".repeat(DEPTH),
        "[".repeat(DEPTH) + &"]".repeat(DEPTH),
        "{\"a\":".repeat(DEPTH) + "1" + &"}".repeat(DEPTH),
        "1".repeat(40_000),
        String::new(),
        "null".to_owned(),
        "[]".to_owned(),
        "{}".to_owned(),
        "\"text\"".to_owned(),
        "-1".to_owned(),
        "1e999".to_owned(),
    ];
    let texts = texts.into_iter().map(String::into_bytes);
    texts.chain([vec![0xff, 0xfe, 0x00]]).collect()
}

/// Copies of a JSON text in which each number has been replaced by an odd one, one at a time.
fn odd_numbers(text: &str) -> Vec<Vec<u8>> {
    let mut places = Vec::new();
    let mut at = 0;
    while let Some(start) = text[at..].find(|c: char| c.is_ascii_digit()) {
        let start = at + start;
        let rest = &text[start..];
        let length = rest
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(rest.len());
        at = start + length;
        // Digits within texts are part of names and addresses.
        if text[..start].ends_with([':', ',', '[']) {
            places.push(start..at);
        }
    }
    let numbers = [
        "18446744073709551615",
        "99999999999999999999999999",
        "-1",
        "1e308",
        "70000",
    ];
    let replaced = places.iter().flat_map(|place| {
        numbers.map(|number| {
            let mut odd = text.to_owned();
            odd.replace_range(place.clone(), number);
            odd.into_bytes()
        })
    });
    replaced.collect()
}

/// Checks that an instance runs on and follows a new configuration.
fn expect_follows(deployment: &Deployment, instance: &mut Instance, version: u64, what: &str) {
    let path = format!("/new-{version}/");
    let added = gateway_support::route("new", &path, "idempotent", "console");
    let began = Instant::now();
    deployment.configure(version, &json!([added]));
    until(what, || {
        assert_eq!(instance.ended(), None, "{what}");
        let start = format!("GET {path}1");
        let reply = instance.try_call(&start, &format!("X-Request-Id: n-{version}\r\n"), "");
        reply.is_some_and(|reply| reply.status == 200)
    });
    expect_that!(began.elapsed(), le(FOLLOWED_WITHIN), "{what}");
}

/// The first characters of a value.
fn shown(value: &[u8]) -> String {
    let value = &value[..value.len().min(600)];
    String::from_utf8_lossy(value).into_owned()
}

/// Guards against an odd entry of an endpoint that ends the process, or the reading of the others.
#[gtest]
fn an_odd_entry_of_an_endpoint_does_not_stop_an_instance() {
    let deployment = Deployment::new();
    let mut instance = deployment.ready_instance("one");
    let odd = FencedEndpoint::start("i-odd", "console", false).expect("an endpoint");
    let entry = odd.entry("ready").to_string();
    let odd_address = |address: &str| {
        let mut entry = odd.entry("ready");
        entry["addr"] = json!(address);
        entry.to_string().into_bytes()
    };
    let nested = format!(
        "{{\"service\":\"console\",\"more\":{}1{}}}",
        "[".repeat(DEPTH),
        "]".repeat(DEPTH)
    );
    let addresses = [
        "127.0.0.1:70000",
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "name:80",
        "",
        "127.0.0.1",
    ];
    let mut values = odd_values();
    values.push(nested.into_bytes());
    values.extend(odd_numbers(&entry));
    values.extend(addresses.map(odd_address));
    for (version, value) in (3..).zip(&values) {
        deployment.store.put_bytes("servers", odd.name(), value);
        expect_follows(&deployment, &mut instance, version, &shown(value));
    }
}

/// Guards against an odd configuration that ends the process, or the reading of the next one.
#[gtest]
fn an_odd_configuration_does_not_stop_an_instance() {
    let deployment = Deployment::new();
    let mut instance = deployment.ready_instance("one");
    let configuration = citronway_standin::shared::configuration(2, &json!([]));
    let mut values = odd_values();
    // A version that is too large is newer than all that follow.
    let odd = odd_numbers(&configuration.to_string());
    let odd = odd
        .into_iter()
        .filter(|odd| shown(odd).contains("\"version\":2}"));
    values.extend(odd);
    for (version, value) in (3..).zip(&values) {
        deployment.store.put_bytes("op", "config", value);
        expect_follows(&deployment, &mut instance, version, &shown(value));
    }
}

/// Guards against an odd row of the product itself that ends the process.
#[gtest]
fn an_odd_row_of_the_product_does_not_stop_an_instance() {
    let deployment = Deployment::new();
    let mut instance = deployment.ready_instance("one");
    until("the key has an owner", || {
        deployment.a.holds(7) || deployment.b.holds(7)
    });
    let mut version = 3;
    for key in [
        "instance/odd",
        "crashes",
        "keys/console",
        "keys/batch",
        "keeper",
    ] {
        let mut values = odd_values();
        let own = match key {
            "instance/odd" => "instance/one",
            "keys/console" => "keys/batch",
            key => key,
        };
        if let Some(row) = deployment.store.own(own) {
            values.extend(odd_numbers(&row.to_string()));
        }
        for value in &values {
            deployment.store.put_bytes("citronway", key, value);
            let what = format!("{key}: {}", shown(value));
            expect_follows(&deployment, &mut instance, version, &what);
            version += 1;
        }
    }
}
