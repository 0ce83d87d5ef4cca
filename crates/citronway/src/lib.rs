//! Entry instance of citronway.

pub mod peers;
