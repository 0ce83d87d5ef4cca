//! Dispatcher of one endpoint: the only sender of orders and grants to it.
//!
//! [`Dispatcher`] is a state machine: it takes [`DispatchEvent`]s with their
//! time and returns [`DispatchAction`]s. Every submitted request gets exactly
//! one [`DispatchAction::Reply`] or [`DispatchAction::Reject`].
//!
//! | module | content |
//! |---|---|
//! | `machine` | the dispatcher; `arriving`, `settling`, `sending`, `granting` and `reporting` implement its parts |
//! | `queue`, `share`, `service_interval` | priority queue, kept shares of classes, service interval of a class |
//! | `admission` | admission control on arrival |
//! | `slots`, `limit`, `service` | slots in use, adaptive concurrency limit, mean service times |
//! | `duplicates`, `answers`, `fingerprint`, `waiters` | deduplication of non-idempotent requests |
//! | `grants`, `sent_grants` | leases of shards to the endpoint |
//! | `health` | health from probes |
//! | `replay` | replay of recorded events |

pub mod admission;
pub mod answers;
mod arriving;
pub mod duplicates;
pub mod fingerprint;
mod granting;
pub mod grants;
pub mod health;
pub mod limit;
pub mod machine;
pub mod message;
pub mod queue;
pub mod replay;
mod reporting;
mod sending;
pub mod sent_grants;
pub mod service;
pub mod service_interval;
pub mod settings;
mod settling;
pub mod share;
pub mod slots;
pub mod spec;
pub mod waiters;

pub use machine::Dispatcher;
pub use message::{
    DispatchAction, DispatchEvent, KeyRange, KeyRef, OwnedShard, RequestFault, ShardEpoch,
    ShardRef, Turn,
};
pub use replay::replay;
pub use settings::DispatchSettings;
pub use spec::{DispatcherBuilder, DispatcherSpec};
