//! Failures between an instance and the platform.

mod common;

use std::net::TcpListener;

use citronway::platform::{
    HttpPlatform, Platform, PlatformCommand, PlatformConfig, PlatformConfigBuilder, PlatformHandle,
    start,
};
use citronway_core::ids::{InstanceName, Version, ZoneName};
use citronway_core::node::Event;
use citronway_core::platform::{
    ConditionalPut, InstanceList, ListedInstance, ListedState, Row, RowKey, WriteOutcome,
};
use common::{Peer, dead_address, listener, next};
use googletest::prelude::*;
use tokio::sync::mpsc::{Receiver, Sender, channel};

/// Time between readings of the instance list that no test reaches.
const FAR_MS: u64 = 60_000;
const NEAR_MS: u64 = 400;
const NO_INSTANCES: &str = r#"{"lag_ms":500,"instances":[]}"#;

struct Bench {
    listener: TcpListener,
    commands: Sender<PlatformCommand>,
    events: Receiver<Event>,
    handle: PlatformHandle,
}

impl Bench {
    /// A duty whose first reading of the instance list is done.
    fn new() -> Self {
        let mut bench = Self::polling(FAR_MS);
        bench.serve(200, NO_INSTANCES);
        next(&mut bench.events);
        bench
    }

    fn polling(poll_ms: u64) -> Self {
        let (listener, address) = listener();
        let cfg = PlatformConfig::builder(address).poll_ms(poll_ms);
        Self::with(cfg.timeout_ms(FAR_MS), listener)
    }

    fn with(cfg: PlatformConfigBuilder, listener: TcpListener) -> Self {
        let cfg = cfg.max_answer_bytes(1024).max_in_flight(2);
        let (commands, commands_rx) = channel(16);
        let (events_tx, events) = channel(16);
        let handle = start(&cfg.build(), commands_rx, events_tx).expect("a thread");
        Self {
            listener,
            commands,
            events,
            handle,
        }
    }

    fn command(&self, command: PlatformCommand) {
        self.commands.blocking_send(command).expect("an open ring");
    }

    /// Answers the next request with `body`, and gives its first line.
    fn serve(&self, status: u16, body: &str) -> String {
        let mut peer = Peer::accept(&self.listener);
        let start = peer.read().start().to_owned();
        peer.answer(status, "", body);
        start
    }

    fn read_row(&mut self, body: &str) -> Event {
        self.command(PlatformCommand::ReadRow {
            ticket: 7,
            at: head(),
        });
        self.serve(200, body);
        next(&mut self.events)
    }

    /// The outcome of a write of the row `head` that `serve` answers.
    fn write(&mut self, serve: impl Fn(Peer)) -> WriteOutcome {
        self.command(write(8));
        let mut peer = Peer::accept(&self.listener);
        peer.read();
        serve(peer);
        outcome(next(&mut self.events))
    }
}

fn head() -> RowKey {
    RowKey {
        table: "config".to_owned(),
        key: "head".to_owned(),
    }
}

fn row(version: u64) -> Row {
    Row {
        at: head(),
        version: Version(version),
        value: "{}".to_owned(),
    }
}

fn text(version: u64) -> String {
    serde_json::to_string(&row(version)).unwrap()
}

fn read(version: u64) -> Event {
    Event::RowRead {
        ticket: 7,
        row: Some(row(version)),
    }
}

fn write(ticket: u64) -> PlatformCommand {
    let put = ConditionalPut {
        at: head(),
        expected: Version(4),
        value: "{}".to_owned(),
    };
    PlatformCommand::Write {
        ticket,
        puts: vec![put],
    }
}

fn outcome(event: Event) -> WriteOutcome {
    match event {
        Event::WriteDone { outcome, .. } => outcome,
        other => panic!("not the end of a write: {other:?}"),
    }
}

const FAILED: Event = Event::ReadFailed { ticket: 7 };

