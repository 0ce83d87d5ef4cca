//! Prints what an instance's machine takes in memory, and the size of its rows.
//!
//! `cargo run --release -p citronway-core --example node_memory KIND SIZE`
//!
//! KIND says which size grows: `endpoints`, `shards`, `dispatched`, `instances`
//! or `requests`, the ids that a dispatcher remembers; all others stay at today's.
//! One process measures one size, so
//! that memory given back by an earlier one does not hide a later one. Linux
//! only: the figure is the growth of `VmRSS`.

#[path = "../benches/node_scene/mod.rs"]
#[expect(dead_code, reason = "the bench uses the rest")]
mod node_scene;

use std::error::Error;
use std::fs;

use citronway_core::hold::{Hold, HoldSettings};
use citronway_core::ids::Session;
use node_scene::{Scene, Shape};

/// Endpoints of the runs in which only the dispatched ones vary.
const MANY_ENDPOINTS: u32 = 3_000;
/// Requests after which time moves on.
const REQUESTS_PER_TICK: u32 = 20;

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = std::env::args().skip(1);
    let kind = args.next().ok_or("KIND is missing")?;
    let size: u32 = args.next().ok_or("SIZE is missing")?.parse()?;
    let shape = shape(&kind, size)?;
    let before = resident_bytes()?;
    let mut scene = Scene::new(shape);
    if kind == "requests" {
        serve(&mut scene, size);
    }
    let grown = resident_bytes()?.saturating_sub(before);
    println!("{kind} {size}: {} KiB resident", grown / 1_024);
    for table in ["config", "assignment", "dispatch"] {
        let rows = shape.table(table);
        let bytes: usize = rows.iter().map(|row| row.value.len()).sum();
        println!("  {table}: {} rows, {bytes} bytes of JSON", rows.len());
    }
    let settings = HoldSettings::default();
    let hold = Hold::new(Session::new("entry-0", 1), "intake-0".into(), settings);
    println!("  struct of a hold: {} bytes", size_of_val(&hold));
    println!(
        "  dispatched here: {}, requests answered: {}",
        scene.dispatched(),
        scene.answered()
    );
    Ok(())
}

/// Dispatches this many requests to one endpoint.
fn serve(scene: &mut Scene, count: u32) {
    let keys = scene.keys(true, 1);
    for number in 0..count {
        let event = scene.forwarded(&keys[0]);
        let actions = scene.node.handle(event, scene.now());
        scene.answer(actions);
        if number % REQUESTS_PER_TICK == 0 {
            scene.pass();
        }
    }
}

fn shape(kind: &str, size: u32) -> Result<Shape, Box<dyn Error>> {
    let today = Shape::today();
    let shape = match kind {
        "requests" => today,
        "endpoints" => Shape {
            endpoints: size,
            ..today
        },
        "shards" => Shape {
            shards: size,
            ..today
        },
        "instances" => Shape {
            instances: size,
            ..today
        },
        "dispatched" => Shape {
            endpoints: MANY_ENDPOINTS,
            mine: size,
            succeeds: size * 2,
            ..today
        },
        _ => return Err("KIND is endpoints, shards, dispatched, instances or requests".into()),
    };
    Ok(shape)
}

/// Memory of this process that is in use, in bytes.
fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let status = fs::read_to_string("/proc/self/status")?;
    for line in status.lines() {
        let Some(rest) = line.strip_prefix("VmRSS:") else {
            continue;
        };
        let number = rest.trim().trim_end_matches(" kB").parse::<u64>()?;
        return Ok(number * 1_024);
    }
    Err("no VmRSS in /proc/self/status".into())
}
