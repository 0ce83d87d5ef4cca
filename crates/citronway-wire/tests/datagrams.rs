//! Reports and relayed rows as datagrams.

use std::net::SocketAddr;

use citronway_core::gateway::crashes::{
    Fingerprint, RefusedWork, Sign, TrialEnd, TrialGrant, TrialId, TrialRequest,
};
use citronway_core::gateway::departures::Departure;
use citronway_core::gateway::election::Strength;
use citronway_core::gateway::fleet_admission::{MAX_QUEUES, QueueDemand};
use citronway_core::gateway::freshness::Confirmation;
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::report::{
    EndpointPace, EndpointTotal, KeySamples, MemberState, Report, Totals, Versions,
};
use citronway_core::gateway::rests::RestReport;
use citronway_core::gateway::rows::{Patch, Relay, Row, Table};
use citronway_core::gateway::stated_limits::{SendGrant, SendRequest, StatedLimit};
use citronway_core::gateway::version::{Era, RowVersion};
use citronway_core::ids::{InstanceName, ServiceName, Session, SessionId};
use citronway_wire::relays::in_datagrams;
use citronway_wire::report::{Datagram, MAX_DATAGRAM, decode, encode};
use citronway_wire::stated_limits::{LimitedSendReply, LimitedSendRequest};
use citronway_wire::trial::{EndedTrial, TrialReply};
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, prop_assert, proptest};

const CONFIRMED: Confirmation = Confirmation {
    version: RowVersion {
        era: Era(3),
        number: 9,
    },
    age_ms: 350,
};

#[gtest]
fn a_relay_is_read_as_it_was_written() -> Result<()> {
    let relay = Datagram::Relay(Relay {
        table: Table::Own,
        after: RowVersion::first(3),
        position: RowVersion {
            era: Era(2),
            number: 9,
        },
        rows: vec![
            Row {
                key: "leader".to_owned(),
                value: Some(vec![1, 2]),
                version: RowVersion {
                    era: Era(2),
                    number: 5,
                },
            },
            Row {
                key: "instance/x".to_owned(),
                value: None,
                version: RowVersion::first(6),
            },
        ],
        patches: vec![Patch {
            key: "keys/batch".to_owned(),
            before: RowVersion::first(4),
            version: RowVersion {
                era: Era(1),
                number: 9,
            },
            change: vec![7, 8, 9],
        }],
        confirmed: Some(CONFIRMED),
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
        is_cut_off: false,
        strength: Strength(250),
        term: 3,
        seen: Versions::default(),
        endpoints: Vec::new(),
        keys: Vec::new(),
        members: vec![MemberState {
            instance: InstanceName::new("two"),
            session: SessionId(9),
            heard_ago_ms: 150,
            term: 2,
            stopping: false,
            unfit: true,
            strength: Strength(200),
        }],
        signs: vec![
            Sign::Crash {
                work: Fingerprint(u64::MAX),
                endpoint: EndpointTag(5),
            },
            Sign::Answered {
                work: Fingerprint(6),
            },
        ],
        first_sign: 9,
        limits: limits(),
        departures: departures(),
        rests: rests(),
        confirmed: Some(CONFIRMED),
        demand: Some(vec![demand(7)]),
    });
    expect_that!(decode(&encode(&report)).or_fail()?, eq(&report));
    Ok(())
}

fn demand(queue: u32) -> QueueDemand {
    QueueDemand {
        queue: EndpointTag(queue),
        waiting: [1, 2, 3, 4, 5, 6, 7, 65_535],
        arrivals: [9, 8, 7, queue & 0xff],
        returns: [1, 0, 0, 4, 5, 0, 7, 8],
    }
}

/// Guards against a leader of an earlier release whose totals are read as those of no demand.
#[gtest]
fn demand_that_is_not_stated_is_told_from_none() -> Result<()> {
    for demand in [None, Some(Vec::new()), Some(vec![demand(1), demand(2)])] {
        let totals = Datagram::Totals(Totals { demand, ..totals() });
        expect_that!(decode(&encode(&totals)).or_fail()?, eq(&totals));
    }
    Ok(())
}

/// Guards against totals that are too long to be sent once many queues are contended.
#[gtest]
fn totals_with_the_most_demand_fit_into_a_datagram() {
    let spread = |n: u32| n.wrapping_mul(2_654_435_761);
    let endpoints = (0..2_000).map(|n| EndpointTotal {
        tag: EndpointTag(spread(n)),
        in_flight: spread(n) >> 28,
        waiting: spread(n) >> 29,
        kb: spread(n) >> 24,
    });
    let totals = Datagram::Totals(Totals {
        endpoints: endpoints.collect(),
        demand: Some((0..).take(MAX_QUEUES).map(|n| demand(spread(n))).collect()),
        ..totals()
    });
    expect_that!(encode(&totals).len(), le(MAX_DATAGRAM));
}

