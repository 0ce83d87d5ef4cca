//! The platform stand-in as a process.

use std::io;

use bpaf::Parser;
use citronway_standin::platform::platform_options;

fn main() -> io::Result<()> {
    env_logger::init();
    platform_options().to_options().run().run()
}
