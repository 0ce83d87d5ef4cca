//! Decision logic of a gateway instance, which sends requests straight to the endpoints.
//!
//! Durable state is kept in the platform's store. This module holds the decisions that are
//! derived from it: the route of a request ([`routes`]), the listed endpoints ([`registry`]),
//! the ownership of keys ([`assignment`], [`leader`], [`election`], [`placement`], [`hot_range`]),
//! whether a request waits, is sent or is refused ([`admission`], [`fleet_admission`], [`share`],
//! [`limit`], [`budget`]), which requests of a connection are begun ([`pipeline`]), the
//! evacuated zones ([`evacuation`]), the limits that endpoints state ([`stated_limits`]), the
//! endpoints that state that they leave ([`departures`]) or ask for rest ([`rests`]), and the requests
//! that crash endpoints ([`crashes`]).
//! Instances report to each other what they have in flight ([`report`]), in large fleets
//! through delegates ([`tree`]).

pub mod admission;
pub mod assignment;
pub mod budget;
pub mod cold;
pub mod crashes;
pub mod departures;
pub mod election;
pub mod endpoint_bytes;
pub mod evacuation;
pub mod fleet_admission;
pub mod freshness;
pub mod hot_range;
pub mod keyload;
pub mod leader;
pub mod limit;
pub mod memory;
pub mod outage;
pub mod pace;
pub mod pipeline;
pub mod placement;
pub mod registry;
pub mod report;
pub mod rests;
pub mod routes;
pub mod rows;
pub mod settings;
pub mod share;
pub mod stated_limits;
pub mod tree;
pub mod version;
