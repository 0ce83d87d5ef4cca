//! Reports and relayed rows between instances as datagrams.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;
use citronway_core::gateway::crashes::{Fingerprint, RefusedWork, Sign, TrialRequest};
use citronway_core::gateway::election::Strength;
use citronway_core::gateway::pace::{Answers, EndpointTag, Pace};
use citronway_core::gateway::report::{
    EndpointPace, EndpointTotal, EndpointUse, KeySamples, MemberState, Report, Totals, Versions,
};
use citronway_core::gateway::rows::{Patch, Relay, Row, Table};
use citronway_core::gateway::version::{Era, RowVersion};
use citronway_core::ids::{InstanceName, ServiceName, Session, SessionId};

use crate::cold::{self, ColdAsked, ColdReply};
use crate::confirmation;
use crate::demand;
use crate::departures;
use crate::pack;
use crate::report_capnp::{
    byte_bound, datagram, endpoint_use, member, relay, report, row, sign, totals,
};
use crate::rests;
use crate::stated_limits::{self, LimitedSendReply, LimitedSendRequest};
use crate::trial::{self, EndedTrial, TrialReply};

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
    /// May a copy of work under suspicion be sent?
    TrialRequest(TrialRequest),
    /// The answer to that.
    TrialReply(TrialReply),
    /// Such a copy is done.
    TrialEnd(EndedTrial),
    /// May a request be sent to a cold endpoint?
    ColdRequest(ColdAsked),
    /// The answer to that.
    ColdReply(ColdReply),
    /// May requests be sent to an endpoint that states a limit?
    LimitedSendRequest(LimitedSendRequest),
    /// The answer to that.
    LimitedSendReply(LimitedSendReply),
}

/// Writes a datagram, deflated if it is long.
#[must_use]
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    let plain = encode_plain(datagram);
    if plain.len() < pack::PACK_FROM {
        return plain;
    }
    match pack::deflated(&plain) {
        Ok(packed) => {
            let mut message = Builder::new_default();
            let mut root = message.init_root::<datagram::Builder<'_>>();
            root.set_packed(&packed);
            serialize::write_message_to_words(&message)
        }
        // Memory is the one thing that it could lack.
        Err(_unpacked) => plain,
    }
}

fn encode_plain(datagram: &Datagram) -> Vec<u8> {
    let mut message = Builder::new_default();
    let root = message.init_root::<datagram::Builder<'_>>();
    match datagram {
        Datagram::Report(report) => write_report(report, root.init_report()),
        Datagram::Relay(relay) => write_relay(relay, root.init_relay()),
        Datagram::Totals(totals) => write_totals(totals, root.init_totals()),
        Datagram::TrialRequest(req) => trial::write_request(req, root.init_trial_request()),
        Datagram::TrialReply(reply) => trial::write_reply(reply, root.init_trial_reply()),
        Datagram::TrialEnd(end) => trial::write_end(end, root.init_trial_end()),
        Datagram::ColdRequest(asked) => cold::write_request(asked, root.init_cold_request()),
        Datagram::ColdReply(reply) => cold::write_reply(reply, root.init_cold_reply()),
        Datagram::LimitedSendRequest(req) => {
            stated_limits::write_request(req, root.init_limited_send_request());
        }
        Datagram::LimitedSendReply(reply) => {
            stated_limits::write_reply(reply, root.init_limited_send_reply());
        }
    }
    serialize::write_message_to_words(&message)
}

/// Parts of one in which slowness and failures are told.
const SLOWNESS_PARTS: f64 = 100.0;
const FAILING_PARTS: f64 = 1_000.0;
const SPREAD_PARTS: f64 = 1_000.0;

fn in_parts(value: f64, parts: f64) -> u16 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "within the range after the clamp"
    )]
    let whole = (value * parts).round().clamp(0.0, f64::from(u16::MAX)) as u16;
    whole
}

