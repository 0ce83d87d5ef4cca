//! Messages between instances: Cap'n Proto schema, generated code, the proof of
//! the greeting, and conversions to and from the types of `citronway-core`.
//!
//! Nothing here does I/O. A message that arrives is either converted whole or
//! refused with a [`WireError`] that names the field at fault.

pub mod cold;
mod confirmation;
pub mod convert;
mod demand;
mod departures;
pub mod error;
pub mod greeting;
pub mod limits;
mod pack;
pub mod relays;
pub mod report;
mod rests;
pub mod size;
pub mod stated_limits;
pub mod trial;

#[allow(
    missing_docs,
    missing_debug_implementations,
    clippy::all,
    clippy::pedantic,
    clippy::allow_attributes_without_reason,
    clippy::deref_by_slicing,
    clippy::renamed_function_params,
    clippy::restriction,
    clippy::unneeded_field_pattern,
    reason = "generated from schema/peer.capnp, see README.md"
)]
#[rustfmt::skip]
pub mod peer_capnp;

#[allow(
    missing_docs,
    missing_debug_implementations,
    clippy::all,
    clippy::pedantic,
    clippy::allow_attributes_without_reason,
    clippy::deref_by_slicing,
    clippy::renamed_function_params,
    clippy::restriction,
    clippy::unneeded_field_pattern,
    reason = "generated from schema/report.capnp, see README.md"
)]
#[rustfmt::skip]
pub mod report_capnp;

pub use error::WireError;
