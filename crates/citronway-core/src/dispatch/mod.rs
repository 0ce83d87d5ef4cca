//! Dispatcher of one endpoint: the only sender of its orders and grants.
//!
//! [`Dispatcher`] takes [`DispatchEvent`]s with the moment they happen at and
//! returns [`DispatchAction`]s. Every request that is submitted gets exactly one
//! [`DispatchAction::Reply`] or [`DispatchAction::Reject`].
//!
//! | module | job |
//! |---|---|
//! | `machine` | the dispatcher itself; `arriving`, `settling`, `sending`, `granting`, `reporting` are its duties |
//! | `queue`, `share`, `pace` | what waits, in which order it goes |
//! | `admission` | what is refused on arrival |
//! | `slots`, `limit`, `service` | what may run at once, and for how long |
//! | `duplicates`, `answers`, `fingerprint`, `waiters` | at most once |
//! | `grants`, `sent_grants` | which shards the endpoint holds until when |
//! | `health` | what probes say |
//! | `replay` | recorded events against their outcomes |

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
pub mod pace;
pub mod queue;
pub mod replay;
mod reporting;
mod sending;
pub mod sent_grants;
pub mod service;
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