fn write_totals(from: &Totals, mut to: totals::Builder<'_>) {
    to.set_term(from.term);
    to.set_number(from.number);
    to.set_instance(from.leader.instance.as_str());
    to.set_session(from.leader.id.0);
    to.set_stopping(from.stopping);
    to.set_unfit(from.unfit);
    to.set_store_lost(from.store_lost);
    to.set_strength(from.strength.0);
    to.set_instances(from.instances);
    to.set_seen_config(from.seen.config.number);
    to.set_seen_endpoints(from.seen.endpoints.number);
    to.set_seen_own(from.seen.own.number);
    to.set_seen_config_era(from.seen.config.era.0);
    to.set_seen_endpoints_era(from.seen.endpoints.era.0);
    to.set_seen_own_era(from.seen.own.era.0);
    if let Some(row) = &from.row {
        write_row(row, to.reborrow().init_row());
    }
    if let Some(confirmed) = from.confirmed {
        confirmation::write(confirmed, to.reborrow().init_confirmed());
    }
    let mut list = to.reborrow().init_standbys(length(from.standbys.len()));
    for (i, standby) in from.standbys.iter().enumerate() {
        list.set(length(i), standby.as_str());
    }
    let mut list = to.reborrow().init_paces(length(from.paces.len()));
    for (i, pace) in from.paces.iter().enumerate() {
        let mut item = list.reborrow().get(length(i));
        item.set_tag(pace.tag.0);
        item.set_slowness(in_parts(pace.slowness, SLOWNESS_PARTS));
        item.set_failing(in_parts(pace.failing, FAILING_PARTS));
        item.set_spread(in_parts(pace.spread, SPREAD_PARTS));
    }
    // Instances are reached by version 4 of the protocol alone.
    let addresses = from
        .members
        .iter()
        .filter_map(|address| match address.ip() {
            IpAddr::V4(ip) => Some((ip, address.port())),
            IpAddr::V6(_) => None,
        });
    let addresses: Vec<_> = addresses.collect();
    let mut list = to.reborrow().init_members(length(addresses.len()));
    for (i, (ip, port)) in addresses.into_iter().enumerate() {
        let mut item = list.reborrow().get(length(i));
        item.set_ip(ip.to_bits());
        item.set_port(port);
    }
    let mut list = to.reborrow().init_refused(length(from.refused.len()));
    for (i, refused) in from.refused.iter().enumerate() {
        let mut item = list.reborrow().get(length(i));
        item.set_work(refused.work.0);
        item.set_times(refused.times);
    }
    let mut list = to.reborrow().init_suspects(length(from.suspects.len()));
    for (i, suspect) in from.suspects.iter().enumerate() {
        list.set(length(i), suspect.0);
    }
    stated_limits::write_all(
        &from.limits,
        to.reborrow().init_limits(length(from.limits.len())),
    );
    departures::write_all(
        &from.departures,
        to.reborrow().init_departures(length(from.departures.len())),
    );
    if let Some(all) = &from.demand {
        demand::write_all(all, to.reborrow().init_demand(length(all.len())));
    }
    let mut list = to
        .reborrow()
        .init_byte_bounds(length(from.byte_bounds.len()));
    for (i, bound) in from.byte_bounds.iter().enumerate() {
        write_byte_bound(bound, list.reborrow().get(length(i)));
    }
    let mut list = to.init_endpoints(length(from.endpoints.len()));
    for (i, total) in from.endpoints.iter().enumerate() {
        let mut item = list.reborrow().get(length(i));
        item.set_tag(total.tag.0);
        item.set_in_flight(u16::try_from(total.in_flight).unwrap_or(u16::MAX));
        item.set_waiting(u16::try_from(total.waiting).unwrap_or(u16::MAX));
        item.set_bytes(total.kb);
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
    to.set_after(from.after.number);
    to.set_after_era(from.after.era.0);
    to.set_position(from.position.number);
    to.set_position_era(from.position.era.0);
    let mut rows = to.reborrow().init_rows(length(from.rows.len()));
    for (i, row) in from.rows.iter().enumerate() {
        write_row(row, rows.reborrow().get(length(i)));
    }
    if let Some(confirmed) = from.confirmed {
        confirmation::write(confirmed, to.reborrow().init_confirmed());
    }
    let mut patches = to.init_patches(length(from.patches.len()));
    for (i, patch) in from.patches.iter().enumerate() {
        let mut item = patches.reborrow().get(length(i));
        item.set_key(patch.key.as_str());
        item.set_before(patch.before.number);
        item.set_before_era(patch.before.era.0);
        item.set_version(patch.version.number);
        item.set_version_era(patch.version.era.0);
        item.set_change(&patch.change);
    }
}

fn write_row(from: &Row, mut to: row::Builder<'_>) {
    to.set_key(from.key.as_str());
    to.set_version(from.version.number);
    to.set_era(from.version.era.0);
    match &from.value {
        Some(value) => to.set_value(value),
        None => to.set_removed(()),
    }
}

fn write_report(from: &Report, mut to: report::Builder<'_>) {
    to.set_instance(from.instance.as_str());
    to.set_session(from.session.0);
    to.set_number(from.number);
    to.set_stopping(from.stopping);
    to.set_unfit(from.unfit);
    to.set_cut_off(from.is_cut_off);
    to.set_strength(from.strength.0);
    to.set_term(from.term);
    to.set_seen_config(from.seen.config.number);
    to.set_seen_endpoints(from.seen.endpoints.number);
    to.set_seen_own(from.seen.own.number);
    to.set_seen_config_era(from.seen.config.era.0);
    to.set_seen_endpoints_era(from.seen.endpoints.era.0);
    to.set_seen_own_era(from.seen.own.era.0);
    let mut list = to.reborrow().init_endpoints(length(from.endpoints.len()));
    for (i, used) in from.endpoints.iter().enumerate() {
        write_use(used, list.reborrow().get(length(i)));
    }
    let mut list = to.reborrow().init_members(length(from.members.len()));
    for (i, state) in from.members.iter().enumerate() {
        write_member(state, list.reborrow().get(length(i)));
    }
    if let Some(confirmed) = from.confirmed {
        confirmation::write(confirmed, to.reborrow().init_confirmed());
    }
    to.set_first_sign(from.first_sign);
    let mut list = to.reborrow().init_signs(length(from.signs.len()));
    for (i, sign) in from.signs.iter().enumerate() {
        write_sign(*sign, list.reborrow().get(length(i)));
    }
    stated_limits::write_all(
        &from.limits,
        to.reborrow().init_limits(length(from.limits.len())),
    );
    departures::write_all(
        &from.departures,
        to.reborrow().init_departures(length(from.departures.len())),
    );
    rests::write_all(
        &from.rests,
        to.reborrow().init_rests(length(from.rests.len())),
    );
    if let Some(all) = &from.demand {
        demand::write_all(all, to.reborrow().init_demand(length(all.len())));
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

fn write_sign(from: Sign, mut to: sign::Builder<'_>) {
    match from {
        Sign::Crash { work, endpoint } => {
            to.set_work(work.0);
            to.set_endpoint(endpoint.0);
        }
        Sign::Answered { work } => {
            to.set_work(work.0);
            to.set_answered(true);
        }
    }
}

fn write_member(from: &MemberState, mut to: member::Builder<'_>) {
    to.set_instance(from.instance.as_str());
    to.set_session(from.session.0);
    to.set_term(from.term);
    to.set_heard_ago_ms(from.heard_ago_ms);
    to.set_strength(from.strength.0);
    to.set_stopping(from.stopping);
    to.set_unfit(from.unfit);
}

fn length(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn write_byte_bound(from: &(ServiceName, u32), mut to: byte_bound::Builder<'_>) {
    to.set_service(from.0.as_str());
    to.set_kilobytes(from.1);
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
    to.set_bytes(from.kb);
}

/// Reads a datagram.
///
/// # Errors
///
/// When it is none.
pub fn decode(bytes: &[u8]) -> Result<Datagram, ReportError> {
    match decode_one(bytes)? {
        Decoded::Plain(datagram) => Ok(*datagram),
        Decoded::Packed(plain) => match decode_one(&plain)? {
            Decoded::Plain(datagram) => Ok(*datagram),
            Decoded::Packed(_) => Err(ReportError::PackedTwice),
        },
    }
}

/// A datagram, or the bytes of one that was deflated.
enum Decoded {
    Plain(Box<Datagram>),
    Packed(Vec<u8>),
}

fn decode_one(mut bytes: &[u8]) -> Result<Decoded, ReportError> {
    let message = serialize::read_message(&mut bytes, ReaderOptions::new())?;
    let root = message.get_root::<datagram::Reader<'_>>()?;
    let plain = match root.which()? {
        datagram::Which::Packed(packed) => return Ok(Decoded::Packed(pack::inflated(packed?)?)),
        datagram::Which::Report(report) => Datagram::Report(read_report(report?)?),
        datagram::Which::Relay(relay) => Datagram::Relay(read_relay(relay?)?),
        datagram::Which::Totals(totals) => Datagram::Totals(read_totals(totals?)?),
        datagram::Which::TrialRequest(req) => Datagram::TrialRequest(trial::read_request(req?)),
        datagram::Which::TrialReply(reply) => Datagram::TrialReply(trial::read_reply(reply?)?),
        datagram::Which::TrialEnd(end) => Datagram::TrialEnd(trial::read_end(end?)?),
        datagram::Which::ColdRequest(asked) => Datagram::ColdRequest(cold::read_request(asked?)),
        datagram::Which::ColdReply(reply) => Datagram::ColdReply(cold::read_reply(reply?)?),
        datagram::Which::LimitedSendRequest(req) => {
            Datagram::LimitedSendRequest(stated_limits::read_request(req?)?)
        }
        datagram::Which::LimitedSendReply(reply) => {
            Datagram::LimitedSendReply(stated_limits::read_reply(reply?)?)
        }
    };
    Ok(Decoded::Plain(Box::new(plain)))
}

fn read_totals(from: totals::Reader<'_>) -> Result<Totals, ReportError> {
    let endpoints = from.get_endpoints()?.iter().map(|total| EndpointTotal {
        tag: EndpointTag(total.get_tag()),
        in_flight: u32::from(total.get_in_flight()),
        waiting: u32::from(total.get_waiting()),
        kb: total.get_bytes(),
    });
    let paces = from.get_paces()?.iter().map(|pace| EndpointPace {
        tag: EndpointTag(pace.get_tag()),
        slowness: f64::from(pace.get_slowness()) / SLOWNESS_PARTS,
        failing: f64::from(pace.get_failing()) / FAILING_PARTS,
        spread: match pace.get_spread() {
            // A leader of an earlier release does not estimate it.
            0 => Pace::UNKNOWN.spread,
            parts => f64::from(parts) / SPREAD_PARTS,
        },
    });
    let members = from.get_members()?.iter().map(|address| {
        let ip = Ipv4Addr::from_bits(address.get_ip());
        SocketAddr::from((ip, address.get_port()))
    });
    let refused = from.get_refused()?.iter().map(|refused| RefusedWork {
        work: Fingerprint(refused.get_work()),
        times: refused.get_times(),
    });
    let mut standbys = Vec::new();
    for standby in from.get_standbys()? {
        standbys.push(InstanceName::new(standby?.to_str()?));
    }
    let mut byte_bounds = Vec::new();
    for bound in from.get_byte_bounds()? {
        let service = ServiceName::new(bound.get_service()?.to_str()?);
        byte_bounds.push((service, bound.get_kilobytes()));
    }
    Ok(Totals {
        leader: Session {
            instance: InstanceName::new(from.get_instance()?.to_str()?),
            id: SessionId(from.get_session()),
        },
        term: from.get_term(),
        number: from.get_number(),
        stopping: from.get_stopping(),
        unfit: from.get_unfit(),
        store_lost: from.get_store_lost(),
        strength: Strength(from.get_strength()),
        seen: Versions {
            config: row_version(from.get_seen_config_era(), from.get_seen_config()),
            endpoints: row_version(from.get_seen_endpoints_era(), from.get_seen_endpoints()),
            own: row_version(from.get_seen_own_era(), from.get_seen_own()),
        },
        row: if from.has_row() {
            Some(read_row(from.get_row()?)?)
        } else {
            None
        },
        instances: from.get_instances(),
        standbys,
        endpoints: endpoints.collect(),
        byte_bounds,
        paces: paces.collect(),
        refused: refused.collect(),
        suspects: from.get_suspects()?.iter().map(Fingerprint).collect(),
        limits: stated_limits::read_all(from.get_limits()?)?,
        departures: departures::read_all(from.get_departures()?),
        members: members.collect(),
        confirmed: confirmation::read(from.has_confirmed().then(|| from.get_confirmed()))?,
        demand: demand::read(from.has_demand().then(|| from.get_demand()))?,
    })
}

pub(crate) const fn row_version(era: u32, number: u64) -> RowVersion {
    RowVersion {
        era: Era(era),
        number,
    }
}

fn read_row(from: row::Reader<'_>) -> Result<Row, ReportError> {
    let value = match from.which()? {
        row::Which::Value(value) => Some(value?.to_vec()),
        row::Which::Removed(()) => None,
    };
    Ok(Row {
        key: from.get_key()?.to_string()?,
        value,
        version: row_version(from.get_era(), from.get_version()),
    })
}

fn read_relay(from: relay::Reader<'_>) -> Result<Relay, ReportError> {
    let table = table_of(from.get_table())?;
    let mut rows = Vec::new();
    for item in from.get_rows()? {
        rows.push(read_row(item)?);
    }
    let mut patches = Vec::new();
    for item in from.get_patches()? {
        patches.push(Patch {
            key: item.get_key()?.to_string()?,
            before: row_version(item.get_before_era(), item.get_before()),
            version: row_version(item.get_version_era(), item.get_version()),
            change: item.get_change()?.to_vec(),
        });
    }
    Ok(Relay {
        patches,
        table,
        after: row_version(from.get_after_era(), from.get_after()),
        position: row_version(from.get_position_era(), from.get_position()),
        rows,
        confirmed: confirmation::read(from.has_confirmed().then(|| from.get_confirmed()))?,
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
    let mut members = Vec::new();
    for member in from.get_members()? {
        members.push(read_member(member)?);
    }
    Ok(Report {
        instance: InstanceName::new(from.get_instance()?.to_str()?),
        session: SessionId(from.get_session()),
        number: from.get_number(),
        stopping: from.get_stopping(),
        unfit: from.get_unfit(),
        is_cut_off: from.get_cut_off(),
        strength: Strength(from.get_strength()),
        term: from.get_term(),
        seen: Versions {
            config: row_version(from.get_seen_config_era(), from.get_seen_config()),
            endpoints: row_version(from.get_seen_endpoints_era(), from.get_seen_endpoints()),
            own: row_version(from.get_seen_own_era(), from.get_seen_own()),
        },
        endpoints,
        keys,
        members,
        signs: from.get_signs()?.iter().map(read_sign).collect(),
        first_sign: from.get_first_sign(),
        limits: stated_limits::read_all(from.get_limits()?)?,
        departures: departures::read_all(from.get_departures()?),
        rests: rests::read_all(from.get_rests()?),
        confirmed: confirmation::read(from.has_confirmed().then(|| from.get_confirmed()))?,
        demand: demand::read(from.has_demand().then(|| from.get_demand()))?,
    })
}

fn read_sign(from: sign::Reader<'_>) -> Sign {
    let work = Fingerprint(from.get_work());
    if from.get_answered() {
        return Sign::Answered { work };
    }
    Sign::Crash {
        work,
        endpoint: EndpointTag(from.get_endpoint()),
    }
}

fn read_member(from: member::Reader<'_>) -> Result<MemberState, ReportError> {
    Ok(MemberState {
        instance: InstanceName::new(from.get_instance()?.to_str()?),
        session: SessionId(from.get_session()),
        heard_ago_ms: from.get_heard_ago_ms(),
        term: from.get_term(),
        stopping: from.get_stopping(),
        unfit: from.get_unfit(),
        strength: Strength(from.get_strength()),
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
        kb: from.get_bytes(),
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
    /// What is deflated cannot be inflated.
    #[error("a packed datagram cannot be read: {0}")]
    Packed(#[from] io::Error),
    /// Requests a second that are negative or not a number.
    #[error("{0} is not a number of requests a second")]
    Rate(f64),
    /// A deflated datagram holds another one.
    #[error("a datagram was packed twice")]
    PackedTwice,
    /// A name is not UTF-8.
    #[error("a name in a report is not UTF-8: {0}")]
    Name(#[from] std::str::Utf8Error),
}
