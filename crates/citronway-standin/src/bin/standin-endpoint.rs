//! The endpoint stand-in as a process.

use std::io;

use bpaf::Parser;
use citronway_standin::endpoint::endpoint_options;

fn main() -> io::Result<()> {
    env_logger::init();
    endpoint_options().to_options().run().run()
}
