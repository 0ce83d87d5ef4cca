//! Entry instance of citronway.

pub mod settings;
