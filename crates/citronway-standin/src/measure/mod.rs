//! What callers saw, counted and compared with what the endpoints ran.

pub mod promises;
pub mod record;
pub mod tally;
pub mod unserved;

pub use promises::Promises;
pub use record::Record;
pub use tally::Tally;
pub use unserved::{Gap, Gaps};