/// Guards against a damaged or truncated datagram that ends the instance which reads it.
#[gtest]
fn damaged_demand_is_an_error_or_other_demand() {
    let demand = Some(vec![demand(1), demand(2)]);
    let bytes = encode(&Datagram::Totals(Totals { demand, ..totals() }));
    for place in 0..bytes.len() {
        expect_that!(decode(&bytes[..place]), err(anything()));
        let mut damaged = bytes.clone();
        damaged[place] ^= 0xff;
        // Most damage is not noticed by the encoding; what is read has no invariant to break.
        let _ = decode(&damaged);
    }
}

fn rests() -> Vec<RestReport> {
    vec![RestReport {
        endpoint: EndpointTag(81),
        left_ms: 2_900,
        instances: 7,
    }]
}

fn departures() -> Vec<Departure> {
    vec![Departure {
        endpoint: EndpointTag(u32::MAX),
        age_ms: 1_700,
    }]
}

fn limits() -> Vec<StatedLimit> {
    vec![
        StatedLimit {
            endpoint: EndpointTag(9),
            per_s: Some(5.2),
            age_ms: 120,
        },
        StatedLimit {
            endpoint: EndpointTag(10),
            per_s: None,
            age_ms: 0,
        },
    ]
}

#[gtest]
fn queries_about_limited_endpoints_are_read_as_they_were_written() -> Result<()> {
    let request = Datagram::LimitedSendRequest(LimitedSendRequest {
        session: SessionId(7),
        number: 8,
        req: SendRequest {
            endpoint: EndpointTag(9),
            per_s: 5.2,
            count: 3,
            max_wait_ms: 150,
        },
    });
    expect_that!(decode(&encode(&request)).or_fail()?, eq(&request));
    let grants = [
        SendGrant::Granted {
            count: 2,
            after_ms: 30,
        },
        SendGrant::Busy { for_ms: 190 },
        SendGrant::Unavailable,
    ];
    for grant in grants {
        let reply = Datagram::LimitedSendReply(LimitedSendReply {
            session: SessionId(7),
            number: 8,
            grant,
        });
        expect_that!(decode(&encode(&reply)).or_fail()?, eq(&reply));
    }
    Ok(())
}

/// Guards against a rate from another instance that is no rate.
#[gtest]
fn a_limit_that_is_not_a_rate_is_refused() {
    for per_s in [f64::NAN, f64::INFINITY, -1.0] {
        let report = Totals {
            limits: vec![StatedLimit {
                endpoint: EndpointTag(9),
                per_s: Some(per_s),
                age_ms: 0,
            }],
            ..totals()
        };
        expect_that!(
            decode(&encode(&Datagram::Totals(report))).is_err(),
            eq(true)
        );
    }
}

fn totals() -> Totals {
    Totals {
        leader: Session::new("one", 7),
        term: 3,
        number: 8,
        stopping: false,
        unfit: true,
        store_lost: true,
        strength: Strength(250),
        row: Some(Row {
            key: "leader".to_owned(),
            value: Some(vec![1, 2]),
            version: RowVersion::first(5),
        }),
        seen: Versions {
            config: RowVersion {
                era: Era(1),
                number: 4,
            },
            endpoints: RowVersion {
                era: Era(2),
                number: 5,
            },
            own: RowVersion {
                era: Era(3),
                number: 6,
            },
        },
        instances: 295,
        standbys: vec![InstanceName::new("two"), InstanceName::new("three")],
        endpoints: vec![EndpointTotal {
            tag: EndpointTag(77),
            in_flight: 9,
            waiting: 40_000,
            kb: 70_000,
        }],
        byte_bounds: vec![(ServiceName::new("batch"), 2_048)],
        paces: vec![EndpointPace {
            tag: EndpointTag(78),
            slowness: 1.4,
            failing: 0.25,
            spread: 0.7,
        }],
        refused: vec![RefusedWork {
            work: Fingerprint(u64::MAX),
            times: 2,
        }],
        suspects: vec![Fingerprint(3), Fingerprint(4)],
        limits: limits(),
        departures: departures(),
        confirmed: Some(CONFIRMED),
        members: vec![SocketAddr::from(([10, 1, 0, 35], 7_660))],
        demand: None,
    }
}

#[gtest]
fn totals_are_read_as_they_were_written() -> Result<()> {
    let totals = Datagram::Totals(totals());
    expect_that!(decode(&encode(&totals)).or_fail()?, eq(&totals));
    Ok(())
}

#[gtest]
fn a_datagram_that_is_cut_short_is_refused() {
    let report = encode(&Datagram::Relay(Relay {
        table: Table::Config,
        after: RowVersion::first(1),
        position: RowVersion::first(2),
        rows: Vec::new(),
        patches: Vec::new(),
        confirmed: None,
    }));
    expect_that!(decode(&report[..report.len() / 2]).is_err(), eq(true));
}

