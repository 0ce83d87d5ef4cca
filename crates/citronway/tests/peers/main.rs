//! The peers duty: instances joined over loopback.

mod common;
mod cost;
mod faults;
mod greeting;
mod normal;
mod overload;
mod patience;
