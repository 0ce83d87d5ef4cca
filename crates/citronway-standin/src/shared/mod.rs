//! Stand-ins of the users' platform: a store of rows with versions, preconditions and
//! a feed, and endpoints that hold keys by fenced grants. Each serves on loopback
//! from a thread of its own until it is dropped.

mod departures;
mod documents;
mod endpoint;
mod faulty_proxy;
mod head_change;
mod held_keys;
mod limits;
mod repeats;
mod rests;
mod serve;
mod statements;
mod store;

pub use departures::{DRAIN, DepartureLog, LateArrival};
pub use documents::{Addresses, SETTINGS_VARIABLE, configuration, own_address, route};
pub use endpoint::{FencedEndpoint, Ran, SENDER_HEADER};
pub use faulty_proxy::{After, Answers, Endless, Fault, FaultyProxy};
pub use head_change::HeadChange;
pub use limits::{Excess, LimitLog, STABLE};
pub use repeats::{Arrival, Repeats, excessive_repeats};
pub use rests::{BrokenRest, RestLog};
pub use serve::{Background, long_body};
pub use store::{LostChanges, SharedStore, StoreCopy, StoreFault};
