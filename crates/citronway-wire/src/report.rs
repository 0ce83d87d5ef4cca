//! Reports and relayed rows between instances as datagrams.

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;
use citronway_core::gateway::election::Strength;
use citronway_core::gateway::pace::{Answers, EndpointTag};
use citronway_core::gateway::report::{
    EndpointTotal, EndpointUse, KeySamples, Report, Totals, Versions,
};
use citronway_core::gateway::rows::{Patch, Relay, Row, Table};
use citronway_core::ids::{InstanceName, ServiceName, SessionId, Version};

use crate::report_capnp::{datagram, endpoint_use, relay, report, row, totals};

/// Largest datagram that is sent or read, in bytes; UDP takes 65,507.
///
/// A report of 60 endpoints and 300 keys has about 2,200. Rows that do not fit are
/// left to be asked of the store.
pub const MAX_DATAGRAM: usize = 48 * 1024;

/// What one instance sends to another.
#[derive(Debug, Clone, PartialEq)]
pub enum Datagram {
    /// What it has in flight.
    Report(Report),
    /// Rows that it has seen.
    Relay(Relay),
    /// What all instances have in flight.
    Totals(Totals),
}

/// Writes a datagram.
#[must_use]
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    let mut message = Builder::new_default();
    let root = message.init_root::<datagram::Builder<'_>>();
    match datagram {
        Datagram::Report(report) => write_report(report, root.init_report()),
        Datagram::Relay(relay) => write_relay(relay, root.init_relay()),
        Datagram::Totals(totals) => write_totals(totals, root.init_totals()),
    }
    serialize::write_message_to_words(&message)
}

fn write_totals(from: &Totals, mut to: totals::Builder<'_>) {
    to.set_term(from.term);
    to.set_number(from.number);
    let mut list = to.init_endpoints(length(from.endpoints.len()));
    for (i, total) in from.endpoints.iter().enumerate() {
        let mut item = list.reborrow().get(length(i));
        item.set_tag(total.tag.0);
        item.set_in_flight(u16::try_from(total.in_flight).unwrap_or(u16::MAX));
        item.set_waiting(u16::try_from(total.waiting).unwrap_or(u16::MAX));
    }
}

/// Code of a table between instances.
#[must_use]
pub const fn code_of(table: Table) -> u8 {
    match table {
        Table::Config => 0,
        Table::Endpoints => 1,
        Table::Own => 2,
    }
}

/// The table of a code.
///
/// # Errors
///
/// When this version knows none of that code.
pub const fn table_of(code: u8) -> Result<Table, ReportError> {
    match code {
        0 => Ok(Table::Config),
        1 => Ok(Table::Endpoints),
        2 => Ok(Table::Own),
        other => Err(ReportError::UnknownTable(other)),
    }
}

fn write_relay(from: &Relay, mut to: relay::Builder<'_>) {
    to.set_table(code_of(from.table));
    to.set_after(from.after.0);
    to.set_position(from.position.0);
    let mut rows = to.reborrow().init_rows(length(from.rows.len()));
    for (i, row) in from.rows.iter().enumerate() {
        let mut item = rows.reborrow().get(length(i));
        item.set_key(row.key.as_str());
        item.set_version(row.version.0);
        match &row.value {
            Some(value) => item.set_value(value),
            None => item.set_removed(()),
        }
    }
    let mut patches = to.init_patches(length(from.patches.len()));
    for (i, patch) in from.patches.iter().enumerate() {
        let mut item = patches.reborrow().get(length(i));
        item.set_key(patch.key.as_str());
        item.set_before(patch.before.0);
        item.set_version(patch.version.0);
        item.set_change(&patch.change);
    }
}

fn write_report(from: &Report, mut to: report::Builder<'_>) {
    to.set_instance(from.instance.as_str());
    to.set_session(from.session.0);
    to.set_number(from.number);
    to.set_stopping(from.stopping);
    to.set_unfit(from.unfit);
    to.set_strength(from.strength.0);
    to.set_term(from.term);
    to.set_seen_config(from.seen.config);
    to.set_seen_endpoints(from.seen.endpoints);
    to.set_seen_own(from.seen.own);
    let mut list = to.reborrow().init_endpoints(length(from.endpoints.len()));
    for (i, used) in from.endpoints.iter().enumerate() {
        write_use(used, list.reborrow().get(length(i)));
    }
    let mut list = to.init_keys(length(from.keys.len()));
    for (i, samples) in from.keys.iter().enumerate() {
        let mut item = list.reborrow().get(length(i));
        item.set_service(samples.service.as_str());
        let mut keys = item.init_keys(length(samples.keys.len()));
        for (k, key) in samples.keys.iter().enumerate() {
            keys.set(length(k), *key);
        }
    }
}

