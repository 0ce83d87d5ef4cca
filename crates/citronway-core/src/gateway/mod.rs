//! Decisions of an instance that sends straight to the endpoints.
//!
//! What must last lies in the platform's store; this module holds what is decided
//! from it: the route of a request ([`routes`]), which endpoints there are
//! ([`registry`]), who owns which keys ([`assignment`], [`keeper`], [`election`],
//! [`placement`]), and who waits, is sent or is refused ([`desk`], [`share`],
//! [`budget`]). Instances tell each other what they have in flight ([`report`]).

pub mod assignment;
pub mod budget;
pub mod desk;
pub mod election;
pub mod keeper;
pub mod keyload;
pub mod outage;
pub mod pace;
pub mod placement;
pub mod registry;
pub mod report;
pub mod routes;
pub mod rows;
pub mod settings;
pub mod share;
