//! Reports and relayed rows as datagrams.

use citronway_core::gateway::election::Strength;
use citronway_core::gateway::report::{Report, Versions};
use citronway_core::gateway::rows::{Patch, Relay, Row, Table};
use citronway_core::ids::{InstanceName, SessionId, Version};
use citronway_wire::report::{Datagram, decode, encode};
use googletest::prelude::*;

#[gtest]
fn a_relay_is_read_as_it_was_written() -> Result<()> {
    let relay = Datagram::Relay(Relay {
        table: Table::Own,
        after: Version(3),
        position: Version(9),
        rows: vec![
            Row {
                key: "keeper".to_owned(),
                value: Some(vec![1, 2]),
                version: Version(5),
            },
            Row {
                key: "instance/x".to_owned(),
                value: None,
                version: Version(6),
            },
        ],
        patches: vec![Patch {
            key: "keys/batch".to_owned(),
            before: Version(4),
            version: Version(9),
            change: vec![7, 8, 9],
        }],
    });
    expect_that!(decode(&encode(&relay)).or_fail()?, eq(&relay));
    Ok(())
}

#[gtest]
fn a_report_is_read_as_it_was_written() -> Result<()> {
    let report = Datagram::Report(Report {
        instance: InstanceName::new("one"),
        session: SessionId(7),
        number: 8,
        stopping: true,
        unfit: false,
        strength: Strength(250),
        term: 3,
        seen: Versions::default(),
        endpoints: Vec::new(),
        keys: Vec::new(),
    });
    expect_that!(decode(&encode(&report)).or_fail()?, eq(&report));
    Ok(())
}

#[gtest]
fn a_datagram_that_is_cut_short_is_refused() {
    let report = encode(&Datagram::Relay(Relay {
        table: Table::Config,
        after: Version(1),
        position: Version(2),
        rows: Vec::new(),
        patches: Vec::new(),
    }));
    expect_that!(decode(&report[..report.len() / 2]).is_err(), eq(true));
}