fn length(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn write_use(from: &EndpointUse, mut to: endpoint_use::Builder<'_>) {
    to.set_tag(from.tag.0);
    to.set_in_flight(u16::try_from(from.in_flight).unwrap_or(u16::MAX));
    to.set_waiting(u16::try_from(from.waiting).unwrap_or(u16::MAX));
    #[expect(
        clippy::cast_possible_truncation,
        reason = "estimates; seven digits are plenty"
    )]
    let narrow = |value: f64| value as f32;
    to.set_served(narrow(from.answers.served));
    to.set_relative(narrow(from.answers.relative));
    to.set_failed(narrow(from.answers.failed));
}

/// Reads a datagram.
///
/// # Errors
///
/// When it is none.
pub fn decode(mut bytes: &[u8]) -> Result<Datagram, ReportError> {
    let message = serialize::read_message(&mut bytes, ReaderOptions::new())?;
    let root = message.get_root::<datagram::Reader<'_>>()?;
    Ok(match root.which()? {
        datagram::Which::Report(report) => Datagram::Report(read_report(report?)?),
        datagram::Which::Relay(relay) => Datagram::Relay(read_relay(relay?)?),
        datagram::Which::Totals(totals) => Datagram::Totals(read_totals(totals?)?),
    })
}

fn read_totals(from: totals::Reader<'_>) -> Result<Totals, ReportError> {
    let endpoints = from.get_endpoints()?.iter().map(|total| EndpointTotal {
        tag: EndpointTag(total.get_tag()),
        in_flight: u32::from(total.get_in_flight()),
        waiting: u32::from(total.get_waiting()),
    });
    Ok(Totals {
        term: from.get_term(),
        number: from.get_number(),
        endpoints: endpoints.collect(),
    })
}

fn read_relay(from: relay::Reader<'_>) -> Result<Relay, ReportError> {
    let table = table_of(from.get_table())?;
    let mut rows = Vec::new();
    for item in from.get_rows()? {
        let value = match item.which()? {
            row::Which::Value(value) => Some(value?.to_vec()),
            row::Which::Removed(()) => None,
        };
        rows.push(Row {
            key: item.get_key()?.to_string()?,
            value,
            version: Version(item.get_version()),
        });
    }
    let mut patches = Vec::new();
    for item in from.get_patches()? {
        patches.push(Patch {
            key: item.get_key()?.to_string()?,
            before: Version(item.get_before()),
            version: Version(item.get_version()),
            change: item.get_change()?.to_vec(),
        });
    }
    Ok(Relay {
        patches,
        table,
        after: Version(from.get_after()),
        position: Version(from.get_position()),
        rows,
    })
}

fn read_report(from: report::Reader<'_>) -> Result<Report, ReportError> {
    let mut endpoints = Vec::with_capacity(from.get_endpoints()?.len() as usize);
    for used in from.get_endpoints()? {
        endpoints.push(read_use(used));
    }
    let mut keys = Vec::new();
    for samples in from.get_keys()? {
        keys.push(KeySamples {
            service: ServiceName::new(samples.get_service()?.to_str()?),
            keys: samples.get_keys()?.iter().collect(),
        });
    }
    Ok(Report {
        instance: InstanceName::new(from.get_instance()?.to_str()?),
        session: SessionId(from.get_session()),
        number: from.get_number(),
        stopping: from.get_stopping(),
        unfit: from.get_unfit(),
        strength: Strength(from.get_strength()),
        term: from.get_term(),
        seen: Versions {
            config: from.get_seen_config(),
            endpoints: from.get_seen_endpoints(),
            own: from.get_seen_own(),
        },
        endpoints,
        keys,
    })
}

fn read_use(from: endpoint_use::Reader<'_>) -> EndpointUse {
    EndpointUse {
        tag: EndpointTag(from.get_tag()),
        in_flight: u32::from(from.get_in_flight()),
        waiting: u32::from(from.get_waiting()),
        answers: Answers {
            served: f64::from(from.get_served()),
            relative: f64::from(from.get_relative()),
            failed: f64::from(from.get_failed()),
        },
    }
}

/// A datagram that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// Not of the schema's form.
    #[error("malformed datagram: {0}")]
    Malformed(#[from] capnp::Error),
    /// A kind that this version does not know.
    #[error("unknown kind of datagram: {0}")]
    UnknownKind(#[from] capnp::NotInSchema),
    /// A table that this version does not know.
    #[error("unknown table {0}")]
    UnknownTable(u8),
    /// A name is not UTF-8.
    #[error("a name in a report is not UTF-8: {0}")]
    Name(#[from] std::str::Utf8Error),
}
