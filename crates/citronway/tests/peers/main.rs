//! The peers duty: instances joined over loopback.

mod common;
mod normal;
