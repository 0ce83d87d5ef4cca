//! The peers duty: instances joined over loopback.

mod common;
mod faults;
mod greeting;
mod normal;
mod overload;
