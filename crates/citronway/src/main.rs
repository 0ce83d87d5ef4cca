//! Entry instance of citronway.

fn main() {}