#[gtest]
fn reads_writes_and_polls() {
    let mut bench = Bench::polling(FAR_MS);
    let listed = r#"{"lag_ms":500,"instances":[
        {"instance":"e1","zone":"z1","peer_address":"127.0.0.1:1","state":"leaving"}]}"#;
    expect_that!(bench.serve(200, listed), eq("GET /instances"));
    let list = InstanceList {
        lag_ms: 500,
        instances: vec![ListedInstance {
            instance: InstanceName::new("e1"),
            zone: ZoneName::new("z1"),
            peer_address: "127.0.0.1:1".to_owned(),
            state: ListedState::Leaving,
        }],
    };
    expect_that!(
        next(&mut bench.events),
        matches_pattern!(Event::Instances {
            list: eq(&list),
            ..
        })
    );

    let table = "config".to_owned();
    bench.command(PlatformCommand::ReadTable {
        table: table.clone(),
    });
    let rows = format!(r#"{{"rows":[{}]}}"#, text(4));
    expect_that!(bench.serve(200, &rows), eq("GET /tables/config"));
    let rows = vec![row(4)];
    expect_that!(
        next(&mut bench.events),
        matches_pattern!(Event::RowsRead {
            table: eq(&table),
            rows: eq(&rows),
            ..
        })
    );

    let done = bench.write(|mut peer| peer.answer(200, "", r#"{"versions":[5]}"#));
    let versions = vec![Version(5)];
    expect_that!(done, eq(&WriteOutcome::Done { versions }));
    expect_that!(bench.read_row(&text(5)), eq(&read(5)));

    bench.command(PlatformCommand::ReadRow {
        ticket: 7,
        at: head(),
    });
    expect_that!(bench.serve(404, ""), eq("GET /tables/config/head"));
    let absent = Event::RowRead {
        ticket: 7,
        row: None,
    };
    expect_that!(next(&mut bench.events), eq(&absent));
    bench.command(PlatformCommand::Stop);
    bench.handle.join();
}

/// A takeover's write stands, but its answer is lost, cut, late or garbled. A
/// key would get a second owner, because the write was taken for a failed one
/// and its author went on as before.
#[gtest]
fn write_without_a_clear_answer_is_unknown() {
    let answers = [
        (200, ""),
        (200, r#"{"versions":[]}"#),
        (200, r#"{"versions":[4]}"#),
        (200, r#"{"versions":"5"}"#),
        (409, "{}"),
        (409, r#"{"at":{"table":"config","key":"head"},"found":4}"#),
        (409, r#"{"at":{"table":"config","key":"other"},"found":9}"#),
        (500, r#"{"versions":[5]}"#),
    ];
    let mut bench = Bench::new();
    for (status, body) in answers {
        let outcome = bench.write(|mut peer| peer.answer(status, "", body));
        expect_that!(outcome, eq(&WriteOutcome::Unknown), "{status} {body}");
    }
    expect_that!(bench.write(drop), eq(&WriteOutcome::Unknown));
    let cut = |mut peer: Peer| peer.write("HTTP/1.1 200 X\r\ncontent-length: 99\r\n\r\n{");
    expect_that!(bench.write(cut), eq(&WriteOutcome::Unknown));
}

/// A write reaches the store and no answer comes. It would be taken for failed
/// when its time is up, although it stands.
#[gtest]
fn write_that_times_out_is_unknown() {
    let (listener, address) = listener();
    let cfg = PlatformConfig::builder(address).poll_ms(FAR_MS);
    let mut bench = Bench::with(cfg.timeout_ms(NEAR_MS), listener);
    bench.serve(200, NO_INSTANCES);
    next(&mut bench.events);
    bench.command(write(8));
    let mut silent = Peer::accept(&bench.listener);
    silent.read();
    expect_that!(outcome(next(&mut bench.events)), eq(&WriteOutcome::Unknown));
}

#[gtest]
fn conflict_and_refusal_are_certain() {
    let mut bench = Bench::new();
    let body = r#"{"at":{"table":"config","key":"head"},"found":9}"#;
    let conflict = bench.write(|mut peer| peer.answer(409, "", body));
    let (at, found) = (head(), Version(9));
    expect_that!(conflict, eq(&WriteOutcome::Conflict { at, found }));

    let dead = PlatformConfig::builder(dead_address());
    let mut cut_off = Bench::with(dead, listener().0);
    cut_off.command(write(8));
    expect_that!(
        outcome(next(&mut cut_off.events)),
        eq(&WriteOutcome::Refused)
    );
}

/// The store answers nonsense for a while. The instance would serve a
/// configuration made of it, or stop serving at all.
#[gtest]
fn bad_answers_to_reads_change_nothing() {
    let mut bench = Bench::new();
    let other = text(5).replace("head", "other");
    let typed = text(5).replace('5', "\"5\"");
    let large = format!("{}{}", text(5), " ".repeat(1024));
    for body in ["", "null", "[]", &other, &typed, &large] {
        expect_that!(bench.read_row(body), eq(&FAILED), "{body}");
    }
    for rows in [
        format!(r#"{{"rows":[{0},{0}]}}"#, text(5)),
        format!(r#"{{"rows":[{}]}}"#, text(5).replace("config", "planner")),
    ] {
        let table = "config".to_owned();
        bench.command(PlatformCommand::ReadTable { table });
        bench.serve(200, &rows);
        let failed = Event::ReadFailed { ticket: 0 };
        expect_that!(next(&mut bench.events), eq(&failed), "{rows}");
    }
    expect_that!(bench.read_row(&text(5)), eq(&read(5)));
}

/// The instance list is garbled once. Healthy instances would count as gone,
/// because an unreadable list was taken for an empty one.
#[gtest]
fn bad_instance_list_is_skipped() {
    let mut bench = Bench::polling(1);
    let one = r#"{"instance":"e1","zone":"z1","peer_address":"x","state":"live"}"#;
    bench.serve(200, "{}");
    bench.serve(500, NO_INSTANCES);
    bench.serve(200, &format!(r#"{{"lag_ms":1,"instances":[{one},{one}]}}"#));
    bench.serve(200, NO_INSTANCES);
    let list = InstanceList {
        lag_ms: 500,
        instances: vec![],
    };
    expect_that!(
        next(&mut bench.events),
        matches_pattern!(Event::Instances {
            list: eq(&list),
            ..
        })
    );
}

/// The store answers from an old copy after a newer version was read or
/// written. A configuration that was accepted would revert.
#[gtest]
fn version_that_goes_back_is_refused() {
    let mut bench = Bench::new();
    assert_that!(bench.read_row(&text(6)), eq(&read(6)));
    expect_that!(bench.read_row(&text(5)), eq(&FAILED));
    bench.write(|mut peer| peer.answer(200, "", r#"{"versions":[8]}"#));
    expect_that!(bench.read_row(&text(7)), eq(&FAILED));
    expect_that!(bench.read_row(&text(8)), eq(&read(8)));
}

/// Two reads overtake each other. The earlier one is old, but not wrong; taking
/// it for a fault of the store would only add noise.
#[gtest]
fn overtaken_read_is_no_fault() {
    let mut bench = Bench::new();
    bench.command(PlatformCommand::ReadRow {
        ticket: 7,
        at: head(),
    });
    let mut slow = Peer::accept(&bench.listener);
    slow.read();
    assert_that!(bench.read_row(&text(6)), eq(&read(6)));
    slow.answer(200, "", &text(5));
    expect_that!(next(&mut bench.events), eq(&read(5)));
}

/// The store hangs. The ring of commands would fill and stop the decisions,
/// because each command waited for the one before it.
#[gtest]
fn hanging_store_does_not_hold_up_commands() {
    let mut bench = Bench::new();
    for _ in 0..2 {
        bench.command(PlatformCommand::ReadRow {
            ticket: 7,
            at: head(),
        });
    }
    let _hanging = [Peer::accept(&bench.listener), Peer::accept(&bench.listener)];
    bench.command(PlatformCommand::ReadRow {
        ticket: 9,
        at: head(),
    });
    let turned_down = Event::ReadFailed { ticket: 9 };
    expect_that!(next(&mut bench.events), eq(&turned_down));
    bench.command(write(8));
    expect_that!(outcome(next(&mut bench.events)), eq(&WriteOutcome::Refused));
}

#[gtest]
fn objects_are_stored_and_read() {
    let (listener, address) = listener();
    let served = std::thread::spawn(move || {
        let mut peer = Peer::accept(&listener);
        let put = peer.read();
        peer.answer(204, "", "");
        let mut peer = Peer::accept(&listener);
        let get = peer.read();
        peer.answer(200, "", "plan");
        let mut peer = Peer::accept(&listener);
        let missing = peer.read();
        peer.answer(404, "", "");
        (put, get, missing)
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let platform = HttpPlatform::new(&PlatformConfig::builder(address).build());
    runtime.block_on(async {
        let put = platform.put_object("a/b", "plan".into()).await;
        expect_that!(put, ok(anything()));
        let found = platform.get_object("a/b").await;
        expect_that!(found, ok(some(eq("plan"))));
        expect_that!(platform.get_object("c").await, ok(none()));
    });
    let (put, get, missing) = served.join().unwrap();
    expect_that!(put.start(), eq("PUT /objects/a%2Fb"));
    expect_that!(put.body, eq(b"plan"));
    expect_that!(get.start(), eq("GET /objects/a%2Fb"));
    expect_that!(missing.start(), eq("GET /objects/c"));
}
