//! Reports between instances as datagrams.

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;
use citronway_core::gateway::pace::{Answers, EndpointTag};
use citronway_core::gateway::report::{EndpointUse, KeySamples, Report, Versions};
use citronway_core::ids::{InstanceName, ServiceName, SessionId};

use crate::report_capnp::{endpoint_use, report};

/// Largest datagram that is sent or read, in bytes.
///
/// A report of 60 endpoints and 300 keys has about 2,200.
pub const MAX_DATAGRAM: usize = 16 * 1024;

/// Writes a report.
#[must_use]
pub fn encode(from: &Report) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut to = message.init_root::<report::Builder<'_>>();
    to.set_instance(from.instance.as_str());
    to.set_session(from.session.0);
    to.set_number(from.number);
    to.set_stopping(from.stopping);
    to.set_unfit(from.unfit);
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
    serialize::write_message_to_words(&message)
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

/// Reads a report.
///
/// # Errors
///
/// When the datagram is no report.
pub fn decode(mut datagram: &[u8]) -> Result<Report, ReportError> {
    let message = serialize::read_message(&mut datagram, ReaderOptions::new())?;
    let from = message.get_root::<report::Reader<'_>>()?;
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

/// A datagram that is no report.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// Not of the schema's form.
    #[error("malformed report: {0}")]
    Malformed(#[from] capnp::Error),
    /// A name is not UTF-8.
    #[error("a name in a report is not UTF-8: {0}")]
    Name(#[from] std::str::Utf8Error),
}
