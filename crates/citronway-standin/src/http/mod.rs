//! HTTP/1.1 as the stand-ins serve it and as tests call it.

pub mod answer;
pub mod client;
pub mod percent;
pub mod reply;
pub mod server;

pub use client::{Client, ClientError};
pub use reply::{Reply, json, status};
pub use server::{Handler, Server};