fn samples() -> Vec<Vec<u8>> {
    let report = Report {
        instance: InstanceName::new("one"),
        session: SessionId(7),
        number: 8,
        stopping: false,
        unfit: false,
        is_cut_off: false,
        strength: Strength(250),
        term: 3,
        seen: Versions::default(),
        endpoints: Vec::new(),
        keys: vec![KeySamples {
            service: ServiceName::new("batch"),
            keys: vec![1, 2, 3],
        }],
        members: Vec::new(),
        signs: vec![Sign::Answered {
            work: Fingerprint(6),
        }],
        first_sign: 0,
        limits: limits(),
        departures: departures(),
        rests: rests(),
        confirmed: Some(CONFIRMED),
        demand: None,
    };
    let relay = Relay {
        table: Table::Own,
        after: RowVersion::first(3),
        position: RowVersion::first(9),
        rows: vec![Row {
            key: "leader".to_owned(),
            value: Some(vec![1, 2]),
            version: RowVersion::first(5),
        }],
        patches: Vec::new(),
        confirmed: Some(CONFIRMED),
    };
    let all = [
        Datagram::Report(report),
        Datagram::Relay(relay),
        Datagram::Totals(totals()),
    ];
    all.iter().map(encode).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, ..ProptestConfig::default() })]

    /// Anybody can send a datagram to the port. It is read or refused.
    #[test]
    fn a_damaged_datagram_is_read_or_refused(
        kind in 0_usize..3,
        flips in proptest::collection::vec((any::<usize>(), any::<u8>()), 1..6),
        cut in proptest::option::of(any::<usize>()),
    ) {
        let mut bytes = samples().swap_remove(kind);
        for (at, bits) in flips {
            let at = at % bytes.len();
            bytes[at] ^= bits;
        }
        bytes.truncate(cut.map_or(bytes.len(), |cut| cut % bytes.len()));
        if let Ok(datagram) = decode(&bytes) {
            // Whatever was read can be passed on.
            prop_assert!(!encode(&datagram).is_empty());
        }
    }
}

/// Guards against a field of a message about trials that is lost on the way.
#[gtest]
fn messages_about_trials_are_read_as_they_were_written() -> Result<()> {
    let id = TrialId {
        session: SessionId(u64::MAX),
        number: 9,
    };
    let work = Fingerprint(0x1234_5678_9abc_def0);
    let mut all = vec![Datagram::TrialRequest(TrialRequest {
        id,
        work,
        expected_ms: 350,
        limit_ms: 12_000,
    })];
    let grants = [
        TrialGrant::Granted,
        TrialGrant::Cleared,
        TrialGrant::Busy { for_ms: 250 },
    ];
    all.extend(grants.map(|grant| Datagram::TrialReply(TrialReply { id, work, grant })));
    let endpoint = EndpointTag(7);
    let ends = [
        TrialEnd::Answered,
        TrialEnd::Crashed { endpoint },
        TrialEnd::Inconclusive,
    ];
    all.extend(ends.map(|end| Datagram::TrialEnd(EndedTrial { id, work, end })));
    for datagram in all {
        expect_that!(decode(&encode(&datagram)).or_fail()?, eq(&datagram));
    }
    Ok(())
}

/// Rows that cannot be made shorter, one version after the other.
fn long_relay(rows: u64) -> Relay {
    let row = |n: u64| Row {
        key: format!("i-{n}"),
        value: Some((0..400).map(|i| noise(n * 400 + i)).collect()),
        version: RowVersion::first(100 + n),
    };
    Relay {
        table: Table::Endpoints,
        after: RowVersion::first(99),
        position: RowVersion::first(100 + rows),
        rows: (0..rows).map(row).collect(),
        patches: Vec::new(),
        confirmed: None,
    }
}

fn noise(n: u64) -> u8 {
    let mixed = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).to_le_bytes()[3]
}

/// Guards against rows of thousands of endpoints that are not passed on since they are too long.
#[gtest]
fn a_relay_that_is_too_long_is_divided_in_the_order_of_its_rows() -> Result<()> {
    let relay = long_relay(1_000);
    let all = in_datagrams(relay.clone());
    expect_that!(all.len(), gt(1));
    let (mut rows, mut newest) = (Vec::new(), relay.after);
    for bytes in &all {
        expect_that!(bytes.len(), le(MAX_DATAGRAM));
        let Datagram::Relay(part) = decode(bytes).or_fail()? else {
            return fail!("no relay");
        };
        expect_that!(part.after, eq(newest));
        newest = part.rows.last().or_fail()?.version;
        expect_that!(part.position, ge(newest));
        rows.extend(part.rows);
    }
    expect_that!(rows, eq(&relay.rows));
    Ok(())
}

/// Guards against datagrams whose text takes a link of 10 Mbit/s for seconds.
#[gtest]
fn long_text_is_deflated_and_read_as_it_was() -> Result<()> {
    let mut relay = long_relay(300);
    for row in &mut relay.rows {
        let text = format!(
            "{{\"service\":\"batch\",\"addr\":\"10.1.0.1:80\",\"seq\":{}}}",
            row.version.number
        );
        row.value = Some(text.into_bytes());
    }
    let plain: usize = relay
        .rows
        .iter()
        .filter_map(|row| Some(row.value.as_ref()?.len()))
        .sum();
    let bytes = encode(&Datagram::Relay(relay.clone()));
    expect_that!(bytes.len() * 2, le(plain));
    expect_that!(decode(&bytes).or_fail()?, eq(&Datagram::Relay(relay)));
    Ok(())
}
